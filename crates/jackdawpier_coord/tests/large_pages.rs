//! A cell whose log has grown larger than one answer of the store can carry.

use std::time::Duration;

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_kernel::Now;
use jackdawpier_standin::store_model::StoreModel;
use jackdawpier_store::{Request, Response, StoreError, StoreResult};

const SEGMENTS: usize = 200;
const STATE_BYTES: usize = 1_000;
/// Holds some twenty segments.
const MAX_ANSWER_BYTES: usize = 25_000;

/// Answers as a store does whose longer answers never arrive whole.
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

/// Drives the cell until it asks for nothing more, or has made more calls than it can need.
fn drive(cell: &mut Cell<String>, store: &mut StoreModel, outputs: Vec<Output<String>>) -> usize {
    let (mut now, mut calls) = (Now::ZERO, 0);
    let mut waiting = outputs;
    while let Some(output) = waiting.pop() {
        if let Output::Call(request) = output {
            calls += 1;
            assert!(calls < 2 * SEGMENTS, "the cell asks on and on");
            waiting.extend(cell.on_result(now, call(store, &request)));
        }
        now += Duration::from_secs(1);
        if waiting.is_empty() {
            waiting.extend(cell.tick(now));
        }
    }
    calls
}

/// The same page was asked for again for ever, and the service's shard had no owner.
#[test]
fn long_log() {
    let mut store = StoreModel::default();
    let mut writer = cell(1);
    let outputs = writer.open(Now::ZERO);
    drive(&mut writer, &mut store, outputs);
    for number in 0..SEGMENTS {
        writer.put(format!("j/{number}").into(), &"x".repeat(STATE_BYTES)).expect("it is open");
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
