//! What a load run measured, and the counts that must be zero.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::MixPart;

const MAX_LATENCY_US: u64 = 120_000_000;

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Class of the request.
    pub class: String,
    /// Whether it carried a key.
    pub is_keyed: bool,
    /// Number of the customer.
    pub customer: u32,
    /// Its nonce.
    pub nonce: u64,
    /// Times that it was sent.
    pub tries: u32,
    /// The last outcome.
    pub outcome: String,
    /// Time from the first try to the last answer.
    pub latency: Duration,
    /// Whether a success was another request's answer.
    pub is_foreign: bool,
    /// Whether an answer broke off.
    pub is_truncated: bool,
    /// Whether it was accepted as a durable job.
    pub is_accepted: bool,
}

impl Sent {
    /// Returns a request that was not sent yet.
    pub fn new(part: &MixPart, customer: u32, nonce: u64) -> Self {
        Self {
            class: part.class.clone(),
            is_keyed: part.is_keyed,
            customer,
            nonce,
            tries: 0,
            outcome: String::new(),
            latency: Duration::ZERO,
            is_foreign: false,
            is_truncated: false,
            is_accepted: false,
        }
    }
}

/// Latency percentiles, in microseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Requests.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// Counts that must be zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Answers that broke off.
    pub truncated: u64,
    /// Keyed requests that ran more than once.
    pub ran_twice: u64,
    /// Requests told "not run" last, although they ran.
    pub false_not_run: u64,
    /// Requests told "answered", or accepted as jobs, that never ran.
    pub lost: u64,
}

impl Violations {
    /// Whether all counts are zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

/// The whole report.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Latency by class.
    pub by_class: BTreeMap<String, Latency>,
    /// Latency by number of the customer.
    pub by_customer: BTreeMap<u32, Latency>,
    /// Latency of the first (loud) customer's answered requests.
    pub loud_customer: Latency,
    /// Latency of all other customers' answered requests.
    pub other_customers: Latency,
    /// Final outcomes.
    pub outcomes: BTreeMap<String, u64>,
    /// Answered requests a second.
    pub answered_per_s: f64,
    /// Tries beyond the first.
    pub repeats: u64,
    /// Counts that must be zero.
    pub violations: Violations,
    #[serde(skip)]
    sent: Vec<Sent>,
}

fn latency<'a>(sent: impl Iterator<Item = &'a Sent>) -> Latency {
    let mut histogram =
        Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid");
    for request in sent.filter(|request| request.outcome == "answered") {
        histogram.saturating_record(request.latency.as_micros() as u64);
    }
    Latency {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}

impl Report {
    /// Sums up what was sent in `took`; runs are checked later by [`Report::check_runs`].
    pub fn new(sent: Vec<Sent>, took: Duration) -> Self {
        let mut by_class = BTreeMap::new();
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        for request in &sent {
            by_class.entry(request.class.clone()).or_insert_with(Latency::default);
            *outcomes.entry(request.outcome.clone()).or_default() += 1;
        }
        for (class, figures) in &mut by_class {
            *figures = latency(sent.iter().filter(|request| request.class == *class));
        }
        let customers: BTreeSet<u32> = sent.iter().map(|request| request.customer).collect();
        let by_customer = customers
            .into_iter()
            .map(|customer| {
                (customer, latency(sent.iter().filter(|request| request.customer == customer)))
            })
            .collect();
        let answered = outcomes.get("answered").copied().unwrap_or(0);
        let count =
            |is: fn(&Sent) -> bool| sent.iter().filter(|request| is(request)).count() as u64;
        let violations = Violations {
            foreign: count(|request| request.is_foreign),
            truncated: count(|request| request.is_truncated),
            ..Violations::default()
        };
        Self {
            by_class,
            by_customer,
            loud_customer: latency(sent.iter().filter(|request| request.customer == 0)),
            other_customers: latency(sent.iter().filter(|request| request.customer != 0)),
            outcomes,
            answered_per_s: answered as f64 / took.as_secs_f64(),
            repeats: sent.iter().map(|request| u64::from(request.tries.saturating_sub(1))).sum(),
            violations,
            sent,
        }
    }

    /// Whether every accepted job has run.
    pub fn jobs_done(&self, runs: &BTreeMap<u64, u32>) -> bool {
        self.sent
            .iter()
            .filter(|request| request.is_accepted)
            .all(|request| runs.contains_key(&request.nonce))
    }

    /// Checks what callers were told against what ran. `lost_counters` says that some back end
    /// died with its counts, so that a missing run proves nothing.
    pub fn check_runs(&mut self, runs: &BTreeMap<u64, u32>, lost_counters: bool) {
        let ran = |request: &Sent| runs.get(&request.nonce).copied().unwrap_or(0);
        for request in &self.sent {
            let must_run_once = request.is_keyed || request.is_accepted;
            self.violations.ran_twice += u64::from(must_run_once && ran(request) > 1);
            self.violations.false_not_run +=
                u64::from(request.outcome == "not_run" && ran(request) > 0);
            let is_countable = !lost_counters || request.is_accepted;
            let is_lost = request.outcome == "answered" && ran(request) == 0 && is_countable;
            self.violations.lost += u64::from(is_lost);
        }
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, figures: &Latency) -> fmt::Result {
    let ms = |us: u64| us as f64 / 1000.0;
    let Latency { count, p50_us, p99_us, max_us } = *figures;
    let (p50, p99, max) = (ms(p50_us), ms(p99_us), ms(max_us));
    writeln!(f, "{name:<16} {count:>8} {p50:>10.2} {p99:>10.2} {max:>10.2}")
}

/// The latency of each customer, as a table.
#[derive(Debug)]
pub struct ByCustomer<'a>(pub &'a Report);

impl fmt::Display for ByCustomer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .by_customer
            .iter()
            .try_for_each(|(number, figures)| write_row(f, &format!("customer {number}"), figures))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>8} {:>10} {:>10} {:>10}",
            "class", "answered", "p50 ms", "p99 ms", "max ms"
        )?;
        for (class, figures) in &self.by_class {
            write_row(f, class, figures)?;
        }
        write_row(f, "loud customer", &self.loud_customer)?;
        write_row(f, "others", &self.other_customers)?;
        writeln!(f, "outcomes: {:?}", self.outcomes)?;
        writeln!(
            f,
            "answered a second: {:.0}, repeats by callers: {}",
            self.answered_per_s, self.repeats
        )?;
        write!(f, "must be zero: {:?}", self.violations)
    }
}
