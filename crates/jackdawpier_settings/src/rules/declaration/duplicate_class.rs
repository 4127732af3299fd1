//! Two classes have the same name.
//!
//! The path of a request names its class, so the second declaration could never be reached.
//!
//! Example: two entries `name: render`; give each class one entry.

use std::collections::BTreeSet;

use crate::{
    declaration::DeclarationOptions,
    rules::{Checker, DUPLICATE_CLASS},
};

pub(crate) fn check(options: &DeclarationOptions, checker: &mut Checker<'_>) {
    let mut seen = BTreeSet::new();
    for class in &options.classes {
        if !seen.insert(class.name.value.as_str()) {
            let message = format!("`{}` is declared twice", class.name.value);
            checker.report(
                &DUPLICATE_CLASS,
                &class.name,
                "classes.name",
                message,
                "one entry a class",
            );
        }
    }
}
