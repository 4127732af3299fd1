//! Each hop of a request has a span, linked to the span of the previous hop across processes.

mod support;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_standin::process;

use serde_json::Value;
use support::{DECLARATION, Daemon, Deployment, http, wait_for, work};

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN: &str = "00f067aa0ba902b7";

#[test]
fn every_hop() {
    let deployment = Deployment::new("every-hop", 2, 0);
    let file = deployment.file("spans.jsonl");
    let more = format!("traces: {{ span_file: {} }}", file.display());
    let mut daemons: Vec<Daemon> =
        ["a", "b"].iter().map(|name| deployment.start(name, &more)).collect();
    wait_for("the declaration", || daemons[0].apply(0, DECLARATION).0 != 503);
    wait_for("both to be ready", || daemons.iter().all(Daemon::is_ready));
    wait_for("heartbeats", || {
        daemons.iter().all(|daemon| {
            let members = daemon.get("/v1/status").1["members"].clone();
            let members = members.as_array().cloned().unwrap_or_default();
            members.len() == 2 && members.iter().all(|member| member["is_reachable"] == true)
        })
    });
    let traceparent = format!("00-{TRACE}-{CALLER_SPAN}-01");
    for daemon in &daemons {
        let headers = [("traceparent", traceparent.as_str())];
        let answer = http("POST", daemon.callers, "/render/x", &headers, &work(1, 100));
        assert_eq!(answer.expect("it answers").0, 200);
    }
    daemons.iter().for_each(|daemon| daemon.signal("TERM"));
    daemons.iter_mut().for_each(|daemon| assert!(daemon.wait()));
    let text = std::fs::read_to_string(file).expect("spans were written");
    let spans: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("one object a line"))
        .filter(|span| span["trace_id"] == TRACE)
        .collect();
    let names: BTreeMap<&str, &str> = spans
        .iter()
        .map(|span| (span["span_id"].as_str().unwrap_or(""), span["name"].as_str().unwrap_or("")))
        .collect();
    let links: Vec<String> = spans
        .iter()
        .map(|span| {
            let parent = span["parent_span_id"].as_str().unwrap_or("");
            let parent = names.get(parent).copied().unwrap_or(parent);
            format!("{parent} > {}", span["name"].as_str().unwrap_or(""))
        })
        .collect();
    let count = |link: &str| links.iter().filter(|found| *found == link).count();
    assert_eq!(count(&format!("{CALLER_SPAN} > request")), 2, "{links:?}");
    assert_eq!(count("request > peer"), 1, "one of the two is forwarded: {links:?}");
    assert_eq!(count("peer > decide"), 1, "{links:?}");
    assert_eq!(count("decide > executor") + count("request > executor"), 2, "{links:?}");
}

/// A collector that stores the bodies of the requests to it.
#[derive(Clone, Default)]
struct Collector {
    bodies: Arc<Mutex<Vec<String>>>,
}

impl Handler for Collector {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.bodies.lock().expect("no holder of this lock panics").push(body);
        Reply::new(200, "application/json", "{}")
    }
}

#[test]
fn collector_export() {
    let deployment = Deployment::new("collector-export", 1, 0);
    let collector = Collector::default();
    let handler = collector.clone();
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        process::block_on(async move {
            let any_port = "127.0.0.1:0".parse().expect("it is an address");
            let (listener, address) = process::bind(any_port).await.expect("it can be bound");
            sender.send(address).expect("the test waits for it");
            process::serve_forever(listener, process::default_limits(), handler).await;
        });
    });
    let address = receiver.recv().expect("the collector starts");
    let more = format!("traces: {{ collector_url: \"http://{address}/v1/traces\" }}");
    let mut daemon = deployment.start("a", &more);
    wait_for("the declaration", || daemon.apply(0, DECLARATION).0 != 503);
    wait_for("it to be ready", || daemon.is_ready());
    let traceparent = format!("00-{TRACE}-{CALLER_SPAN}-01");
    let headers = [("traceparent", traceparent.as_str())];
    let answer = http("POST", daemon.callers, "/render/x", &headers, &work(1, 100));
    assert_eq!(answer.expect("it answers").0, 200);
    daemon.signal("TERM");
    assert!(daemon.wait());
    let sent = collector.bodies.lock().expect("no holder of this lock panics").join("\n");
    assert!(sent.contains("resourceSpans") && sent.contains(TRACE), "OTLP over HTTP: {sent}");
    assert!(sent.contains("\"executor\"") && sent.contains("\"request\""), "both hops: {sent}");
}
