//! A client that may have only so many connections open.

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

const PATIENCE: Duration = Duration::from_secs(1);
/// How long a host takes for an answer.
const WORK: Duration = Duration::from_millis(200);

/// Starts a host; it stops with the test.
fn start_host(stopping: &watch::Receiver<bool>) -> Arc<str> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let handler = |_| async {
        tokio::time::sleep(WORK).await;
        Response::new(Full::new(Bytes::from("yes")))
    };
    tokio::task::spawn_local(serve(address, handler, InFlight::default(), stopping.clone()));
    address.to_string().into()
}

async fn ask(client: &HttpClient, host: &Arc<str>) -> Result<Answer, NoAnswer> {
    client.call(host, &Call::new(Method::GET, "/"), PATIENCE).await
}

/// Talks with thousands of executors took up all descriptors of the owner: its renewals found none left, and
/// it lost the fleet; so did the next.
#[test]
fn store_beside_executors() {
    run(async {
        let (_stop, stopping) = watch::channel(false);
        let hosts: Vec<_> = (0..4).map(|_| start_host(&stopping)).collect();
        tokio::task::yield_now().await;
        let executors = HttpClient::bounded(2);
        let talks: Vec<_> = hosts[..3]
            .iter()
            .map(|host| {
                let (executors, host) = (executors.clone(), host.clone());
                tokio::task::spawn_local(async move { ask(&executors, &host).await })
            })
            .collect();
        let mut refused = Vec::new();
        for talk in talks {
            refused.extend(talk.await.expect("it doesn't panic").err());
        }
        assert_eq!(refused, [NoAnswer::NotSent(SendFailure::NoConnectionSlot)]);
        assert!(
            ask(&HttpClient::default(), &hosts[3]).await.is_ok(),
            "the store's own connections"
        );
    });
}

/// Idle connections to hosts that were asked before kept others from being asked at all.
#[test]
fn idle_elsewhere() {
    run(async {
        let (_stop, stopping) = watch::channel(false);
        let hosts: Vec<_> = (0..6).map(|_| start_host(&stopping)).collect();
        tokio::task::yield_now().await;
        let client = HttpClient::bounded(2);
        for host in &hosts {
            assert!(ask(&client, host).await.is_ok());
        }
    });
}
