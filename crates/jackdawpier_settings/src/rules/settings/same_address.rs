//! Two listening addresses are the same.
//!
//! Callers must have no access to the operators' port, so the two can't share an address. Port 0
//! selects a free port each time and may be used more than once.
//!
//! Example: `callers` and `operators` both `10.0.0.5:8080`.

use std::net::SocketAddr;

use crate::{
    options::Options,
    rules::{Checker, SAME_ADDRESS},
};

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let listen = &options.listen;
    let is_fixed = listen.callers.value.parse().is_ok_and(|at: SocketAddr| at.port() != 0);
    if is_fixed && listen.callers.value == listen.operators.value {
        checker.report(
            &SAME_ADDRESS,
            &listen.operators,
            "listen.operators",
            "is the same address as listen.callers",
            "use a different port",
        );
    }
}
