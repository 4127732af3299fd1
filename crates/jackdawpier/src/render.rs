//! Rendering of results as tables.

use comfy_table::{ContentArrangement, Table, presets::UTF8_HORIZONTAL_ONLY};
use serde_json::Value;

/// Returns an empty table with the given columns.
pub(crate) fn empty_table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(UTF8_HORIZONTAL_ONLY)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(columns.to_vec());
    table
}

/// Formats a JSON value as the text of a cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Returns a table of the objects in `rows`, with one column per key.
pub(crate) fn object_table(rows: &Value, columns: &[&str]) -> Table {
    let mut table = empty_table(columns);
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    table
}
