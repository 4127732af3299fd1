//! Two classes have the same name.
//!
//! The path of a request selects its class by name, so the second declaration would be unreachable.
//!
//! Example: two classes with `name: render`; declare each class once.

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
