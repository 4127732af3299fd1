//! W3C trace context, which makes each hop's span a child of the caller's span.

use std::fmt;

use serde::{Deserialize, Serialize};

const VERSION: &str = "00";
const TRACE_ID_HEX_LEN: usize = 32;
const SPAN_ID_HEX_LEN: usize = 16;
const FLAGS_HEX_LEN: usize = 2;

/// The `traceparent` header: trace id, parent span id and flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// Trace id, never zero.
    pub trace_id: u128,
    /// Span id of the sender, never zero.
    pub span_id: u64,
    /// Trace flags; bit 0 is "sampled".
    pub flags: u8,
}

impl TraceContext {
    /// Parses a `traceparent` value. Returns `None` for a value that the W3C specification calls
    /// invalid; the receiver then starts a new trace.
    pub fn parse(value: &str) -> Option<Self> {
        let mut parts = value.trim().split('-');
        if parts.next()? != VERSION {
            return None;
        }
        let trace_id = hex(parts.next()?, TRACE_ID_HEX_LEN)?;
        let span_id = hex(parts.next()?, SPAN_ID_HEX_LEN)? as u64;
        let flags = hex(parts.next()?, FLAGS_HEX_LEN)? as u8;
        let valid = parts.next().is_none() && trace_id != 0 && span_id != 0;
        valid.then_some(Self { trace_id, span_id, flags })
    }
}

fn hex(text: &str, len: usize) -> Option<u128> {
    let lower = text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    if text.len() != len || !lower {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VERSION}-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, self.flags)
    }
}
