//! Large transfers over slow links succeed, however long they take.

mod support;

use std::fmt::Write;

use jackdawpier_standin::{relay::Cut, udp_link};
use support::{DECLARATION, Deployment, wait_for};

const LINK_BYTES_PER_S: u32 = 200_000;

/// Guards against a timeout for the whole instance list: the list takes two seconds here, and with a
/// timeout of one second no entry ever got ready.
#[test]
fn long_list() {
    let deployment = Deployment::new("long-list", 1, 0).with_slow_list(40, LINK_BYTES_PER_S);
    let daemon = deployment.start("a", "");
    wait_for("the declaration to be accepted", || daemon.apply(0, DECLARATION).0 == 200);
    wait_for("the entry to be ready", || daemon.is_ready());
}

/// Returns a declaration with this many classes with long names.
fn large_declaration(classes: usize) -> String {
    let mut text = "deployment: test\nclasses:\n".to_owned();
    for class in 0..classes {
        writeln!(
            text,
            "  - {{name: {}{class}, service: {}, kind: quick, finish_within_ms: 1, capacity_instances: 1}}",
            "n".repeat(50),
            "s".repeat(60)
        )
        .expect("a string takes everything");
    }
    text
}

/// Guards against attaching a large document to the answer to a heartbeat: such an answer times out
/// after 0.8 s each time, so neither the document nor the heartbeat ever arrives.
#[test]
fn large_document() {
    let deployment = Deployment::new("large-document", 1, 0).with_store_relays();
    let first = deployment.start("a", "");
    wait_for("the declaration to be accepted", || {
        first.apply(0, &large_declaration(2_600)).0 == 200
    });
    let link = udp_link::start(first.peers, LINK_BYTES_PER_S).expect("there is a free port");
    deployment.cut_from_store("b", Cut::All);
    let newcomer = deployment.start("b", &format!("seed_peers: [\"{link}\"]"));
    wait_for("the document to arrive", || newcomer.revision() == 1);
}
