//! The command lines of the daemon and the tool: findings, exit statuses, tables and JSON.

mod support;

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use support::{DECLARATION, Daemon, Deployment, wait_for};

/// Returns the path of the tool's binary, beside the daemon's; `scripts/test` builds both.
fn tool() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_jackdawpierd")).with_file_name("jackdawpier")
}

fn run(daemon: &Daemon, args: &[&str]) -> Output {
    Command::new(tool())
        .args(args)
        .env("JACKDAWPIER_ENTRY", daemon.operators.to_string())
        .output()
        .expect("the tool is built")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn settings_checked() {
    let deployment = Deployment::new("settings-checked", 0, 0);
    let check = |name: &str, settings: &str| {
        let path = deployment.file(name);
        std::fs::write(&path, settings).expect("the folder can be written");
        Command::new(env!("CARGO_BIN_EXE_jackdawpierd"))
            .arg("--check-settings")
            .arg(&path)
            .output()
            .expect("the daemon can be run")
    };
    let good = check("good.yaml", &deployment.settings("a", ""));
    assert_eq!(good.status.code(), Some(0), "{}", text(&good.stderr));
    let bad = check("bad.yaml", &deployment.settings("a", "timing: { member_lease: 3s }"));
    assert_eq!(bad.status.code(), Some(2));
    let lines = text(&bad.stderr);
    assert_eq!(lines.lines().count(), 1, "{lines}");
    assert!(lines.contains("bad.yaml:7:11: JP001 unknown field `member_lease`"), "{lines}");
    let absent = Command::new(env!("CARGO_BIN_EXE_jackdawpierd")).arg("none.yaml").output();
    assert_eq!(absent.expect("it runs").status.code(), Some(2));
}

#[test]
fn tool_statuses() {
    let deployment = Deployment::new("tool-statuses", 2, 0);
    let daemons = deployment.start_all(2);
    let file = deployment.file("declaration.yaml");
    let name = file.display().to_string();
    std::fs::write(&file, DECLARATION).expect("the folder can be written");
    let same = run(&daemons[0], &["plan", &name]);
    assert_eq!(same.status.code(), Some(0), "{}", text(&same.stdout));
    let changed = DECLARATION.replace("capacity_instances: 1", "capacity_instances: 3");
    std::fs::write(&file, &changed).expect("the folder can be written");
    let planned = run(&daemons[0], &["plan", &name]);
    assert_eq!(planned.status.code(), Some(1));
    assert!(text(&planned.stdout).contains("capacity_instances"), "{}", text(&planned.stdout));
    let applied = run(&daemons[0], &["apply", "--base", "1", "--output", "json", &name]);
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    assert!(text(&applied.stdout).contains("\"is_in_force\":true"), "{}", text(&applied.stdout));
    let late = run(&daemons[1], &["apply", "--base", "1", &name]);
    assert_eq!(late.status.code(), Some(3));
    assert!(text(&late.stderr).contains("next:"), "{}", text(&late.stderr));
    std::fs::write(&file, changed.replace("kind: quick", "weight: 3, kind: quick"))
        .expect("it can");
    let refused = run(&daemons[0], &["apply", &name]);
    assert_eq!(refused.status.code(), Some(2));
    assert!(text(&refused.stderr).contains("JP102 weight"), "{}", text(&refused.stderr));
    let got = run(&daemons[1], &["get", "test"]);
    assert!(text(&got.stdout).contains("\"revision\": 2"), "{}", text(&got.stdout));
    let status = text(&run(&daemons[0], &["status"]).stdout);
    for part in ["configuration", "members", "entry-a", "entry-b", "render", "margin", "wave"] {
        assert!(status.contains(part), "{part} is missing in\n{status}");
    }
    let svg = deployment.file("report.svg");
    let drawn = svg.display().to_string();
    wait_for("a report", || run(&daemons[1], &["report", "--svg", &drawn]).status.success());
    let plot = std::fs::read_to_string(svg).expect("it was drawn");
    assert!(plot.contains("<svg") && plot.contains("moves"), "a plot of the measures");
    wait_for("an explanation", || run(&daemons[0], &["explain", "render"]).status.success());
}

#[test]
fn unreachable_entry() {
    let output = Command::new(tool())
        .args(["status", "--entry", "127.0.0.1:1"])
        .output()
        .expect("the tool is built");
    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).contains("next:"), "{}", text(&output.stderr));
}

/// Without an owner the status has to be 4, nothing was done; 2 would mean that the job doesn't exist.
#[test]
fn unowned_job() {
    let deployment = Deployment::new("tool-unowned-job", 0, 0);
    let daemons = deployment.start_all(2);
    let (owners, others): (Vec<_>, Vec<_>) =
        daemons.iter().partition(|daemon| daemon.owned().contains(&"refresh".to_owned()));
    let job = ["job", "show", "ledger", "ledger~none~none"];
    assert_eq!(run(owners[0], &job).status.code(), Some(2));
    owners[0].signal("KILL");
    let refused = run(others[0], &job);
    assert_eq!(refused.status.code(), Some(4), "{}", text(&refused.stderr));
    assert!(text(&refused.stderr).contains("next: try again"), "{}", text(&refused.stderr));
}
