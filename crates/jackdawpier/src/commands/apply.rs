//! `jackdawpier apply`: puts a declaration in force.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    args::{Common, Output},
    client::Client,
    commands::plan::{current, read_declaration},
    exit_status::{ExitStatus, Failure},
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies the declaration and waits until it is in force at every live entry.
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
        None => current(client, &declaration.deployment)?.revision,
    };
    let started_at = Instant::now();
    let answer = client.post("/v1/apply", &json!({"base": base, "file": file, "text": text}))?;
    if answer.status != 200 {
        return Ok(refused(common, answer.status, &answer.body));
    }
    let revision = answer.body["revision"].as_u64().unwrap_or(0);
    let limit = Duration::from_secs(wait_s);
    let lagging = wait_in_force(client, &declaration.deployment, revision, started_at, limit)?;
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
        "revision {revision} is accepted and can't be lost, but not in force yet at: {}\nnext: run `jackdawpier status`; an entry that is cut off stops serving by itself",
        lagging.join(", ")
    );
    Ok(ExitStatus::Unknown)
}

fn wait_in_force(
    client: &Client,
    deployment: &str,
    revision: u64,
    started_at: Instant,
    limit: Duration,
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
        if lagging.is_empty() || started_at.elapsed() > limit {
            return Ok(lagging);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn refused(common: &Common, status: u16, body: &Value) -> ExitStatus {
    if common.output == Output::Json {
        println!("{body}");
    }
    match status {
        409 => {
            let current = &body["current"];
            let writer = current["writer"]["entry"].as_str().unwrap_or("-");
            eprintln!(
                "conflict: the change is based on revision {}, but revision {} stands (written through {writer})\nnext: run `jackdawpier get`, merge, and apply with --base {}",
                body["base"], current["revision"], current["revision"]
            );
            ExitStatus::Conflict
        }
        422 => {
            eprintln!("the entry refused the declaration: {body}");
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
                "nothing was changed: {}\nnext: try again once the store answers",
                body["detail"]
            );
            ExitStatus::Unavailable
        }
    }
}
