//! What of a host's answers is on its way.
//!
//! A large answer over a slow link takes seconds. Its parts show meanwhile that the host answers, and a second
//! copy of it would halve the speed of the first.

use std::{cell::Cell, rc::Rc};

use jackdawpier_kernel::Now;

use crate::clock;

#[derive(Debug, Default)]
struct State {
    under_way: Cell<usize>,
    last_received_at: Cell<Option<Now>>,
}

/// The answers of a host that have begun to come.
#[derive(Debug, Clone, Default)]
pub struct ResponseProgress(Rc<State>);

impl ResponseProgress {
    /// When the last part of an answer came; none before the first.
    pub fn last_received_at(&self) -> Option<Now> {
        self.0.last_received_at.get()
    }

    /// Whether an answer has begun to come and isn't whole yet.
    pub fn is_in_progress(&self) -> bool {
        self.0.under_way.get() > 0
    }

    /// An answer begins to come.
    pub(crate) fn begin(&self) -> ResponseGuard {
        self.0.under_way.set(self.0.under_way.get() + 1);
        let arrival = ResponseGuard(self.0.clone());
        arrival.part();
        arrival
    }
}

/// One answer, from its head to its end.
#[derive(Debug)]
pub(crate) struct ResponseGuard(Rc<State>);

impl ResponseGuard {
    /// A part has come.
    pub(crate) fn part(&self) {
        self.0.last_received_at.set(Some(clock::now()));
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
    }
}
