//! Upper bounds on the memory that a job takes while it is being accepted, and while it is open.

use std::{mem::size_of, time::Duration};

use crate::{
    job::{MAX_OPEN_SLOTS, TaskIndex},
    spec::{JobSpec, StepSpec},
};

/// Size of the fields of a step in its stored form, without texts and lists.
const STORED_STEP_BYTES: usize = 400;
/// Size of an element of a list, and of its digits in the stored form.
const LIST_ELEMENT_BYTES: usize = size_of::<usize>() + 8;
/// Size of a control character in the stored form.
const ESCAPED_BYTES: usize = 6;

/// Memory of an open job without its steps: its state, its texts, and its entries in the owner's lists.
const OPEN_JOB_BYTES: usize = 2048;
/// Memory of what is derived from a step: its chain, its first task and the number of its tasks.
const DERIVED_STEP_BYTES: usize = size_of::<Duration>() + size_of::<usize>() + size_of::<u32>();
/// Memory of an open slot in the map of its job, whose nodes may be half empty.
const OPEN_SLOT_BYTES: usize = 144;
/// Memory of a startable task in the queue of its job, whose capacity may be twice its length.
const STARTABLE_TASK_BYTES: usize = 2 * size_of::<TaskIndex>();

/// Returns the memory of a job and of its stored form, in bytes. A short body can describe many steps, each of which takes
/// many times the memory of its description.
pub fn memory_bytes(spec: &JobSpec) -> usize {
    text_bytes(&spec.payload) + spec.steps.iter().map(step_bytes).sum::<usize>()
}

/// Returns the memory that an open job takes of its owner, in bytes, without its placed tasks: its specification, and the
/// lists of the tasks and the slots that may become startable.
pub fn open_job_bytes(spec: &JobSpec) -> usize {
    let slots = spec.steps.len().saturating_mul(spec.occurrences() as usize);
    let open_slots = slots.min(MAX_OPEN_SLOTS + spec.steps.len());
    let tasks_per_occurrence: usize = spec.steps.iter().map(|step| step.count as usize).sum();
    let tasks = tasks_per_occurrence.saturating_mul(spec.occurrences() as usize);
    let startable = tasks.min(tasks_per_occurrence.saturating_mul(open_slots));
    OPEN_JOB_BYTES
        + spec.payload.len()
        + spec.steps.iter().map(open_step_bytes).sum::<usize>()
        + open_slots * OPEN_SLOT_BYTES
        + startable * STARTABLE_TASK_BYTES
}

fn open_step_bytes(step: &StepSpec) -> usize {
    let texts = [&step.required_label, &step.data_rack, &step.image];
    let texts: usize = texts.into_iter().flatten().map(|text| text.len()).sum();
    size_of::<StepSpec>() + DERIVED_STEP_BYTES + size_of_val(step.after.as_slice()) + texts
}

fn step_bytes(step: &StepSpec) -> usize {
    let texts = [&step.required_label, &step.data_rack, &step.image];
    let texts: usize = texts.into_iter().flatten().map(|text| text_bytes(text)).sum();
    size_of::<StepSpec>() + STORED_STEP_BYTES + step.after.len() * LIST_ELEMENT_BYTES + texts
}

/// Returns the size of a text and of its stored form.
fn text_bytes(text: &str) -> usize {
    let stored_bytes = |byte: u8| match byte {
        0..0x20 => ESCAPED_BYTES,
        b'"' | b'\\' => 2,
        _ => 1,
    };
    text.len() + text.bytes().map(stored_bytes).sum::<usize>()
}
