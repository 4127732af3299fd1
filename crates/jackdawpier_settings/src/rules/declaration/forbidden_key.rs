//! The declaration contains a weight or an instance address.
//!
//! Operators set targets, and the system assigns the instances. A weight or an address would be
//! outdated after the next failure, and would exempt single instances from the assignment.
//!
//! Example: `weight: 3` under a class; raise `capacity_instances` instead.
//!
//! The parser in [`crate::loader`] applies this rule.
