//! What is large for its link arrives late, and arrives.

mod support;

use support::{DECLARATION, Deployment, wait_for};

const LINK_BYTES_PER_S: u32 = 200_000;

/// The list took two seconds, was given up after one each time, and no entry ever served.
#[test]
fn long_list() {
    let deployment = Deployment::new("long-list", 1, 0).with_slow_list(40, LINK_BYTES_PER_S);
    let daemon = deployment.start("a", "");
    wait_for("the declaration to be accepted", || daemon.apply(0, DECLARATION).0 == 200);
    wait_for("the entry to be ready", || daemon.is_ready());
}
