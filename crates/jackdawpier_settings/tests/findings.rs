//! What the checks say of each fixture: one line a finding, with code, place and fix.

use std::{fs, path::Path};

use jackdawpier_kernel::diagnostic::Diagnostic;
use jackdawpier_settings::{
    loader::{load_declaration, load_settings},
    rules::RULES,
};

/// Findings of every file in a folder of fixtures, in the order of their names.
fn findings(folder: &str, check: impl Fn(&str, &str) -> Vec<String>) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(folder);
    let mut names: Vec<String> = fs::read_dir(&folder)
        .expect("the fixtures are there")
        .map(|entry| entry.expect("it can be read").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let mut all = String::new();
    for name in names {
        let text = fs::read_to_string(folder.join(&name)).expect("it can be read");
        let lines = check(&name, &text);
        let shown = if lines.is_empty() { "no findings".to_owned() } else { lines.join("\n") };
        all.push_str(&["== ", &name, "\n", &shown, "\n"].concat());
    }
    all
}

fn shown<T>(result: Result<T, Vec<Diagnostic>>) -> Vec<String> {
    result.err().into_iter().flatten().map(|finding| finding.to_string()).collect()
}

fn settings_findings() -> String {
    findings("settings", |name, text| shown(load_settings(name, text)))
}

fn declaration_findings() -> String {
    findings("declarations", |name, text| shown(load_declaration(name, text)))
}

#[test]
fn settings_files() {
    let all = settings_findings();
    insta::assert_snapshot!(all);
}

#[test]
fn declaration_files() {
    let all = declaration_findings();
    insta::assert_snapshot!(all);
}

#[test]
fn every_rule() {
    let all = settings_findings() + &declaration_findings();
    for rule in RULES {
        assert!(all.contains(rule.code), "no fixture shows {} {}", rule.code, rule.name);
        assert!(rule.source.starts_with("//!"), "{} has no user page", rule.code);
    }
}
