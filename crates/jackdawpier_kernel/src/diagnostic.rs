//! Typed diagnostics with a stable code, a position, a message and a suggested fix.

use std::fmt;

use serde::Serialize;

/// Position in a settings or declaration file, counted from one; zero means unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Default)]
pub struct Position {
    /// Line, from one.
    pub line: u64,
    /// Column, from one.
    pub column: u64,
}

/// A problem found in a settings or declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Stable code such as `JP101`, documented in `docs/SETTINGS.md`.
    pub code: &'static str,
    /// Path of the file as given by the user.
    pub file: String,
    /// Position in the file.
    pub position: Position,
    /// Dotted path of the field; empty if the diagnostic concerns the whole file.
    pub field: String,
    /// Description of the problem.
    pub message: String,
    /// Suggested fix.
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
