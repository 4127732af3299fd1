//! The body of a caller's request. What its handler doesn't read is discarded after the answer.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jackdawpier_http::request_body::BodyMemory;

/// A request as handlers receive it.
pub type Request = hyper::Request<RequestBody>;

/// The part of a body that its handler didn't read.
#[derive(Clone, Default)]
pub(crate) struct UnreadBody(Rc<Cell<Option<Incoming>>>);

impl UnreadBody {
    /// Returns it once the handler has dropped the body; `None` if the handler has read it to its end.
    pub(crate) fn take(&self) -> Option<Incoming> {
        self.0.take()
    }
}

/// The body of a request.
pub struct RequestBody {
    /// `None` once it has ended.
    incoming: Option<Incoming>,
    unread: UnreadBody,
    memory: BodyMemory,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, unread: UnreadBody, memory: BodyMemory) -> Self {
        let incoming = (!incoming.is_end_stream()).then_some(incoming);
        Self { incoming, unread, memory }
    }

    /// Drops the body, so that its connection is closed after the answer instead of waiting for the rest.
    pub(crate) fn abort(mut self) {
        self.incoming = None;
    }

    /// Returns the memory that the process has for bodies.
    pub(crate) fn memory(&self) -> BodyMemory {
        self.memory.clone()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = &mut self.incoming else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(context));
        let has_ended = !matches!(frame, Some(Ok(_))) || incoming.is_end_stream();
        if has_ended {
            self.incoming = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.unread.0.set(self.incoming.take());
    }
}
