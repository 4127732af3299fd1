//! Writes the reference pages that come from the code, or checks that they are current.

use std::{fmt::Write, fs, io, path::Path};

use jackdawpier_kernel::plugin;
use jackdawpier_settings::reference;

const NOTICE: &str =
    "Generated from the code by `cargo run -p jackdawpier_dev -- generate`; do not edit.\n";

/// The generated pages as (path, text).
pub(crate) fn pages() -> Vec<(&'static str, String)> {
    vec![
        ("docs/SETTINGS.md", reference::settings_page()),
        ("docs/operators/command-line.md", command_line_page()),
        ("docs/operators/metrics.md", metrics_page()),
    ]
}

fn command_line_page() -> String {
    format!(
        "# Command line\n\n{NOTICE}\n\
         Exit statuses of `jackdawpier`: 0 done, 1 `plan` found changes, 2 bad input, 3 conflict, \
         4 nothing could be reached and nothing was changed, 5 the outcome is unknown or not in \
         force everywhere yet. Exit statuses of `jackdawpierd`: 0 planned stop, 1 a port or key \
         could not be used, 2 bad settings.\n\n{}\n\n{}\n",
        jackdawpier::command_line_reference().trim(),
        jackdawpierd::command_line_reference().trim()
    )
}

fn metrics_page() -> String {
    let mut page = format!("# Roles and metrics\n\n{NOTICE}");
    for role in plugin::plugins() {
        let _ = write!(page, "\n## {}\n\n{}\n\n", role.name, role.purpose);
        let keys = role.store_key_prefixes.join("`, `");
        if !keys.is_empty() {
            let _ = writeln!(page, "Store keys: `{keys}`\n");
        }
        page.push_str("| metric | meaning |\n|---|---|\n");
        for metric in role.metrics {
            let _ = writeln!(page, "| `{}` | {} |", metric.name, metric.help);
        }
    }
    page
}

/// Writes every page below `root`.
pub(crate) fn write(root: &Path) -> io::Result<()> {
    pages().iter().try_for_each(|(path, text)| fs::write(root.join(path), text))
}

/// Returns the pages below `root` that differ from the code.
pub(crate) fn stale(root: &Path) -> Vec<&'static str> {
    pages()
        .into_iter()
        .filter(|(path, text)| fs::read_to_string(root.join(path)).ok().as_ref() != Some(text))
        .map(|(path, _)| path)
        .collect()
}
