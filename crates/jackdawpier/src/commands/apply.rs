//! `jackdawpier apply`: applies a declaration.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    args::{Common, Output},
    client::Client,
    commands::plan::{fetch_current, read_declaration},
    exit_status::{ExitStatus, Failure},
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies the declaration and waits until it is in force at every live entry, for at most `wait_s`
/// seconds.
pub(crate) fn run(
    client: &Client,
    common: &Common,
    base: Option<u64>,
    wait_s: u64,
    file: &str,
) -> Result<ExitStatus, Failure> {
    let (text, declaration) = read_declaration(file)?;
    let base = match base {
        Some(base) => base,
        None => fetch_current(client, &declaration.deployment)?.revision,
    };
    let started_at = Instant::now();
    let answer = client.post("/v1/apply", &json!({"base": base, "file": file, "text": text}))?;
    if answer.status != 200 {
        return Ok(report_rejection(common, answer.status, &answer.body));
    }
    let revision = answer.body["revision"].as_u64().unwrap_or(0);
    let timeout = Duration::from_secs(wait_s);
    let lagging =
        wait_until_in_force(client, &declaration.deployment, revision, started_at, timeout)?;
    let took_ms = started_at.elapsed().as_millis() as u64;
    if common.output == Output::Json {
        println!(
            "{}",
            json!({"revision": revision, "is_in_force": lagging.is_empty(), "took_ms": took_ms, "lagging_members": lagging})
        );
    } else if lagging.is_empty() {
        println!("revision {revision} is in force at every live entry after {took_ms} ms");
    }
    if lagging.is_empty() {
        return Ok(ExitStatus::Success);
    }
    eprintln!(
        "revision {revision} is stored durably, but not in force yet at: {}\nnext: run `jackdawpier status`; a disconnected entry stops serving by itself",
        lagging.join(", ")
    );
    Ok(ExitStatus::Unknown)
}

/// Waits until the revision is in force everywhere, or the timeout has passed. Returns the members
/// where it isn't in force.
fn wait_until_in_force(
    client: &Client,
    deployment: &str,
    revision: u64,
    started_at: Instant,
    timeout: Duration,
) -> Result<Vec<String>, Failure> {
    loop {
        let status = client.get("/v1/status")?.body;
        let document = status["documents"]
            .as_array()
            .into_iter()
            .flatten()
            .find(|document| document["deployment"] == deployment);
        let lagging = document.map_or_else(
            || vec!["(this entry)".to_owned()],
            |document| {
                if document["revision"].as_u64().unwrap_or(0) < revision {
                    return vec!["(this entry)".to_owned()];
                }
                let names = document["lagging_members"].as_array().into_iter().flatten();
                names.filter_map(Value::as_str).map(str::to_owned).collect()
            },
        );
        if lagging.is_empty() || started_at.elapsed() > timeout {
            return Ok(lagging);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Prints why the change was rejected, and returns the exit status.
fn report_rejection(common: &Common, status: u16, body: &Value) -> ExitStatus {
    if common.output == Output::Json {
        println!("{body}");
    }
    match status {
        409 => {
            let current = &body["current"];
            let writer = current["writer"]["entry"].as_str().unwrap_or("-");
            eprintln!(
                "conflict: the change is based on revision {}, but the current revision is {} (written through {writer})\nnext: run `jackdawpier get`, merge, and apply with --base {}",
                body["base"], current["revision"], current["revision"]
            );
            ExitStatus::Conflict
        }
        422 => {
            eprintln!("the entry rejected the declaration: {body}");
            ExitStatus::BadInput
        }
        504 => {
            eprintln!(
                "the outcome is unknown: {}\nnext: run `jackdawpier get` before applying again",
                body["detail"]
            );
            ExitStatus::Unknown
        }
        _ => {
            eprintln!(
                "nothing was changed: {}\nnext: try again when the store is available",
                body["detail"]
            );
            ExitStatus::Unavailable
        }
    }
}
