//! Limits the log lines about items of the store that can't be read.
//!
//! Such an item is read again with each listing, and other writers choose its key, its content and how often it
//! changes. So a key gets one line an hour of bounded length, and the metrics count every reading.

use std::{collections::HashMap, time::Duration};

use jackdawpier_kernel::Now;

/// Time until a key is logged again.
const LOG_INTERVAL: Duration = Duration::from_secs(3600);
/// Maximum number of keys that are remembered; beyond it no further ones are logged until the interval has passed.
const MAX_KEYS: usize = 1000;
/// Maximum length of a key or a reason in the log, in characters; a reason may quote the item.
const MAX_CHARS: usize = 200;

/// The keys that were logged recently.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    logged_at: HashMap<String, Now>,
}

impl UnreadableLog {
    /// Returns whether to log that the item under a key can't be read.
    pub fn admit(&mut self, now: Now, key: &str) -> bool {
        let is_recent = |at: &Now| now.saturating_sub(*at) < LOG_INTERVAL;
        let key = shorten(key);
        if self.logged_at.get(&key).is_some_and(is_recent) {
            return false;
        }
        if self.logged_at.len() >= MAX_KEYS {
            self.logged_at.retain(|_, at| is_recent(at));
        }
        let is_admitted = self.logged_at.len() < MAX_KEYS;
        if is_admitted {
            self.logged_at.insert(key, now);
        }
        is_admitted
    }
}

/// Cuts a text to the length that is logged.
pub fn shorten(text: &str) -> String {
    let mut shortened: String = text.chars().take(MAX_CHARS).collect();
    if shortened.len() < text.len() {
        shortened.push_str("...");
    }
    shortened
}
