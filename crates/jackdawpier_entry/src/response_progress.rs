//! Progress of the responses that are being received from a host.
//!
//! A large response over a slow link takes seconds. Meanwhile the received chunks show that the host
//! answers, and requesting the same response again would halve its speed.

use std::{cell::Cell, rc::Rc};

use jackdawpier_kernel::Now;

use crate::clock;

#[derive(Debug, Default)]
struct State {
    in_progress: Cell<usize>,
    last_received_at: Cell<Option<Now>>,
}

/// The responses of a host that are being received.
#[derive(Debug, Clone, Default)]
pub struct ResponseProgress(Rc<State>);

impl ResponseProgress {
    /// Returns when the last chunk of a response was received; none before the first.
    pub fn last_received_at(&self) -> Option<Now> {
        self.0.last_received_at.get()
    }

    /// Returns whether a response has begun and isn't complete yet.
    pub fn is_in_progress(&self) -> bool {
        self.0.in_progress.get() > 0
    }

    /// Notes the begin of a response.
    pub(crate) fn begin_response(&self) -> ResponseGuard {
        self.0.in_progress.set(self.0.in_progress.get() + 1);
        let response = ResponseGuard(self.0.clone());
        response.on_chunk();
        response
    }
}

/// One response, in progress until this is dropped.
#[derive(Debug)]
pub(crate) struct ResponseGuard(Rc<State>);

impl ResponseGuard {
    /// Notes a received chunk.
    pub(crate) fn on_chunk(&self) {
        self.0.last_received_at.set(Some(clock::now()));
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}
