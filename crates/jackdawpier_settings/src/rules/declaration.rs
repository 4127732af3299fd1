//! Rules on class declarations.

pub mod class_name;
pub mod duplicate_class;
pub mod forbidden_key;
pub mod loss_above_capacity;
pub mod zero_target;
