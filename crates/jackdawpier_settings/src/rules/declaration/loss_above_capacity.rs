//! `may_lose_instances` is not below `capacity_instances`.
//!
//! If a class could lose all its instances, a maintenance wave could take it down.
//!
//! Example: `capacity_instances: 4` with `may_lose_instances: 4`; write 1.

use crate::{
    declaration::DeclarationOptions,
    rules::{Checker, LOSS_ABOVE_CAPACITY},
};

pub(crate) fn check(options: &DeclarationOptions, checker: &mut Checker<'_>) {
    for class in &options.classes {
        let Some(loss) = &class.may_lose_instances else { continue };
        let capacity = class.capacity_instances.value;
        if capacity > 0 && loss.value >= capacity {
            let message = format!(
                "{} is not below capacity_instances ({})",
                loss.value, class.capacity_instances.value
            );
            checker.report(
                &LOSS_ABOVE_CAPACITY,
                loss,
                "classes.may_lose_instances",
                message,
                "fewer than the class needs",
            );
        }
    }
}
