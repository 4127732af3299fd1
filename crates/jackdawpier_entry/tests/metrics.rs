//! Metrics count all events, also those whose log lines are suppressed.

use std::time::Duration;

use jackdawpier_entry::{connections::ConnectionCounts, events::Events, metrics::Latency};
use jackdawpier_fleet::fleet::WaitingJobs;
use serde_json::json;

#[test]
fn suppressed_lines_counted() {
    let events = Events::new("entry");
    for _ in 0..2000 {
        events.emit("task_started", json!({ "end": "Started" }));
    }
    let text = events.metrics().text();
    let line = "jackdawpier_events_total{event=\"task_started\",outcome=\"Started\"} 2000";
    assert!(text.contains(line), "{text}");
}

#[test]
fn latency_histogram() {
    let events = Events::new("entry");
    events.metrics().observe(Latency::Write, Duration::from_millis(20));
    let text = events.metrics().text();
    assert!(text.contains("jackdawpier_record_write_seconds_count 1"), "{text}");
}

#[test]
fn connection_counts() {
    let events = Events::new("entry");
    let counts = ConnectionCounts { open: 3, idle_closed: 4, evicted: 5, aborted: 6 };
    events.metrics().set_connections(counts);
    let text = events.metrics().text();
    assert!(text.contains("jackdawpier_open_connections 3"), "{text}");
    for (why, count) in [("idle", 4), ("room", 5), ("broken_off", 6)] {
        let line = format!("jackdawpier_closed_connections_total{{why=\"{why}\"}} {count}");
        assert!(text.contains(&line), "{text}");
    }
}

#[test]
fn waiting_jobs() {
    let events = Events::new("entry");
    let waiting = WaitingJobs { on_time: 1, over_share: 2, late: 3, expired: 4 };
    events.metrics().set_waiting_jobs(&waiting);
    events.metrics().set_waiting_jobs(&WaitingJobs { late: 0, ..waiting });
    let text = events.metrics().text();
    for (class, count) in [("on_time", 1), ("over_share", 2), ("late", 0), ("expired", 4)] {
        let line = format!("jackdawpier_waiting_jobs{{class=\"{class}\"}} {count}");
        assert!(text.contains(&line), "{text}");
    }
}
