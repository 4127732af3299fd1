//! Checks that untrusted input causes no panic, uses bounded memory and is never adopted.

use std::time::Duration;

use jackdawpier_coord::{cell::Cell, configuration::Configuration, membership::View};
use jackdawpier_kernel::{Now, trace::TraceContext};
use jackdawpier_settings::loader::{MAX_FILE_BYTES, load_declaration, load_settings};
use jackdawpier_store::{Record, Response};
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 20_261_202;
const TESTS: u64 = 2_000;

fn check<T: Testable>(property: T) {
    let result =
        QuickCheck::new().rng(Gen::from_size_and_seed(400, SEED)).tests(TESTS).quicktest(property);
    assert!(result.is_ok(), "{result:?}");
}

const DECLARATION: &str = "
deployment: d
classes:
  - { name: render, service: widgets, kind: quick, finish_within_ms: 300, capacity_instances: 2 }
";

/// Replaces up to four bytes of a valid text, so that parsers get past the first line.
fn replace_bytes(text: &str, replacements: &[(u16, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (index, byte) in replacements.iter().take(4) {
        let index = usize::from(*index) % bytes.len();
        bytes[index] = *byte;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn arbitrary_declaration(replacements: Vec<(u16, u8)>, text: String) -> bool {
    let _ = load_declaration("x", &text);
    match load_declaration("x", &replace_bytes(DECLARATION, &replacements)) {
        Ok(declaration) => declaration.classes.len() == 1,
        Err(findings) => !findings.is_empty(),
    }
}

fn arbitrary_settings(text: String) -> bool {
    load_settings("x", &text).is_err()
}

fn arbitrary_traceparent(text: String, replacements: Vec<(u16, u8)>) -> bool {
    let valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let _ = TraceContext::parse(&text);
    let text = replace_bytes(valid, &replacements);
    TraceContext::parse(&text).is_none_or(|context| context.to_string() == text.trim())
}

fn arbitrary_records(key: String, value: String) -> bool {
    let record = |prefix: &str| Record {
        key: format!("{prefix}{key}"),
        value: value.clone(),
        revision: 1,
        lease: None,
    };
    let mut view = View::default();
    let mut configuration = Configuration::new(Duration::from_secs(2));
    for prefix in ["coord/members/", "coord/shards/", "coord/config/", ""] {
        view.apply_record(&record(prefix));
        if configuration.adopt_record_if_newer(&record(prefix)) {
            return false;
        }
    }
    let mut cell: Cell<u32> = Cell::new("c", "entry".into(), 1, Duration::ZERO);
    cell.open(Now::ZERO);
    let records = vec![record("cells/c/"), record("cells/c/0000000000000007")];
    let page = Response::Records { records, more: false, store_revision: 1 };
    !cell.on_result(Now::ZERO, Ok(page)).is_empty()
}

#[test]
fn declarations() {
    check(arbitrary_declaration as fn(Vec<(u16, u8)>, String) -> bool);
}

#[test]
fn settings() {
    check(arbitrary_settings as fn(String) -> bool);
}

#[test]
fn traceparent() {
    check(arbitrary_traceparent as fn(String, Vec<(u16, u8)>) -> bool);
}

#[test]
fn store_records() {
    check(arbitrary_records as fn(String, String) -> bool);
}

#[test]
fn huge_file() {
    let text = "x".repeat(MAX_FILE_BYTES + 1);
    assert!(load_declaration("x", &text).is_err());
}

#[test]
fn alias_bomb() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for level in 1..12 {
        let previous_alias = format!("*a{}", level - 1);
        let items = vec![previous_alias; 10].join(", ");
        text.push_str(
            &["a", &level.to_string(), ": &a", &level.to_string(), " [", &items, "]\n"].concat(),
        );
    }
    assert!(load_declaration("x", &text).is_err());
}
