//! Keys of the records in the platform's store.

/// Prefix of all records that every entry watches.
pub const COORDINATION: &str = "coord/";
/// Prefix of the member records: one per entry, each under the entry's lease.
pub const MEMBERS: &str = "coord/members/";
/// Prefix of the shards' owner records, each under the owner's lease.
pub const SHARDS: &str = "coord/shards/";
/// Prefix of the cells' log segments.
pub const CELLS: &str = "cells/";
/// Prefix of the configuration documents.
pub const CONFIGURATION: &str = "coord/config/";

/// Width of a segment number in a key, so that keys sort by number.
const SEGMENT_DIGITS: usize = 16;

/// Returns the key of an entry's member record.
pub fn member(entry: &str) -> String {
    format!("{MEMBERS}{entry}")
}

/// Returns the key of a shard's owner record.
pub fn shard(name: &str) -> String {
    format!("{SHARDS}{name}")
}

/// Returns the key prefix of the segments of a cell.
pub fn cell(name: &str) -> String {
    format!("{CELLS}{name}/")
}

/// Returns the key of one segment of a cell.
pub fn segment(name: &str, number: u64) -> String {
    format!("{CELLS}{name}/{number:0SEGMENT_DIGITS$}")
}

/// Returns the segment number in `key`, if it has one.
pub fn segment_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Returns the key of a configuration document.
pub fn configuration(deployment: &str) -> String {
    format!("{CONFIGURATION}{deployment}")
}
