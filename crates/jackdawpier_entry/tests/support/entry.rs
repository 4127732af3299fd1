//! An entry with the callers' port, on an in-memory platform.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use jackdawpier_entry::{
    acceptance::{Intake, write_jobs},
    admission::AdmissionControl,
    callers::{CallerApi, MAX_TIMEOUT},
    configuration::{ActiveConfiguration, follow},
    connections::{ConnectionLimits, Connections},
    events::Events,
    freshness::prove_configuration,
    http_server::{InFlight, serve_with_limits},
    job_room::JobRoomCheck,
    owner::FleetHandle,
    pending::PendingCounter,
};
use jackdawpier_kernel::body_budget::BodyLimits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use super::{CONFIGURATION, Fake, tombstones, wait_until};

/// A running entry, which stops when it is dropped.
pub struct Entry {
    pub fake: Fake,
    pub address: SocketAddr,
    pub events: Events,
    pub connections: Connections,
    _stop: watch::Sender<bool>,
}

/// How an entry is started.
pub struct EntryOptions {
    /// For how long a proof of the keys is valid; none for no limit.
    pub valid_for: Option<Duration>,
    /// The fleet, while the entry owns it.
    pub owner: FleetHandle,
    /// Limits of its connections.
    pub limits: ConnectionLimits,
    /// Limits of the bodies of requests.
    pub bodies: BodyLimits,
    /// The whole room for open jobs.
    pub open_job_bytes: usize,
    /// Upper limit of the timeouts that callers state.
    pub max_timeout: Duration,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            valid_for: None,
            owner: FleetHandle::default(),
            limits: ConnectionLimits::default(),
            bodies: BodyLimits::new(1024 * 1024),
            open_job_bytes: 30 * 1024 * 1024,
            max_timeout: MAX_TIMEOUT,
        }
    }
}

impl Entry {
    /// Starts an entry whose proofs of keys expire after `valid_for`, and waits until it has a configuration. Writes a
    /// minimal configuration if the store has none.
    pub async fn start(fake: &Fake, valid_for: Option<Duration>) -> Self {
        Self::start_with_owner(fake, valid_for, FleetHandle::default()).await
    }

    /// As [`Entry::start`], with access to the fleet while `owner` owns it.
    pub async fn start_with_owner(
        fake: &Fake,
        valid_for: Option<Duration>,
        owner: FleetHandle,
    ) -> Self {
        Self::start_with(fake, EntryOptions { valid_for, owner, ..EntryOptions::default() }).await
    }

    /// As [`Entry::start`], with all options.
    pub async fn start_with(fake: &Fake, options: EntryOptions) -> Self {
        let EntryOptions { valid_for, owner, limits, bodies, open_job_bytes, max_timeout } =
            options;
        if fake.value(CONFIGURATION).is_none() {
            fake.put(CONFIGURATION, b"1");
        }
        let active = ActiveConfiguration::new(valid_for);
        let events = Events::new("a");
        tokio::task::spawn_local(follow(fake.clone(), active.clone(), events.clone()));
        tokio::task::spawn_local(prove_configuration(fake.clone(), active.clone(), events.clone()));
        let tombstones = tombstones();
        let intake = Intake::new(tombstones.clone());
        tokio::task::spawn_local(write_jobs(fake.clone(), intake.clone(), events.clone()));
        let callers = Rc::new(CallerApi {
            platform: fake.clone(),
            active: active.clone(),
            intake,
            tombstones,
            owner,
            pending: PendingCounter::default(),
            admission: AdmissionControl::new(events.clone()),
            job_room: JobRoomCheck::new(events.clone(), open_job_bytes),
            max_timeout,
            events: events.clone(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        drop(listener);
        let (stop, stopping) = watch::channel(false);
        let answer = move |request| callers.clone().handle(request);
        let connections = Connections::new(bodies);
        let serving = serve_with_limits(
            address,
            connections.clone(),
            move || limits,
            answer,
            InFlight::default(),
            stopping,
        );
        tokio::task::spawn_local(serving);
        let is_ready =
            || active.get().is_some() && (valid_for.is_none() || active.proof_age().is_some());
        assert!(wait_until(is_ready).await);
        Self { fake: fake.clone(), address, events, connections, _stop: stop }
    }

    /// Opens a connection as soon as the port listens.
    pub async fn connect(&self) -> TcpStream {
        loop {
            match TcpStream::connect(self.address).await {
                Ok(stream) => return stream,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Sends one request and returns the whole answer.
    pub async fn request(&self, method: &str, path: &str, key: Option<&str>) -> String {
        let mut stream = self.connect().await;
        let key = key.map_or(String::new(), |key| format!("x-key: {key}\r\n"));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: host\r\n{key}connection: close\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("the request is answered");
        answer
    }

    pub async fn status(&self, method: &str, path: &str, key: Option<&str>) -> u16 {
        let answer = self.request(method, path, key).await;
        answer[9..12].parse().expect("a status follows the version")
    }
}
