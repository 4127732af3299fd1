//! Rendezvous hashing: all entries compute the same ranking of a shard's members without
//! communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `member` for `shard`; the member with the highest score is the preferred
/// owner.
pub fn score(shard: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(shard.as_bytes(), 0))
}

/// Returns `members` sorted from the most to the least preferred owner of `shard`.
pub fn ranking<'a>(shard: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> =
        members.into_iter().map(|member| (score(shard, member), member)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Returns the preferred owner of `shard` among `members`, or `None` without members.
///
/// Ties are broken by name, so the result doesn't depend on the order of `members`.
pub fn owner<'a>(shard: &str, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (score(shard, member), *member))
}
