//! Typed diagnostics with a stable code, a position, a message and a suggested fix.

use std::fmt;

use serde::Serialize;

/// Position in a settings or declaration file, counted from one; zero means "not known".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Default)]
pub struct Position {
    /// Line, from one.
    pub line: u64,
    /// Column, from one.
    pub column: u64,
}

/// One finding about a file that a person wrote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Stable code such as `JP101`, documented in `docs/SETTINGS.md`.
    pub code: &'static str,
    /// File as the person named it.
    pub file: String,
    /// Where in the file.
    pub position: Position,
    /// The field, dotted from the root; empty when the whole file is meant.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub suggestion: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { code, file, position, field, message, suggestion } = self;
        write!(f, "{file}:{}:{}: {code} ", position.line, position.column)?;
        if !field.is_empty() {
            write!(f, "{field}: ")?;
        }
        write!(f, "{message} (fix: {suggestion})")
    }
}
