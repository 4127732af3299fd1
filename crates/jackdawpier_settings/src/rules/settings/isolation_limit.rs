//! The isolation limit is not below the member lease, or a timing is zero.
//!
//! An entry without contact to the store and all peers must stop serving before its member lease
//! expires. Otherwise a configuration that all live members have reported might not be in force
//! everywhere.
//!
//! Example: `member_lease_ms: 3000` with `isolation_limit_ms: 3000`; write 2000 for the limit.

use std::time::Duration;

use serde_saphyr::Spanned;

use crate::{
    options::Options,
    rules::{Checker, ISOLATION_LIMIT},
};

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let timing = options.timing.resolve();
    let at: &Spanned<String> = &options.entry;
    let set_value =
        options.timing.isolation_limit_ms.as_ref().or(options.timing.member_lease_ms.as_ref());
    if timing.isolation_limit >= timing.member_lease {
        let message = format!(
            "{} ms is not below member_lease_ms ({} ms)",
            timing.isolation_limit.as_millis(),
            timing.member_lease.as_millis()
        );
        let set_value =
            set_value.expect("the defaults satisfy this rule, so one of the two is set");
        let field = "timing.isolation_limit_ms";
        checker.report(&ISOLATION_LIMIT, set_value, field, message, "a limit below the lease");
    }
    let positive = [
        ("timing.heartbeat_interval_ms", timing.heartbeat_interval),
        ("timing.instance_list_interval_ms", timing.instance_list_interval),
        ("timing.task_lease_ms", timing.task_lease),
        ("limits.read_timeout_ms", options.limits.resolve().read_timeout),
    ];
    for (field, _) in positive.iter().filter(|(_, value)| *value == Duration::ZERO) {
        checker.report(&ISOLATION_LIMIT, at, field, "must not be zero", "at least 1");
    }
}
