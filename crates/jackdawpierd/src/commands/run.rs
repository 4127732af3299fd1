//! Runs the daemon until a planned stop.

use std::sync::Arc;

use jackdawpier_kernel::plugin;
use jackdawpier_peer::PeerEndpoint;
use jackdawpier_settings::settings::Settings;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    caller_limits, callers::CallerApi, control, entry::Entry, exit_status::ExitStatus, heartbeats,
    instance_reader, logging, operators, peers, stop, view_sync,
};

/// Runs the daemon with `settings`.
pub(crate) fn run(settings: Settings) -> ExitStatus {
    if let Err(error) = logging::init(&settings) {
        eprintln!("can't set up logging: {error}");
        return ExitStatus::Failure;
    }
    if let Some(conflict) = plugin::name_conflicts(&plugin::plugins()).first() {
        eprintln!("several roles register {}: {:?}", conflict.subject, conflict.roles);
        return ExitStatus::Failure;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Failure
        }
    }
}

async fn serve(settings: Settings) -> Result<(), String> {
    let callers = TcpListener::bind(settings.caller_address)
        .await
        .map_err(|error| format!("callers' address {}: {error}", settings.caller_address))?;
    let operators = tiny_http::Server::http(settings.operator_address)
        .map_err(|error| format!("operators' address {}: {error}", settings.operator_address))?;
    let files = jackdawpier_peer::TlsFiles {
        authority_file: settings.peer_tls.authority_file.clone(),
        certificate_file: settings.peer_tls.certificate_file.clone(),
        key_file: settings.peer_tls.key_file.clone(),
    };
    let endpoint =
        PeerEndpoint::bind(settings.peer_address, &files).map_err(|error| error.to_string())?;
    let callers_address = callers.local_addr().map_err(|error| error.to_string())?;
    let operators_address =
        operators.server_addr().to_ip().ok_or("the operators' port has no IP address")?;
    let (limits, bodies) = caller_limits::resolve(&settings.limits);
    let entry = Arc::new(Entry::new(settings, endpoint, operators_address, bodies.clone()));
    println!(
        "ready callers={callers_address} operators={operators_address} peers={}",
        entry.endpoint.local_address()
    );
    operators::spawn(operators, &entry);
    view_sync::spawn(&entry);
    instance_reader::spawn(&entry);
    heartbeats::spawn(&entry);
    control::spawn(&entry);
    peers::spawn(&entry);
    let (stop_callers, stopping) = watch::channel(false);
    let server = tokio::spawn(jackdawpier_http::serve_within(
        callers,
        limits,
        bodies,
        CallerApi::new(&entry),
        stopping,
    ));
    stop::wait_and_stop(&entry, &stop_callers, server).await;
    Ok(())
}
