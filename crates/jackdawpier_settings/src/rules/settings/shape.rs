//! The file is not valid YAML with the documented keys and types.
//!
//! An unknown key, a missing field or a value of the wrong type or unit is rejected: if a misspelt
//! key were ignored, its default would apply unnoticed.
//!
//! Example: `member_lease: 3s` is rejected; write `member_lease_ms: 3000`.
//!
//! A file has at most 524,288 bytes. A declaration, with defaults and aliases resolved, has at most
//! 1,032,192 bytes as JSON, because it is stored as one record.
//!
//! The parser in [`crate::loader`] applies this rule.
