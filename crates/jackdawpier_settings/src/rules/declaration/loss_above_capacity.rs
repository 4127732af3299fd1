//! A class may lose all that it needs.
//!
//! A budget of the whole capacity would let a wave take the class down.
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
