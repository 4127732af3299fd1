//! A deployment, class or service has a name that paths and store keys can't carry.
//!
//! Example: `name: a/b` is refused; write `a-b`.

use crate::{
    declaration::DeclarationOptions,
    rules::{CLASS_NAME, Checker, settings::empty_name::is_name},
};

pub(crate) fn check(options: &DeclarationOptions, checker: &mut Checker<'_>) {
    let classes = options
        .classes
        .iter()
        .flat_map(|class| [("classes.name", &class.name), ("classes.service", &class.service)]);
    let names = std::iter::once(("deployment", &options.deployment)).chain(classes);
    for (field, name) in names.filter(|(_, name)| !is_name(&name.value)) {
        let message = format!("`{}` is not a name", name.value);
        checker.report(
            &CLASS_NAME,
            name,
            field,
            message,
            "1 to 64 letters, digits, `-`, `_` or `.`",
        );
    }
}
