//! Findings for each fixture: one line per finding, with code, position and suggested fix.

use std::{fs, path::Path};

use jackdawpier_kernel::diagnostic::Diagnostic;
use jackdawpier_settings::{
    loader::{load_declaration, load_settings},
    rules::RULES,
};

/// Returns the findings in all files of a fixture folder, sorted by file name.
fn findings(folder: &str, check: impl Fn(&str, &str) -> Vec<String>) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(folder);
    let mut names: Vec<String> = fs::read_dir(&folder)
        .expect("the fixture folder is readable")
        .map(|entry| {
            entry.expect("the fixture is readable").file_name().to_string_lossy().into_owned()
        })
        .collect();
    names.sort();
    let mut all = String::new();
    for name in names {
        let text = fs::read_to_string(folder.join(&name)).expect("the fixture is readable");
        let lines = check(&name, &text);
        let result = if lines.is_empty() { "no findings".to_owned() } else { lines.join("\n") };
        all.push_str(&["== ", &name, "\n", &result, "\n"].concat());
    }
    all
}

fn finding_lines<T>(result: Result<T, Vec<Diagnostic>>) -> Vec<String> {
    result.err().into_iter().flatten().map(|finding| finding.to_string()).collect()
}

fn settings_findings() -> String {
    findings("settings", |name, text| finding_lines(load_settings(name, text)))
}

fn declaration_findings() -> String {
    findings("declarations", |name, text| finding_lines(load_declaration(name, text)))
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
        assert!(all.contains(rule.code), "no fixture triggers {} {}", rule.code, rule.name);
        assert!(rule.source.starts_with("//!"), "{} has no module documentation", rule.code);
    }
}
