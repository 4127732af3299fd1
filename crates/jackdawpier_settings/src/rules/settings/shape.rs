//! The file is not YAML of the documented shape.
//!
//! An unknown key, a missing field or a value of the wrong type or unit is refused at once: a
//! misspelt key that is ignored would leave a default in force that nobody chose.
//!
//! Example: `member_lease: 3s` is refused; write `member_lease_ms: 3000`.
//!
//! A file has at most 524,288 bytes, and a declaration with its defaults and aliases at most 1,032,192
//! bytes as JSON: it is stored as one record.
//!
//! The parser applies this rule itself, in [`crate::loader`].
