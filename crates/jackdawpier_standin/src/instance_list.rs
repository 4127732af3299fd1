//! The platform's instance list, with a lag that can be set.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_kernel::instance::{Instance, InstanceList, LIST_PATH, State};

use crate::process::{bind, default_limits, json, not_found, parse, serve_forever};

/// States kept for the lag.
const KEPT_STATES: usize = 1024;

#[derive(Default)]
struct Fleet {
    instances: BTreeMap<String, Instance>,
    history: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
}

impl Fleet {
    fn changed(&mut self) {
        let list = InstanceList { instances: self.instances.values().cloned().collect() };
        self.history.push_back((Instant::now(), list));
        if self.history.len() > KEPT_STATES {
            self.history.pop_front();
        }
    }

    fn lagging(&self) -> InstanceList {
        let lag = self.lag;
        let seen = self.history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// The list's HTTP handler: `GET /v1/instances`, and under `/admin` `register`, `leave/ID`,
/// `remove/ID`, `lag/MS`.
#[derive(Clone, Default)]
pub struct InstanceListServer {
    fleet: Arc<Mutex<Fleet>>,
}

impl Handler for InstanceListServer {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        let mut fleet = self.fleet.lock().expect("no holder of this lock panics");
        if request.path == LIST_PATH {
            return json(&fleet.lagging());
        }
        let mut parts = request.path.trim_start_matches("/admin/").splitn(2, '/');
        let (action, argument) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match action {
            "register" => match parse::<Instance>(&request) {
                Ok(instance) => {
                    fleet.instances.insert(instance.id.to_string(), instance);
                }
                Err(reply) => return reply,
            },
            "leave" => {
                if let Some(instance) = fleet.instances.get_mut(argument) {
                    instance.state = State::Leaving;
                }
            }
            "remove" => {
                fleet.instances.remove(argument);
            }
            "lag" => fleet.lag = Duration::from_millis(argument.parse().unwrap_or(0)),
            _ => return not_found(),
        }
        fleet.changed();
        json(&"ok")
    }
}

/// Runs the list; `on_ready` gets the address that was bound.
pub async fn run(
    address: SocketAddr,
    lag: Duration,
    on_ready: impl FnOnce(SocketAddr),
) -> std::io::Result<()> {
    let (listener, bound) = bind(address).await?;
    let server = InstanceListServer::default();
    server.fleet.lock().expect("no holder of this lock panics").lag = lag;
    on_ready(bound);
    serve_forever(listener, default_limits(), server).await;
    Ok(())
}

/// Registers an instance at the list; the platform does this for real instances.
pub fn register(list_url: &str, instance: &Instance) -> Result<(), ureq::Error> {
    let body = serde_json::to_vec(instance).expect("instances are plain data");
    ureq::post(format!("{list_url}/admin/register")).send(&body).map(|_| ())
}
