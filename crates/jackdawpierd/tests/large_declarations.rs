//! Refusals of declarations that are too large to send or to store.

mod support;

use std::fmt::Write;

use serde_json::Value;
use support::{DECLARATION, Deployment, wait_for};

/// Returns a declaration that is below the size limit of files and above that of the store's
/// records: YAML aliases let eight classes share one long service name.
fn declaration_beyond_record_limit() -> String {
    let mut text = "deployment: test\nclasses:\n".to_owned();
    for class in 0..5_200 {
        let group = class / 8;
        let service = match class % 8 {
            0 => format!("&s{group} {}{group}", "s".repeat(56)),
            _ => format!("*s{group}"),
        };
        writeln!(
            text,
            "- {{name: c{class}, service: {service}, kind: quick, finish_within_ms: 1, capacity_instances: 1}}"
        )
        .expect("a string takes everything");
    }
    text
}

/// Guards against misleading answers: an unknown outcome for a record that is too large, and a syntax
/// error for a request body that was truncated.
#[test]
fn limits_named() {
    let deployment = Deployment::new("limits-named", 1, 1);
    let daemon = deployment.start("a", "");
    wait_for("the declaration to be accepted", || daemon.apply(0, DECLARATION).0 == 200);
    let (status, findings) = daemon.apply(1, &declaration_beyond_record_limit());
    assert_eq!(status, 422, "{findings}");
    assert!(findings.to_string().contains("1032192 bytes"), "the limit isn't named: {findings}");
    let (status, text) = daemon.apply(1, &" ".repeat(3 << 20));
    assert_eq!((status, text), (413, Value::from("the change has more than 1114112 bytes\n")));
    let (status, findings) = daemon.apply(1, &"#\"".repeat(260 << 10));
    assert_eq!(status, 422, "{findings}");
    assert!(findings.to_string().contains("at most 524288 bytes"), "{findings}");
    assert_eq!(daemon.revision(), 1);
}
