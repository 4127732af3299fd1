//! The exported and the documented metrics are the same.

mod support;

use std::collections::BTreeSet;

use support::{Deployment, http_full, part};

/// The metrics page, generated from the registered roles.
const PAGE: &str = include_str!("../../../docs/operators/metrics.md");
/// The alerts, which may only use exported metrics.
const ALERTS: &str = include_str!("../../../docs/operators/alerts.yaml");

fn metric_names(text: &str) -> BTreeSet<String> {
    text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| word.starts_with("jackdawpier_"))
        .map(str::to_owned)
        .collect()
}

#[test]
fn all_documented() {
    let deployment = Deployment::new("all-documented", 1, 1);
    let daemons = deployment.start_all(2);
    let mix = vec![part("render", 100, false), part("export", 100, true)];
    deployment.load(daemons.iter().map(|daemon| daemon.callers).collect(), mix, 20, 9);
    let scrape = |daemon: &support::Daemon| {
        let answer = http_full("GET", daemon.operators, "/metrics", &[], b"");
        String::from_utf8(answer.expect("it answers").2).expect("it is text")
    };
    let texts: Vec<String> = daemons.iter().map(scrape).collect();
    let exported: BTreeSet<String> = texts
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| {
            let (name, kind) = line.split_once(' ')?;
            Some(if kind == "counter" { format!("{name}_total") } else { name.to_owned() })
        })
        .collect();
    let rows: String = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(exported, metric_names(&rows), "exported and documented metrics");
    for name in metric_names(ALERTS) {
        assert!(exported.contains(&name), "an alert names {name}, which does not exist");
    }
}
