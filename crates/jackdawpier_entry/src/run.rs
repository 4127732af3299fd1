//! Start, reload and shutdown of an entry process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use jackdawpier_kernel::{Now, body_budget::BodyLimits};
use serde_json::json;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{
    acceptance::{self, Intake},
    admission::AdmissionControl,
    callers::{CallerApi, MAX_TIMEOUT},
    clock,
    configuration::{self, ActiveConfiguration},
    connections::{ConnectionLimits, Connections},
    events::Events,
    freshness,
    http_server::{self, InFlight},
    job_room::JobRoomCheck,
    owner::{self, FleetHandle},
    pending::PendingCounter,
    ports::Platform,
    request_body::Request,
    settings::EntrySettings,
    speed::{self, MachineSpeed},
    tombstones::Tombstones,
};

/// Time for which the balancer still sends connections after a stop request: until two checks of the ready port, a
/// second apart, have failed.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// The process exits this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(800);
/// Maximum number of connections of each port that isn't for callers.
const MAX_INTERNAL_CONNECTIONS: usize = 64;
/// Interval between checks for requests in flight during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry until it is told to stop. `reload` is called when the settings may have changed, and returns its
/// result for the log.
pub async fn run<P: Platform>(
    platform: P,
    settings: EntrySettings,
    reload: impl Fn() -> String + 'static,
) -> io::Result<()> {
    let settings = Rc::new(settings);
    let events = Events::new(&settings.entry);
    let incarnation = format!("{}-{}", std::process::id(), clock::wall_ms());
    events.emit("started", json!({ "life": incarnation, "callers": settings.callers.to_string() }));
    let active = ActiveConfiguration::new(settings.revocation_deadline);
    let tombstones = Tombstones::new(settings.job_retention);
    let intake = Intake::new(tombstones.clone());
    let handle = FleetHandle::default();
    let (stop, stopping) = watch::channel(false);
    let in_flight = InFlight::default();

    tokio::task::spawn_local(configuration::follow(
        platform.clone(),
        active.clone(),
        events.clone(),
    ));
    tokio::task::spawn_local(freshness::prove_configuration(
        platform.clone(),
        active.clone(),
        events.clone(),
    ));
    tokio::task::spawn_local(acceptance::write_jobs(
        platform.clone(),
        intake.clone(),
        events.clone(),
    ));
    let owning = tokio::task::spawn_local(owner::compete_for_ownership(
        platform.clone(),
        settings.clone(),
        active.clone(),
        handle.clone(),
        events.clone(),
        incarnation,
        MachineSpeed::new(speed::measure),
    ));

    let callers = Rc::new(CallerApi {
        platform: platform.clone(),
        active: active.clone(),
        intake,
        tombstones,
        owner: handle.clone(),
        pending: PendingCounter::default(),
        admission: AdmissionControl::new(events.clone()),
        job_room: JobRoomCheck::new(events.clone(), settings.owner_memory().open_job_bytes),
        max_timeout: MAX_TIMEOUT,
        events: events.clone(),
    });
    let memory = settings.caller_memory();
    let connections = Connections::new(BodyLimits::new(memory.body_bytes));
    let limits = {
        let active = active.clone();
        move || ConnectionLimits { max_open: memory.max_connections, ..connection_limits(&active) }
    };
    let answer = move |request| callers.clone().handle(request);
    let serving = http_server::serve_with_limits(
        settings.callers,
        connections.clone(),
        limits,
        answer,
        in_flight.clone(),
        stopping.clone(),
    );
    tokio::task::spawn_local(report_failure("callers", serving, events.clone()));
    let ready = {
        let (active, stopping) = (active.clone(), stopping.clone());
        move |_| {
            let now = clock::now();
            let is_current = active.is_current(now) && active.can_verify_keys(now);
            let is_ready = !*stopping.borrow() && is_current;
            async move { ready_reply(is_ready) }
        }
    };
    let serving = serve_internal(settings.ready, ready, stopping.clone());
    tokio::task::spawn_local(report_failure("ready", serving, events.clone()));

    if let Some(address) = settings.metrics {
        let metrics = events.metrics();
        let (active, connections) = (active.clone(), connections.clone());
        let answer = move |_| {
            metrics.set_proof_age(active.proof_age());
            metrics.set_connections(connections.counts());
            metrics.set_bodies(connections.bodies());
            let text = metrics.text();
            async move { Response::new(Full::new(Bytes::from(text))) }
        };
        let serving = serve_internal(address, answer, stopping.clone());
        tokio::task::spawn_local(report_failure("metrics", serving, events.clone()));
    }

    wait_for_stop(&events, reload).await?;
    events.emit("stopping", json!({ "in_flight": in_flight.count() }));
    let asked_at = clock::now();
    // Tells the servers to stop before the ownership is released.
    let _ = stop.send(true);
    owning.abort();
    handle.release(&platform).await;
    let end_by = asked_at + settings.shutdown_grace.saturating_sub(KILL_MARGIN);
    let report = || events.emit("stopped", json!({ "in_flight": in_flight.count() }));
    drain(&in_flight, asked_at + BALANCER_LAG, end_by, report).await;
    connections.close(end_by).await;
    Ok(())
}

/// Serves a port that isn't for callers: its peers open few connections and send no bodies.
async fn serve_internal<H, F>(
    address: SocketAddr,
    handler: H,
    stopping: watch::Receiver<bool>,
) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = http_server::Reply> + 'static,
{
    let limits =
        || ConnectionLimits { max_open: MAX_INTERNAL_CONNECTIONS, ..ConnectionLimits::default() };
    let (connections, in_flight) = (Connections::default(), InFlight::default());
    http_server::serve_with_limits(address, connections, limits, handler, in_flight, stopping).await
}

/// Returns the limits of the callers' port from the configuration in force.
fn connection_limits(active: &ActiveConfiguration) -> ConnectionLimits {
    let defaults = ConnectionLimits::default();
    active.get().map_or(defaults, |configuration| ConnectionLimits {
        header_timeout: configuration.limits.header_timeout,
        idle_timeout: configuration.limits.idle_timeout,
        ..defaults
    })
}

/// Waits for requests in flight, including requests that arrive on open connections while `report` is written.
/// Returns no earlier than `earliest`, and stops waiting at `end_by`.
pub async fn drain(in_flight: &InFlight, earliest: Now, end_by: Now, report: impl FnOnce()) {
    wait_until_idle(in_flight, earliest, end_by).await;
    report();
    // Gives the log thread time to write its last lines.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 2).await;
    wait_until_idle(in_flight, earliest, end_by).await;
}

async fn wait_until_idle(in_flight: &InFlight, earliest: Now, end_by: Now) {
    loop {
        let now = clock::now();
        let is_idle = in_flight.count() == 0 && now >= earliest;
        if is_idle || now >= end_by {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn wait_for_stop(events: &Events, reload: impl Fn() -> String) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = hang_up.recv() => events.emit("reload", json!({ "found": reload() })),
        }
    }
}

async fn report_failure(
    port: &'static str,
    serving: impl Future<Output = io::Result<()>>,
    events: Events,
) {
    if let Err(error) = serving.await {
        events.emit("port_failed", json!({ "port": port, "why": error.to_string() }));
    }
}

fn ready_reply(is_ready: bool) -> http_server::Reply {
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
