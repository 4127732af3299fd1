//! Which executors the placement advisor is asked about, without a fleet or a network.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_fleet::{
    advice::{Advice, Candidate, StepKey},
    spec::{AdviceCost, QueueName, TaskKey},
};
use quickcheck::quickcheck;

const VALIDITY: Duration = Duration::from_secs(3);
const COST: AdviceCost =
    AdviceCost { per_request: Duration::from_millis(20), per_executor: Duration::from_millis(1) };

/// Steps and executors of one queue, and the time.
struct Search {
    now: Duration,
    advice: Advice,
    queue: QueueName,
    executors: Vec<Arc<str>>,
    full: Vec<usize>,
    incarnation: u64,
}

impl Search {
    fn new(executors: usize) -> Self {
        Self {
            now: Duration::from_secs(100),
            advice: Advice::default(),
            queue: "q".into(),
            executors: (0..executors).map(|number| format!("i-{number:04}").into()).collect(),
            full: Vec::new(),
            incarnation: 1,
        }
    }

    /// Returns the places of the executors that the next request for a step names.
    fn request(&mut self, job: &str, waiting_tasks: usize) -> Option<Vec<usize>> {
        let step = step(job);
        if !self.advice.may_request(self.now, &step) {
            return None;
        }
        let candidates: Vec<Candidate<'_>> = self
            .executors
            .iter()
            .enumerate()
            .map(|(place, executor)| Candidate {
                executor,
                incarnation: Some(self.incarnation),
                has_room: !self.full.contains(&place),
                is_remote: false,
            })
            .collect();
        let (now, queue) = (self.now, self.queue.clone());
        let request = self.advice.request(now, &step, &queue, COST, waiting_tasks, &candidates)?;
        let place = |id: &Arc<str>| self.executors.iter().position(|one| one == id);
        Some(request.executors.iter().filter_map(place).collect())
    }

    /// Answers the request for a step: allows these executors.
    fn answer(&mut self, job: &str, allowed: &[usize]) {
        let approved =
            allowed.iter().map(|place| (self.executors[*place].clone(), "ticket".into())).collect();
        self.advice.apply_answer(self.now, &step(job), approved, VALIDITY);
    }

    fn has_ticket(&self, job: &str, place: usize) -> bool {
        let advice = self.advice.of_step(&step(job));
        advice.is_some_and(|advice| {
            advice.has_ticket(self.now, &self.executors[place], Some(self.incarnation))
        })
    }
}

fn step(job: &str) -> StepKey {
    StepKey::from(&TaskKey { job: job.into(), occurrence: 0, step: 0, index: 0 })
}

quickcheck! {
    /// Each executor is asked about exactly once while none is allowed.
    fn each_asked_once(executors: u16) -> bool {
        let executors = usize::from(executors % 700);
        let mut search = Search::new(executors);
        let mut asked: BTreeMap<usize, usize> = BTreeMap::new();
        while let Some(named) = search.request("j", 2) {
            assert!(named.len() <= 100);
            named.into_iter().for_each(|place| *asked.entry(place).or_default() += 1);
            search.answer("j", &[]);
        }
        asked.len() == executors && asked.values().all(|count| *count == 1)
    }

    /// Any allowed executor with room is found, wherever it stands and however many requests fail.
    fn allowed_found(executors: u16, place: u16, failures: Vec<bool>) -> bool {
        let executors = usize::from(executors % 700) + 1;
        let place = usize::from(place) % executors;
        let mut search = Search::new(executors);
        let mut failures = failures.into_iter();
        for _ in 0..1000 {
            if search.has_ticket("j", place) {
                return true;
            }
            match search.request("j", 1) {
                Some(_) if failures.next() == Some(true) => {
                    search.advice.note_failure(search.now, &step("j"));
                }
                Some(named) if named.contains(&place) => search.answer("j", &[place]),
                Some(_) => search.answer("j", &[]),
                None => search.now += Duration::from_millis(50),
            }
        }
        false
    }
}

