//! The name of a deployment, class or service is invalid in paths and store keys.
//!
//! Example: `name: a/b` is rejected; write `a-b`.

use crate::{
    declaration::DeclarationOptions,
    rules::{CLASS_NAME, Checker, settings::empty_name::is_valid_name},
};

pub(crate) fn check(options: &DeclarationOptions, checker: &mut Checker<'_>) {
    let classes = options
        .classes
        .iter()
        .flat_map(|class| [("classes.name", &class.name), ("classes.service", &class.service)]);
    let names = std::iter::once(("deployment", &options.deployment)).chain(classes);
    for (field, name) in names.filter(|(_, name)| !is_valid_name(&name.value)) {
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
