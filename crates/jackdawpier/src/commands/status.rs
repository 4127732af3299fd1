//! `jackdawpier status`: shows classes, members, configuration and parked jobs.

use std::{thread, time::Duration};

use serde_json::Value;

use crate::{
    args::{Common, Output},
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

/// Prints the status once, or with `watch` every second.
pub(crate) fn run(client: &Client, common: &Common, watch: bool) -> Result<ExitStatus, Failure> {
    loop {
        let status = client.get("/v1/status")?.body;
        if watch {
            print!("{CLEAR_SCREEN}");
        }
        match common.output {
            Output::Json => println!("{status}"),
            Output::Table => {
                print_tables(&status);
                print_pools_and_wave(client, &status)?;
            }
        }
        if !watch {
            return Ok(ExitStatus::Success);
        }
        thread::sleep(REFRESH_INTERVAL);
    }
}

/// Prints the pool of each class, and the wave.
fn print_pools_and_wave(client: &Client, status: &Value) -> Result<(), Failure> {
    let columns = ["have", "need", "buffer", "worst_loss", "may_lose", "margin"];
    let mut pools = render::empty_table(&[&["class"], &columns[..]].concat());
    let pools_by_service = client.get("/v1/pools")?.body;
    for class in status["classes"].as_array().into_iter().flatten() {
        let pool = &pools_by_service[class["service"].as_str().unwrap_or_default()];
        let figures = columns.iter().map(|column| render::cell(&pool[*column]));
        pools.add_row(std::iter::once(render::cell(&class["class"])).chain(figures));
    }
    println!("\npools of the classes, in instances\n{pools}");
    let wave = client.get("/v1/wave")?.body;
    let columns = ["wave", "state", "done", "out", "pending", "held_by", "moves"];
    let mut table = render::empty_table(&columns);
    table.add_row(columns.iter().map(|column| render::cell(&wave[*column])));
    println!("\nwave\n{table}");
    Ok(())
}

fn print_tables(status: &Value) {
    println!(
        "entry {}, ready: {}, stopping: {}",
        render::cell(&status["entry"]),
        render::cell(&status["is_ready"]),
        render::cell(&status["is_stopping"])
    );
    println!(
        "\nconfiguration\n{}",
        render::object_table(
            &status["documents"],
            &["deployment", "revision", "is_in_force", "lagging_members"]
        )
    );
    println!(
        "\nclasses\n{}",
        render::object_table(
            &status["classes"],
            &[
                "class",
                "service",
                "finish_within_ms",
                "capacity_instances",
                "live_executors",
                "live_workers"
            ]
        )
    );
    println!(
        "\nmembers\n{}",
        render::object_table(
            &status["members"],
            &["entry", "zone", "is_reachable", "is_stopping", "owns"]
        )
    );
    let mut services =
        render::empty_table(&["service", "queued", "pending", "slots", "keys", "jobs waiting"]);
    for (name, figures) in status["services"].as_object().into_iter().flatten() {
        let figure = |key: &str| render::cell(&figures[key]);
        services.add_row([
            name.clone(),
            figure("queued"),
            figure("pending"),
            figure("slots"),
            figure("keys"),
            figure("jobs_waiting"),
        ]);
    }
    println!("\nservices, as seen by this entry\n{services}");
    println!("\nparked jobs\n{}", render::object_table(&status["parked_jobs"], &["job", "reason"]));
}
