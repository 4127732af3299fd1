//! The entry or its zone has no name, or one that store keys can't carry.
//!
//! The name is part of the member's store key, so it takes letters, digits, `-` and `.` only.
//!
//! Example: `entry: a/b` is refused; write `entry: riga-1-a`.

use serde_saphyr::Spanned;

use crate::{
    options::Options,
    rules::{Checker, EMPTY_NAME},
};

/// Longest name of an entry, a zone or a class.
pub(crate) const MAX_NAME_LEN: usize = 64;

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    for (field, name) in [("entry", &options.entry), ("zone", &options.zone)] {
        check_name(field, name, checker);
    }
}

fn check_name(field: &str, name: &Spanned<String>, checker: &mut Checker<'_>) {
    if !is_name(&name.value) {
        let message = format!("`{}` is not a name", name.value);
        let suggestion = format!("1 to {MAX_NAME_LEN} letters, digits, `-`, `_` or `.`");
        checker.report(&EMPTY_NAME, name, field, message, suggestion);
    }
}

/// Whether `text` can be part of a store key and of a path.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(allowed)
}
