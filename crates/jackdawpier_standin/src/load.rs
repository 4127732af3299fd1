//! Drives callers against the entries (or an executor directly) and checks every answer.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use jackdawpier_kernel::headers;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    executor::{Work, WorkDone},
    load_report::{Report, Sent},
};

/// Times that a caller comes back after "not run".
const MAX_TRIES: u32 = 20;
/// Longest wait that a caller accepts before it comes back.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time after which a caller gives up on an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// One kind of work in the mix.
#[derive(Debug, Clone)]
pub struct MixPart {
    /// Name of the class.
    pub class: String,
    /// Relative frequency.
    pub share: u32,
    /// Time that the work takes, in microseconds.
    pub work_us: u64,
    /// Whether requests carry an idempotency key.
    pub is_keyed: bool,
}

/// What the load command does.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Addresses to send to, in turns.
    pub targets: Vec<SocketAddr>,
    /// The mix of classes.
    pub mix: Vec<MixPart>,
    /// Requests in total.
    pub requests: u64,
    /// Callers at once.
    pub callers: usize,
    /// Customers.
    pub customers: u32,
    /// Times that the first customer sends as much as each other.
    pub skew: u32,
    /// Requests a second of all callers together; zero is as fast as answers come.
    pub rate_per_s: u64,
    /// Seed of the choices.
    pub seed: u64,
}

struct Shared {
    plan: LoadPlan,
    next: AtomicU64,
    started_at: Instant,
    sent: Mutex<Vec<Sent>>,
}

/// Runs the plan and returns what was sent and what came back.
pub fn run(plan: &LoadPlan) -> Report {
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        next: AtomicU64::new(0),
        started_at: Instant::now(),
        sent: Mutex::default(),
    });
    let callers: Vec<_> = (0..plan.callers)
        .map(|index| {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || Caller::new(&shared, index).run(&shared))
        })
        .collect();
    for caller in callers {
        caller.join().expect("callers do not panic");
    }
    let took = shared.started_at.elapsed();
    let sent = std::mem::take(&mut *shared.sent.lock().expect("no holder of this lock panics"));
    Report::new(sent, took)
}

struct Caller {
    agent: ureq::Agent,
    random: ChaCha8Rng,
    target: usize,
}

impl Caller {
    fn new(shared: &Shared, index: usize) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(CALLER_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_age(Duration::from_secs(3))
            .build()
            .new_agent();
        let random = ChaCha8Rng::seed_from_u64(shared.plan.seed ^ (index as u64) << 32);
        Self { agent, random, target: index }
    }

    fn run(&mut self, shared: &Shared) {
        let mut sent = Vec::new();
        loop {
            let number = shared.next.fetch_add(1, Ordering::Relaxed);
            if number >= shared.plan.requests {
                break;
            }
            pace(shared, number);
            sent.push(self.request(&shared.plan, number));
        }
        shared.sent.lock().expect("no holder of this lock panics").append(&mut sent);
    }

    fn request(&mut self, plan: &LoadPlan, number: u64) -> Sent {
        let part = self.choose_part(plan);
        let customer = self.choose_customer(plan);
        let nonce = plan.seed.wrapping_mul(1_000_000_007).wrapping_add(number);
        let mut sent = Sent::new(&part, customer, nonce);
        let started_at = Instant::now();
        for _ in 0..MAX_TRIES {
            let target = plan.targets[self.target % plan.targets.len()];
            self.target += 1;
            let wait = self.try_once(target, &part, &mut sent);
            let Some(wait) = wait else { break };
            std::thread::sleep(wait.min(MAX_WAIT));
        }
        sent.latency = started_at.elapsed();
        sent
    }

