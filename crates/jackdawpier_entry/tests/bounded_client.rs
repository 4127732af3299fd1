//! An HTTP client with a limit on open connections.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response};
use jackdawpier_entry::{
    http_client::{Answer, Call, HttpClient, NoAnswer, SendFailure},
    http_server::{InFlight, serve},
};
use support::run;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(1);
/// How long a host takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// Starts a host that runs until the end of the test.
fn start_host(stopping: &watch::Receiver<bool>) -> Arc<str> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let handler = |_| async {
        tokio::time::sleep(ANSWER_DELAY).await;
        Response::new(Full::new(Bytes::from("yes")))
    };
    tokio::task::spawn_local(serve(address, handler, InFlight::default(), stopping.clone()));
    address.to_string().into()
}

async fn send_request(client: &HttpClient, host: &Arc<str>) -> Result<Answer, NoAnswer> {
    client.call(host, &Call::new(Method::GET, "/"), TIMEOUT).await
}

/// Connections to thousands of executors used all file descriptors of the owner, so it couldn't renew its
/// lease and lost ownership, as did the next owner.
#[test]
fn separate_limits() {
    run(async {
        let (_stop, stopping) = watch::channel(false);
        let hosts: Vec<_> = (0..4).map(|_| start_host(&stopping)).collect();
        tokio::task::yield_now().await;
        let executors = HttpClient::bounded(2);
        let calls: Vec<_> = hosts[..3]
            .iter()
            .map(|host| {
                let (executors, host) = (executors.clone(), host.clone());
                tokio::task::spawn_local(async move { send_request(&executors, &host).await })
            })
            .collect();
        let mut refused = Vec::new();
        for call in calls {
            refused.extend(call.await.expect("the task doesn't panic").err());
        }
        assert_eq!(refused, [NoAnswer::NotSent(SendFailure::NoConnectionSlot)]);
        assert!(
            send_request(&HttpClient::default(), &hosts[3]).await.is_ok(),
            "the client of the store has its own limit"
        );
    });
}

/// Idle connections to some hosts used the whole limit, so that no other host could be called.
#[test]
fn idle_evicted() {
    run(async {
        let (_stop, stopping) = watch::channel(false);
        let hosts: Vec<_> = (0..6).map(|_| start_host(&stopping)).collect();
        tokio::task::yield_now().await;
        let client = HttpClient::bounded(2);
        for host in &hosts {
            assert!(send_request(&client, host).await.is_ok());
        }
    });
}
