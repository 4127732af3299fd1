//! Opening a cell whose log is larger than one answer of the store can be.

use std::time::Duration;

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_kernel::Now;
use jackdawpier_standin::store_model::StoreModel;
use jackdawpier_store::{Request, Response, StoreError, StoreResult};

const SEGMENTS: usize = 200;
const STATE_BYTES: usize = 1_000;
/// Room for about twenty segments.
const MAX_ANSWER_BYTES: usize = 25_000;

/// Calls the store, whose answers are lost if they are longer than `MAX_ANSWER_BYTES`.
fn call(store: &mut StoreModel, request: &Request) -> StoreResult {
    let response = store.call(Now::ZERO, request);
    if let Response::Records { records, .. } = &response {
        let length: usize = records.iter().map(|record| record.value.len()).sum();
        if length > MAX_ANSWER_BYTES {
            return Err(StoreError::ambiguous("the answer is too long"));
        }
    }
    Ok(response)
}

fn cell(incarnation: u64) -> Cell<String> {
    Cell::new("orders", "a".into(), incarnation, Duration::ZERO)
}

/// Runs the cell until it makes no more calls, and returns their number. Fails if there are far more
/// than needed.
fn drive(cell: &mut Cell<String>, store: &mut StoreModel, outputs: Vec<Output<String>>) -> usize {
    let (mut now, mut calls) = (Now::ZERO, 0);
    let mut pending = outputs;
    while let Some(output) = pending.pop() {
        if let Output::Call(request) = output {
            calls += 1;
            assert!(calls < 2 * SEGMENTS, "the cell repeats its calls without end");
            pending.extend(cell.on_result(now, call(store, &request)));
        }
        now += Duration::from_secs(1);
        if pending.is_empty() {
            pending.extend(cell.tick(now));
        }
    }
    calls
}

/// Guards against requesting a page that is too long again and again, which left the shard without
/// an owner.
#[test]
fn long_log() {
    let mut store = StoreModel::default();
    let mut writer = cell(1);
    let outputs = writer.open(Now::ZERO);
    drive(&mut writer, &mut store, outputs);
    for number in 0..SEGMENTS {
        writer
            .put(format!("j/{number}").into(), &"x".repeat(STATE_BYTES))
            .expect("the cell is open");
        let outputs = writer.tick(Now::ZERO);
        drive(&mut writer, &mut store, outputs);
    }
    let mut successor = cell(2);
    let outputs = successor.open(Now::ZERO);
    let calls = drive(&mut successor, &mut store, outputs);
    assert!(successor.is_open());
    assert_eq!(successor.segment_count(), SEGMENTS + 2);
    assert!(calls < SEGMENTS / 5, "{calls} calls for {SEGMENTS} segments");
}
