//! The bound on the memory of a job while it is accepted.

use std::{mem::size_of, time::Duration};

use jackdawpier_fleet::{
    job_size::memory_bytes,
    spec::{JobSpec, Resources, StepSpec},
};

fn check(spec: &JobSpec) {
    let stored = serde_json::to_vec(spec).expect("it can be written as JSON").len();
    let lists: usize = spec.steps.iter().map(|step| step.after.len() * size_of::<usize>()).sum();
    let memory = spec.payload.len() + spec.steps.len() * size_of::<StepSpec>() + lists;
    let bound = memory_bytes(spec);
    assert!(bound >= stored + memory, "{bound} bytes, {stored} stored and {memory} in memory");
    assert!(bound <= 2 * (stored + memory) + 1000, "{bound} is far above {stored} and {memory}");
}

/// A short body with many steps took forty times its memory.
#[test]
fn many_steps() {
    let step = StepSpec { count: 1, ..StepSpec::default() };
    check(&JobSpec { payload: "".into(), steps: vec![step; 8_000], schedule: None });
}

#[test]
fn large_fields() {
    let step = |number| StepSpec {
        count: u32::MAX,
        need: Resources { cpu_millicores: 999_999_999, memory_mb: 999_999_999, gpus: 999_999_999 },
        estimate: Duration::from_nanos(31_000_000_999_999_999),
        after: (0..number).collect(),
        required_label: Some("\u{1}".repeat(300).into()),
        data_rack: Some("\"".repeat(300).into()),
        image: Some("x".repeat(300).into()),
        tail_target: Some(Duration::from_nanos(31_000_000_999_999_999)),
        max_per_executor: u32::MAX,
        may_miss: u32::MAX,
        ..StepSpec::default()
    };
    let payload = "\u{1}".repeat(4_000).into();
    check(&JobSpec { payload, steps: (0..200).map(step).collect(), schedule: None });
}
