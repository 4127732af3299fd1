//! Benchmarks, virtual days and capacity slopes with regression bounds.
