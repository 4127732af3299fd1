//! `jackdawpier explain`: explains why a class keeps spare capacity.

use crate::{
    args::{Common, Output},
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

/// Prints the reasons for the spare instances of the class's pool.
pub(crate) fn run(client: &Client, common: &Common, class: &str) -> Result<ExitStatus, Failure> {
    let answer = client.get(&format!("/v1/explain/{class}"))?;
    match answer.status {
        200 if common.output == Output::Json => println!("{}", answer.body),
        200 => {
            println!(
                "{}: {}",
                render::cell(&answer.body["pool"]),
                render::cell(&answer.body["text"])
            );
            println!("wave held by: {}", render::cell(&answer.body["wave_held_by"]));
        }
        404 => {
            let findings = format!("no class `{class}`\nnext: run `jackdawpier status`");
            return Err(Failure::BadInput { findings });
        }
        _ => {
            eprintln!("{}next: try again in a few seconds", render::cell(&answer.body));
            return Ok(ExitStatus::Unavailable);
        }
    }
    Ok(ExitStatus::Success)
}
