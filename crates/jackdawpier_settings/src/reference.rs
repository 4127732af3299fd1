//! Generates `docs/SETTINGS.md` from the source code, so that the page matches the code.

use std::fmt::Write;

use crate::rules::{RULES, Rule};

/// Source of the options; its doc comments are the reference text.
const OPTIONS_SOURCE: &str = include_str!("options.rs");
/// Source of the declarations.
const DECLARATION_SOURCE: &str = include_str!("declaration.rs");
/// Source of the defaults.
const SETTINGS_SOURCE: &str = include_str!("settings.rs");

/// Returns the page as Markdown.
pub fn settings_page() -> String {
    let mut page = String::from(
        "# Settings and declarations\n\nGenerated from the code by \
         `cargo run -p jackdawpier_dev -- generate`; do not edit.\n\n\
         ## Settings of jackdawpierd\n",
    );
    push_structs(&mut page, OPTIONS_SOURCE, &["struct"]);
    page.push_str("\n## Defaults\n\n| constant | value | meaning |\n|---|---|---|\n");
    push_defaults(&mut page);
    page.push_str("\n## Class declarations\n");
    push_structs(&mut page, DECLARATION_SOURCE, &["Options {", "enum"]);
    page.push_str("\n## Rules\n\nA finding is `file:line:column: CODE field: message (fix: ...)`, exit status 2.\n");
    RULES.iter().for_each(|rule| push_rule(&mut page, rule));
    page
}

fn push_rule(page: &mut String, rule: &Rule) {
    let _ = write!(page, "\n### {} {}\n\n", rule.code, rule.name);
    for line in rule.source.lines().map_while(|line| line.strip_prefix("//!")) {
        let _ = writeln!(page, "{}", line.trim());
    }
}

fn push_structs(page: &mut String, source: &str, kinds: &[&str]) {
    let mut doc = String::new();
    let mut inside = false;
    for line in source.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("///") {
            doc.push_str(text);
            continue;
        }
        if line.starts_with('#') {
            continue;
        }
        if line.starts_with("pub struct") || line.starts_with("pub enum") {
            inside = kinds.iter().any(|kind| line.contains(kind));
            if inside {
                let name = line.split_whitespace().nth(2).unwrap_or_default();
                let _ = write!(
                    page,
                    "\n### {name}\n\n{}\n\n| key | type | meaning |\n|---|---|---|\n",
                    doc.trim()
                );
            }
        } else if line == "}" {
            inside = false;
        } else if inside && !doc.is_empty() {
            let field = line.trim_start_matches("pub ").trim_end_matches(',');
            let (key, kind) = field.split_once(": ").unwrap_or((field, "value"));
            let kind =
                kind.replace("Spanned<", "").replace('>', "").replace("Option<", "optional ");
            let _ = writeln!(page, "| `{}` | {kind} | {} |", key.to_lowercase(), doc.trim());
        }
        doc.clear();
    }
}

fn push_defaults(page: &mut String) {
    let mut doc = "";
    for line in SETTINGS_SOURCE.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("///") {
            doc = text.trim();
        } else if let Some((name, value)) =
            line.strip_prefix("pub const ").and_then(|rest| rest.split_once(" = "))
        {
            let name = name.split(':').next().unwrap_or_default().to_lowercase();
            let _ = writeln!(page, "| `{name}` | {} | {doc} |", value.trim_end_matches(';'));
        }
    }
}
