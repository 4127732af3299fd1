//! `jackdawpier job`: show a job, cancel it, or decide on a parked one.

use crate::{
    args::JobAction,
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

/// Carries the action out and prints the job as it stands then.
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
        eprintln!("{}next: `jackdawpier job show` says how it stands", render::cell(&answer.body));
        return Ok(ExitStatus::Unknown);
    }
    if answer.status != 200 {
        let findings = format!(
            "{}next: `jackdawpier status` lists the parked jobs",
            render::cell(&answer.body)
        );
        return Err(Failure::BadInput { findings });
    }
    println!("{}", serde_json::to_string_pretty(&answer.body).expect("it was read from JSON"));
    Ok(ExitStatus::Success)
}