/// Guards against asking anew about all executors when only the tickets have expired.
#[test]
fn expired_tickets_only() {
    let mut search = Search::new(60);
    while let Some(named) = search.request("j", 1) {
        let allowed: Vec<usize> =
            named.into_iter().filter(|place| [7, 41].contains(place)).collect();
        search.answer("j", &allowed);
    }
    assert!(search.has_ticket("j", 7) && search.has_ticket("j", 41));
    search.now += VALIDITY;
    assert!(!search.has_ticket("j", 7));
    let mut named = search.request("j", 1).expect("the tickets have expired");
    named.sort_unstable();
    assert_eq!(named, [7, 41]);
}

/// Guards against tickets and verdicts of a previous incarnation.
#[test]
fn new_incarnation() {
    let mut search = Search::new(1);
    search.request("j", 1).expect("it wasn't asked about");
    search.answer("j", &[0]);
    assert!(search.has_ticket("j", 0));
    search.incarnation = 2;
    assert!(!search.has_ticket("j", 0));
    assert_eq!(search.request("j", 1), Some(vec![0]));
}

/// Guards against requests about full executors while others that are idle haven't been asked about.
#[test]
fn idle_executors_first() {
    let mut search = Search::new(130);
    search.full = (0..100).collect();
    let named = search.request("j", 1).expect("nothing was asked about");
    assert_eq!(named.len(), 30);
    assert!(named.iter().all(|place| *place >= 100));
    search.answer("j", &[]);
    let ahead = search.request("j", 1).expect("the full ones follow");
    assert!(ahead.iter().all(|place| *place < 100));
}

/// Guards against a step that keeps asking ahead while all executors are full.
#[test]
fn few_tickets_ahead() {
    let mut search = Search::new(600);
    search.full = (0..600).collect();
    let named = search.request("j", 2).expect("no ticket is held");
    search.answer("j", &named[..8]);
    assert_eq!(search.request("j", 2), None);
}

/// Guards against searching a service anew for each step of a queue that allows the same executors.
#[test]
fn likely_executors_first() {
    let mut search = Search::new(600);
    let allowed: Vec<usize> = (500..520).collect();
    while let Some(named) = search.request("first", 40) {
        let named: Vec<usize> = named.into_iter().filter(|place| allowed.contains(place)).collect();
        search.answer("first", &named);
    }
    let named = search.request("second", 2).expect("a new step");
    assert_eq!(named.len(), 8);
    assert!(named.iter().all(|place| allowed.contains(place)));
}

/// Guards against more calls than the advisor accepts, and against two for one step.
#[test]
fn requests_in_flight() {
    let mut search = Search::new(60);
    let sent = (0..100).filter(|number| search.request(&format!("j-{number}"), 1).is_some());
    assert_eq!(sent.count(), 4);
    assert_eq!(search.request("j-0", 1), None);
    search.answer("j-0", &[]);
    assert!(search.request("j-50", 1).is_some());
}

/// Guards against slots of requests that stay taken after their jobs have ended.
#[test]
fn ended_jobs() {
    let mut search = Search::new(60);
    for number in 0..20 {
        let job = format!("j-{number}");
        assert!(search.request(&job, 1).is_some(), "{job}");
        search.advice.forget_job(&job.as_str().into());
        if number % 2 == 0 {
            search.answer(&job, &[0]);
        } else {
            search.advice.note_failure(search.now, &step(&job));
        }
    }
}

/// Guards against starts and requests in quick turns while an executor rejects each ticket.
#[test]
fn rejected_tickets() {
    let mut search = Search::new(1);
    let began_at = search.now;
    let mut requests = 0;
    while search.now < began_at + Duration::from_secs(1) {
        if search.request("j", 1).is_some() {
            requests += 1;
            search.answer("j", &[0]);
            let executor = search.executors[0].clone();
            search.advice.reject_ticket(search.now, &step("j"), &executor);
            assert!(!search.has_ticket("j", 0));
        }
        search.now += Duration::from_millis(10);
    }
    assert!((5..=10).contains(&requests), "{requests} requests in a second");
}

/// Guards against an advisor that is flooded while it doesn't answer, and against waits that grow without limit.
#[test]
fn retries_after_failures() {
    let mut search = Search::new(10);
    let mut requests = 0;
    let until = search.now + Duration::from_secs(30);
    while search.now < until {
        if search.request("j", 1).is_some() {
            requests += 1;
            search.advice.note_failure(search.now, &step("j"));
        }
        search.now += Duration::from_millis(10);
    }
    assert!((15..=40).contains(&requests), "{requests} requests in 30 s");
}
