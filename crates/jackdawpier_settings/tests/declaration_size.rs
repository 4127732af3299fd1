//! Declarations whose files are small but whose resolved form may exceed one store record.

use jackdawpier_settings::loader::{MAX_FILE_BYTES, load_declaration};

/// Returns a declaration with eight classes per group. The long service name of a group is written
/// once and repeated by YAML aliases.
fn declaration(groups: usize) -> String {
    let long_name = "s".repeat(56);
    let class = |name: String, service: String| {
        format!(
            "- {{name: {name}, service: {service}, kind: quick, finish_within_ms: 1, capacity_instances: 1}}\n"
        )
    };
    let group = |group: usize| {
        let first = class(format!("g{group}"), format!("&s{group} {long_name}{group}"));
        let others = (1..8).map(|c| class(format!("g{group}-{c}"), format!("*s{group}")));
        first + &others.collect::<String>()
    };
    "deployment: test\nclasses:\n".to_owned() + &(0..groups).map(group).collect::<String>()
}

/// Guards against accepting a declaration that the store later rejects, which reports the outcome of
/// the change as unknown.
#[test]
fn resolved_too_large() {
    let text = declaration(650);
    assert!(text.len() < MAX_FILE_BYTES);
    let findings = load_declaration("large.yaml", &text).expect_err("it exceeds one record");
    let finding = findings[0].to_string();
    assert!(finding.contains("1032192 bytes"), "the limit is missing: {finding}");
}

#[test]
fn resolved_fits() {
    assert!(load_declaration("small.yaml", &declaration(550)).is_ok());
}
