//! Size of the segments that a cell writes.

use std::{collections::VecDeque, time::Duration};

use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_kernel::Now;
use jackdawpier_standin::store_model::StoreModel;
use jackdawpier_store::{Request, protocol::MAX_VALUE_BYTES};

/// Executes the cell's calls and returns the length of the largest value written.
fn settle(cell: &mut Cell<String>, store: &mut StoreModel, outputs: Vec<Output<String>>) -> usize {
    let mut largest = 0;
    let mut outputs = VecDeque::from(outputs);
    while let Some(output) = outputs.pop_front() {
        let Output::Call(request) = output else { continue };
        if let Request::Put { value, .. } = &request {
            largest = largest.max(value.len());
        }
        let response = store.call(Now::ZERO, &request);
        outputs.extend(cell.on_result(Now::ZERO, Ok(response)));
    }
    largest
}

/// Guards against computing a segment's size without escaping: a quote takes two bytes in a state and
/// four in a segment.
#[test]
fn escaped_states() {
    let mut store = StoreModel::default();
    let mut cell = Cell::new("orders", "a".into(), 1, Duration::ZERO);
    let outputs = cell.open(Now::ZERO);
    settle(&mut cell, &mut store, outputs);
    let state = "\"".repeat(250);
    for number in 0..2_000 {
        cell.put(format!("j/{number}").into(), &state).expect("the cell is open");
    }
    let outputs = cell.tick(Now::ZERO);
    let largest = settle(&mut cell, &mut store, outputs);
    assert!(cell.is_settled());
    assert!(largest <= MAX_VALUE_BYTES, "a segment has {largest} bytes");
}
