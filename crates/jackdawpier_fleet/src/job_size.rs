//! Upper bound on the memory that a job takes while it is being accepted.

use std::mem::size_of;

use crate::spec::{JobSpec, StepSpec};

/// Size of the fields of a step in its stored form, without texts and lists.
const STORED_STEP_BYTES: usize = 400;
/// Size of an element of a list, and of its digits in the stored form.
const LIST_ELEMENT_BYTES: usize = size_of::<usize>() + 8;
/// Size of a control character in the stored form.
const ESCAPED_BYTES: usize = 6;

/// Returns the memory of a job and of its stored form, in bytes. A short body can describe many steps, each of which takes
/// many times the memory of its description.
pub fn memory_bytes(spec: &JobSpec) -> usize {
    text_bytes(&spec.payload) + spec.steps.iter().map(step_bytes).sum::<usize>()
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
