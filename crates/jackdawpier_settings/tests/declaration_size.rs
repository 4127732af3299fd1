//! Declarations that are small as written and too large for one record once resolved.

use jackdawpier_settings::loader::{MAX_FILE_BYTES, load_declaration};

/// A declaration of eight classes a group, whose service has a long name that is written once.
fn declaration(groups: usize) -> String {
    let long = "s".repeat(56);
    let class = |name: String, service: String| {
        format!(
            "- {{name: {name}, service: {service}, kind: quick, finish_within_ms: 1, capacity_instances: 1}}\n"
        )
    };
    let group = |group: usize| {
        let first = class(format!("g{group}"), format!("&s{group} {long}{group}"));
        let others = (1..8).map(|c| class(format!("g{group}-{c}"), format!("*s{group}")));
        first + &others.collect::<String>()
    };
    "deployment: test\nclasses:\n".to_owned() + &(0..groups).map(group).collect::<String>()
}

/// The store refused it later, and the operator was told that the outcome is unknown.
#[test]
fn beyond_one_record() {
    let text = declaration(650);
    assert!(text.len() < MAX_FILE_BYTES);
    let findings = load_declaration("large.yaml", &text).expect_err("no record can hold it");
    let shown = findings[0].to_string();
    assert!(shown.contains("1032192 bytes"), "the bound isn't named: {shown}");
}

#[test]
fn within_one_record() {
    assert!(load_declaration("fair.yaml", &declaration(550)).is_ok());
}
