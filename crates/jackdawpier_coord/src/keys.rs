//! Names of the records in the platform's store.

/// Prefix of all records that every entry watches.
pub const COORDINATION: &str = "coord/";
/// Prefix of the members' records, one an entry, each under its lease.
pub const MEMBERS: &str = "coord/members/";
/// Prefix of the shards' owner records, each under its owner's lease.
pub const SHARDS: &str = "coord/shards/";
/// Prefix of the cells' log segments.
pub const CELLS: &str = "cells/";
/// Prefix of the configuration documents.
pub const CONFIGURATION: &str = "coord/config/";

/// Width of a segment number in a key, so that keys sort by number.
const SEGMENT_DIGITS: usize = 16;

/// Key of an entry's member record.
pub fn member(entry: &str) -> String {
    format!("{MEMBERS}{entry}")
}

/// Key of a shard's owner record.
pub fn shard(name: &str) -> String {
    format!("{SHARDS}{name}")
}

/// Prefix of the segments of one cell.
pub fn cell(name: &str) -> String {
    format!("{CELLS}{name}/")
}

/// Key of one segment of a cell.
pub fn segment(name: &str, number: u64) -> String {
    format!("{CELLS}{name}/{number:0SEGMENT_DIGITS$}")
}

/// Number of the segment that `key` names, if it is one.
pub fn segment_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Key of a configuration document.
pub fn configuration(deployment: &str) -> String {
    format!("{CONFIGURATION}{deployment}")
}
