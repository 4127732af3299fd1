//! Proofs of the promises over seeded histories of failures; everything is in `tests/`.
//!
//! `docs/PROMISES.md` has a row for each proof with the command that runs it.
