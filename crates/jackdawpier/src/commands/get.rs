//! `jackdawpier get`: shows the current configuration document of a deployment.

use crate::{
    client::Client,
    exit_status::{ExitStatus, Failure},
};

/// Prints the document as JSON.
pub(crate) fn run(client: &Client, deployment: &str) -> Result<ExitStatus, Failure> {
    let answer = client.get(&format!("/v1/config/{deployment}"))?;
    if answer.status == 404 {
        let findings =
            format!("no deployment `{deployment}` is in force\nnext: run `jackdawpier status`");
        return Err(Failure::BadInput { findings });
    }
    let text = serde_json::to_string_pretty(&answer.body).expect("a JSON value can be serialized");
    println!("{text}");
    Ok(ExitStatus::Success)
}