    /// Sends once; returns how long to wait if the request provably did not run.
    fn try_once(&self, target: SocketAddr, part: &MixPart, sent: &mut Sent) -> Option<Duration> {
        let work = Work { nonce: sent.nonce, work_us: part.work_us };
        let body = serde_json::to_vec(&work).expect("work is plain data");
        let mut request = self
            .agent
            .post(format!("http://{target}/{}/work", part.class))
            .header("content-type", "application/json")
            .header(headers::CUSTOMER, format!("customer-{}", sent.customer));
        if part.is_keyed {
            request = request.header(headers::IDEMPOTENCY_KEY, format!("key-{}", sent.nonce));
        }
        sent.tries += 1;
        let mut response = match request.send(&body) {
            Ok(response) => response,
            Err(error) => {
                let is_refused = matches!(&error, ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused);
                "no_answer".clone_into(&mut sent.outcome);
                // A keyed request may be repeated; any other only if it was never sent.
                return (is_refused || part.is_keyed).then_some(Duration::from_millis(100));
            }
        };
        let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
        header(headers::OUTCOME).unwrap_or("answered").clone_into(&mut sent.outcome);
        let wait_ms = header(headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_vec();
        match (sent.outcome.as_str(), body) {
            (_, Err(_)) => {
                sent.is_truncated = true;
                None
            }
            ("answered", Ok(body)) => {
                sent.is_accepted = status == 202;
                sent.is_foreign = !sent.is_accepted && !is_right(&body, sent.nonce);
                None
            }
            ("not_run", Ok(_)) => Some(Duration::from_millis(wait_ms.unwrap_or(100))),
            // The outcome of a keyed request can be asked for again.
            _ => None,
        }
    }

    fn choose_part(&mut self, plan: &LoadPlan) -> MixPart {
        let total: u32 = plan.mix.iter().map(|part| part.share).sum();
        let mut at = self.random.random_range(0..total.max(1));
        for part in &plan.mix {
            if at < part.share {
                return part.clone();
            }
            at -= part.share;
        }
        plan.mix[0].clone()
    }

    fn choose_customer(&mut self, plan: &LoadPlan) -> u32 {
        let total = plan.skew + plan.customers.saturating_sub(1);
        let at = self.random.random_range(0..total.max(1));
        at.saturating_sub(plan.skew.saturating_sub(1))
    }
}

fn is_right(body: &[u8], nonce: u64) -> bool {
    serde_json::from_slice::<WorkDone>(body).is_ok_and(|done| done == WorkDone::new(nonce))
}

fn pace(shared: &Shared, number: u64) {
    if shared.plan.rate_per_s == 0 {
        return;
    }
    let due = Duration::from_secs_f64(number as f64 / shared.plan.rate_per_s as f64);
    let early = due.saturating_sub(shared.started_at.elapsed());
    if !early.is_zero() {
        std::thread::sleep(early);
    }
}

/// Fetches and adds up the counts of runs by nonce from executors and workers.
pub fn fetch_runs(executors: &[String], workers: &[String]) -> BTreeMap<u64, u32> {
    use crate::{executor::ExecutorCounts, worker::WorkerCounts};
    let mut runs = BTreeMap::new();
    for address in executors {
        let Some(counts) = fetch::<ExecutorCounts>(address) else { continue };
        for (nonce, count) in counts.runs {
            *runs.entry(nonce).or_default() += count;
        }
    }
    for address in workers {
        let Some(counts) = fetch::<WorkerCounts>(address) else { continue };
        // A job's id ends in its nonce, which the load command put into its key.
        for (job, count) in counts.completed {
            if let Some(nonce) = job.rsplit("key-").next().and_then(|text| text.parse().ok()) {
                *runs.entry(nonce).or_default() += count;
            }
        }
    }
    runs
}

/// Fetches the counts of one stand-in, or `None` if it is gone.
pub fn fetch<T: serde::de::DeserializeOwned>(address: &str) -> Option<T> {
    let mut response = ureq::get(format!("http://{address}/admin/counts")).call().ok()?;
    let body = response.body_mut().with_config().limit(64 << 20).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}
