//! State shared by all parts of the daemon.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use jackdawpier_coord::{
    configuration::Configuration,
    membership::{Member, Membership, View},
    ownership::Ownership,
};
use jackdawpier_http::request_body::BodyMemory;
use jackdawpier_kernel::{
    Now,
    ids::{EntryId, ServiceName},
    instance::Instance,
};
use jackdawpier_peer::PeerEndpoint;
use jackdawpier_settings::settings::Settings;
use jackdawpier_store::{Request, StoreClient, StoreResult};
use rand::Rng;

use crate::{
    capacity::Capacity, demand::DemandView, metrics::Metrics, service::Service, traces::Traces,
};

/// Last heartbeat of a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerContact {
    pub(crate) last_heartbeat_at: Now,
    pub(crate) is_ready: bool,
}

/// The coordination state, behind one lock. No I/O is done while the lock is held.
pub(crate) struct Coordination {
    pub(crate) membership: Membership,
    pub(crate) view: View,
    pub(crate) ownership: Ownership,
    pub(crate) configuration: Configuration,
    pub(crate) contacts: HashMap<EntryId, PeerContact>,
    /// Whether the view has been read from the store at least once.
    pub(crate) is_view_loaded: bool,
}

/// The shared state of one daemon.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    /// Random number of this process, which distinguishes restarts of the entry.
    pub(crate) incarnation: u64,
    pub(crate) endpoint: PeerEndpoint,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) traces: Traces,
    /// Memory of the bodies of callers' requests.
    pub(crate) bodies: BodyMemory,
    pub(crate) capacity: Capacity,
    pub(crate) is_stopping: AtomicBool,
    /// Whether the instance list has been read at least once.
    pub(crate) is_instance_list_loaded: AtomicBool,
    pub(crate) requests_in_flight: AtomicUsize,
    /// Locked while documents are fetched from a peer.
    pub(crate) document_fetch: tokio::sync::Mutex<()>,
    started_at: Instant,
    next_request: AtomicU64,
    coordination: Mutex<Coordination>,
    services: Mutex<BTreeMap<ServiceName, Arc<Service>>>,
    instances: Mutex<Arc<Vec<Instance>>>,
    demand: Mutex<DemandView>,
}

impl Entry {
    pub(crate) fn new(
        settings: Settings,
        endpoint: PeerEndpoint,
        operators_address: SocketAddr,
        bodies: BodyMemory,
    ) -> Self {
        let incarnation = rand::rng().next_u64() >> 1;
        let own = Member {
            entry: settings.entry.clone(),
            zone: settings.zone.clone(),
            peer_address: endpoint.local_address().to_string(),
            operator_address: operators_address.to_string(),
            incarnation,
            in_force: BTreeMap::new(),
            is_stopping: false,
        };
        let coordination = Coordination {
            membership: Membership::new(own, settings.timing.member_lease),
            view: View::default(),
            ownership: Ownership::new(settings.entry.clone(), incarnation),
            configuration: Configuration::new(settings.timing.isolation_limit),
            contacts: HashMap::new(),
            is_view_loaded: false,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            metrics: Metrics::default(),
            traces: Traces::new(&settings),
            bodies,
            capacity: Capacity::new(),
            is_stopping: AtomicBool::new(false),
            is_instance_list_loaded: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            document_fetch: tokio::sync::Mutex::default(),
            started_at: Instant::now(),
            next_request: AtomicU64::new(0),
            coordination: Mutex::new(coordination),
            services: Mutex::default(),
            instances: Mutex::default(),
            demand: Mutex::default(),
            incarnation,
            endpoint,
            settings,
        }
    }

    /// Returns the time since the start of this process, the clock of all decisions.
    pub(crate) fn now(&self) -> Now {
        self.started_at.elapsed()
    }

    pub(crate) fn name(&self) -> &EntryId {
        &self.settings.entry
    }

    pub(crate) fn coordination(&self) -> MutexGuard<'_, Coordination> {
        self.coordination.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns whether callers may be served: the configuration is in force here, and the instance
    /// list was read, without which every request would be refused.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_instance_list_loaded.load(Ordering::Relaxed) && self.has_configuration()
    }

    fn has_configuration(&self) -> bool {
        let now = self.now();
        let mut coordination = self.coordination();
        let Coordination { membership, view, configuration, .. } = &mut *coordination;
        configuration.is_ready(now, &membership.status(view))
    }

    /// Returns a new request id, unique over all entries and their restarts.
    pub(crate) fn new_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.name(), self.incarnation)
    }

    /// Returns the service `name`; creates it on first use.
    pub(crate) fn service(self: &Arc<Self>, name: &ServiceName) -> Arc<Service> {
        let mut services = self.services.lock().expect("no holder of this lock panics");
        if let Some(service) = services.get(name) {
            return Arc::clone(service);
        }
        let service = Arc::new(Service::new(self, name.clone()));
        // The classes and executors must be set before other threads can find the service.
        service.refresh();
        services.insert(name.clone(), Arc::clone(&service));
        service
    }

    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        let services = self.services.lock().expect("no holder of this lock panics");
        services.values().cloned().collect()
    }

    pub(crate) fn instances(&self) -> Arc<Vec<Instance>> {
        Arc::clone(&self.instances.lock().expect("no holder of this lock panics"))
    }

    pub(crate) fn demand(&self) -> MutexGuard<'_, DemandView> {
        self.demand.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn set_instances(&self, instances: Vec<Instance>) {
        *self.instances.lock().expect("no holder of this lock panics") = Arc::new(instances);
    }

    /// Calls the store on a blocking thread.
    pub(crate) async fn call_store(self: &Arc<Self>, request: Request) -> StoreResult {
        let entry = Arc::clone(self);
        let call = tokio::task::spawn_blocking(move || {
            let result = entry.store.call(&request);
            entry.metrics.count_store_call(request.name(), result.is_ok());
            result
        });
        call.await.expect("store calls don't panic")
    }
}
