//! The declaration names a weight or an instance address.
//!
//! Operators state targets; which instance does what follows from them. A weight or an address
//! would go stale with the next failure and set one instance aside.
//!
//! Example: `weight: 3` under a class; raise `capacity_instances` instead.
//!
//! The parser applies this rule itself, in [`crate::loader`].
