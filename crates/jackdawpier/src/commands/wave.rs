//! `jackdawpier wave`: starts, shows, pauses, resumes or cancels a maintenance wave.

use crate::{
    args::{Common, Output, WaveAction},
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

/// Performs the action and prints the wave.
pub(crate) fn run(
    client: &Client,
    common: &Common,
    action: WaveAction,
) -> Result<ExitStatus, Failure> {
    let answer = match action {
        WaveAction::Status => client.get("/v1/wave")?,
        WaveAction::Start => client.post("/v1/wave/start", &())?,
        WaveAction::Pause => client.post("/v1/wave/pause", &())?,
        WaveAction::Resume => client.post("/v1/wave/resume", &())?,
        WaveAction::Cancel => client.post("/v1/wave/cancel", &())?,
    };
    if answer.status == 503 {
        eprintln!("{}next: try again in a few seconds", render::cell(&answer.body));
        return Ok(ExitStatus::Unavailable);
    }
    match common.output {
        Output::Json => println!("{}", answer.body),
        Output::Table => {
            let columns = ["wave", "state", "done", "out", "pending", "held_by"];
            let mut table = render::empty_table(&columns);
            table.add_row(columns.iter().map(|column| render::cell(&answer.body[*column])));
            println!("{table}");
        }
    }
    if answer.status == 409 {
        eprintln!(
            "the wave's state does not allow this action\nnext: run `jackdawpier wave status`"
        );
        return Ok(ExitStatus::Conflict);
    }
    Ok(ExitStatus::Success)
}
