//! The name of the entry or its zone is empty or invalid in store keys.
//!
//! The name is part of the member's store key, so it may contain only letters, digits, `-`, `_` and
//! `.`.
//!
//! Example: `entry: a/b` is rejected; write `entry: riga-1-a`.

use serde_saphyr::Spanned;

use crate::{
    options::Options,
    rules::{Checker, EMPTY_NAME},
};

/// Maximum length of the name of an entry, a zone or a class.
pub(crate) const MAX_NAME_LEN: usize = 64;

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    for (field, name) in [("entry", &options.entry), ("zone", &options.zone)] {
        check_name(field, name, checker);
    }
}

fn check_name(field: &str, name: &Spanned<String>, checker: &mut Checker<'_>) {
    if !is_valid_name(&name.value) {
        let message = format!("`{}` is not a valid name", name.value);
        let suggestion = format!("1 to {MAX_NAME_LEN} letters, digits, `-`, `_` or `.`");
        checker.report(&EMPTY_NAME, name, field, message, suggestion);
    }
}

/// Whether `text` is valid as a part of a store key and of a path.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(allowed)
}
