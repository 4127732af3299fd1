//! The platform's instance list, with a lag that can be set.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_kernel::instance::{
    INSTANCES_PATH, Instance, InstanceList, InstanceState, ORDERS_PATH, Order, OrderAction,
};

use crate::process::{bind, default_limits, json, not_found, parse, serve_forever};

/// States kept for the lag.
const KEPT_STATES: usize = 1024;

#[derive(Default)]
struct Fleet {
    instances: BTreeMap<String, Instance>,
    history: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
    orders: BTreeMap<String, u32>,
    order_time: Duration,
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

/// The list's HTTP handler: `GET /v1/instances`, `POST /v1/orders`, and under `/admin`
/// `register`, `leave/ID`, `remove/ID`, `lag/MS`, `order-time/MS` and `counts` (orders by
/// instance that were really carried out).
#[derive(Clone, Default)]
pub struct InstanceListServer {
    fleet: Arc<Mutex<Fleet>>,
}

impl InstanceListServer {
    fn lock(&self) -> std::sync::MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of this lock panics")
    }

    /// Drains the instance, and brings it back after the time of an order.
    fn order(&self, order: &Order) {
        let mut fleet = self.lock();
        let time = fleet.order_time;
        let Some(instance) = fleet.instances.get_mut(&*order.instance) else { return };
        if instance.last_order == order.id {
            return;
        }
        instance.last_order.clone_from(&order.id);
        instance.state = InstanceState::Leaving;
        *fleet.orders.entry(order.instance.to_string()).or_default() += 1;
        fleet.changed();
        drop(fleet);
        let (server, order) = (self.clone(), order.clone());
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut fleet = server.lock();
            if let Some(instance) = fleet.instances.get_mut(&*order.instance) {
                instance.state = InstanceState::Live;
                if let OrderAction::MoveTo(pool) = &order.action {
                    instance.pool = pool.clone();
                    instance.service = pool.clone();
                }
            }
            fleet.changed();
        });
    }
}

impl Handler for InstanceListServer {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        if request.path == ORDERS_PATH {
            return parse::<Order>(&request).map_or_else(
                |reply| reply,
                |order| {
                    self.order(&order);
                    json(&"ok")
                },
            );
        }
        let mut fleet = self.lock();
        if request.path == INSTANCES_PATH {
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
                    instance.state = InstanceState::Leaving;
                }
            }
            "remove" => {
                fleet.instances.remove(argument);
            }
            "counts" => return json(&fleet.orders),
            "order-time" => {
                fleet.order_time = Duration::from_millis(argument.parse().unwrap_or(0));
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
    server.lock().lag = lag;
    on_ready(bound);
    serve_forever(listener, default_limits(), server).await;
    Ok(())
}

/// Registers an instance at the list; the platform does this for real instances.
pub fn register(list_url: &str, instance: &Instance) -> Result<(), ureq::Error> {
    let body = serde_json::to_vec(instance).expect("instances are plain data");
    ureq::post(format!("{list_url}/admin/register")).send(&body).map(|_| ())
}
