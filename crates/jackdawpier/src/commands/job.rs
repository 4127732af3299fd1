//! `jackdawpier job`: shows or cancels a job, or retries or discards a parked one.

use crate::{
    args::JobAction,
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

/// Performs the action and prints the job's resulting state.
pub(crate) fn run(
    client: &Client,
    action: JobAction,
    class: &str,
    id: &str,
) -> Result<ExitStatus, Failure> {
    let answer = client.post(&format!("/v1/jobs/{class}/{id}/{}", action.name()), &())?;
    if answer.status == 503 {
        eprintln!("{}next: try again in a few seconds", render::cell(&answer.body));
        return Ok(ExitStatus::Unavailable);
    }
    if answer.status == 504 {
        eprintln!("{}next: check the job with `jackdawpier job show`", render::cell(&answer.body));
        return Ok(ExitStatus::Unknown);
    }
    if answer.status != 200 {
        let findings = format!(
            "{}next: `jackdawpier status` lists the parked jobs",
            render::cell(&answer.body)
        );
        return Err(Failure::BadInput { findings });
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&answer.body).expect("a JSON value can be serialized")
    );
    Ok(ExitStatus::Success)
}
