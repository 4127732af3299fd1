//! The stand-ins do what their switches say.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_kernel::task::{
    StartTask, TASKS_PATH, TaskAction, TaskCommand, TaskReport, TaskResources, TaskState,
};
use jackdawpier_standin::{
    process::{any_port, spawn as spawn_standin},
    store_server, worker,
};
use jackdawpier_store::{Request, StoreClient, StoreError};

fn post(address: SocketAddr, path: &str, body: &str) -> Vec<u8> {
    let answer = ureq::post(format!("http://{address}{path}")).send(body);
    answer.expect("it answers").body_mut().read_to_vec().expect("it is whole")
}

#[test]
fn rate_limit() {
    let address = spawn_standin(|ready| {
        store_server::run(any_port(), 1, move |at| ready.send(at).expect("the test waits"))
    });
    let client = StoreClient::new(&format!("http://{address}"));
    let call = || client.call(&Request::Get { key: "x".to_owned() });
    assert!(call().is_ok());
    post(address, "/admin/faults", r#"{"calls_per_s": 1}"#);
    let refused = (0..10).map(|_| call()).filter(Result::is_err).count();
    assert!(refused >= 5, "{refused} of 10 calls were refused");
    post(address, "/admin/faults", r#"{"is_down": true}"#);
    assert!(matches!(call(), Err(StoreError::Unavailable { .. })));
}

fn tell(address: SocketAddr, action: TaskAction) -> TaskReport {
    let command = TaskCommand { job: "j".into(), attempt: 1, action };
    let body = serde_json::to_string(&command).expect("it is plain data");
    serde_json::from_slice(&post(address, &format!("{TASKS_PATH}/command"), &body))
        .expect("a report")
}

fn begin(address: SocketAddr, attempt: u32, work_us: u64) -> TaskReport {
    let task = StartTask {
        job: "j".into(),
        attempt,
        class: "c".into(),
        customer: "k".into(),
        size: TaskResources::default(),
        lease_ms: 60_000,
        payload: format!(r#"{{"nonce": 1, "work_us": {work_us}}}"#),
    };
    let body = serde_json::to_string(&task).expect("it is plain data");
    serde_json::from_slice(&post(address, TASKS_PATH, &body)).expect("a report")
}

#[test]
fn checkpoint_kept() {
    let address = spawn_standin(|ready| {
        worker::run(any_port(), move |at| ready.send(at).expect("the test waits"))
    });
    assert_eq!(begin(address, 1, 1_500_000).state, TaskState::Running);
    tell(address, TaskAction::Throttle);
    std::thread::sleep(Duration::from_millis(600));
    tell(address, TaskAction::Checkpoint);
    assert_eq!(tell(address, TaskAction::Stop).state, TaskState::Stopped);
    // Without the checkpoint the second attempt would take an hour.
    begin(address, 2, 3_600_000_000);
    let done = || {
        let mut answer =
            ureq::get(format!("http://{address}{TASKS_PATH}")).call().expect("it answers");
        let reports: Vec<TaskReport> =
            serde_json::from_slice(&answer.body_mut().read_to_vec().expect("it is whole"))
                .expect("reports");
        reports[0].state == TaskState::Done
    };
    let finished = (0..600).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        done()
    });
    assert!(finished, "the second attempt goes on from the checkpoint");
}
