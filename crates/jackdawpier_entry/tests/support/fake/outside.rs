//! The rest of the platform in memory: an executor that does its work at once, machines, documents.

use std::{sync::Arc, time::Duration};

use jackdawpier_entry::{
    access::ApiKey,
    clock, keys,
    ports::{
        Advisor, Approval, CallResult, CallerLimits, Configuration, ExecutorControl, Formats,
        HoldAnswer, MachineControl, Malformed, OrderTarget, Route, StartOrder,
    },
};
use jackdawpier_fleet::{
    account::{Account, Cap},
    connection_peer::HoldRequest,
    executor::{EndKind, EndedTask, ExecutorInfo, HoldReport},
    fleet::{JobView, StartOutcome, StopOutcome},
    machines::{MachineInfo, MachineOrder, MachineOrderOutcome, MachineState, Wave, WaveState},
    record::JobOutcome,
    spec::{AdviceCost, JobSpec, Queue, Resources, RunNumber, Service, TaskKey},
};
use jackdawpier_kernel::ids::{AccountName, ExecutorId};

use super::{
    super::submission, CONFIGURATION, EXECUTOR, Fake, MAX_BODY_BYTES, QUEUE, UNREADABLE, machine_id,
};

impl ExecutorControl for Fake {
    async fn start(&self, _target: &OrderTarget, order: &StartOrder) -> StartOutcome {
        if self.0.borrow().are_starts_held {
            std::future::pending::<()>().await;
        }
        let mut state = self.0.borrow_mut();
        state.starts.push((order.task.clone(), order.run));
        let end = EndedTask {
            sequence: state.starts.len() as u64,
            task: order.task.clone(),
            run: order.run,
            kind: EndKind::Done,
            checkpoint: "".into(),
        };
        state.ended.push(end);
        StartOutcome::Started
    }

    async fn stop(&self, _target: &OrderTarget, _task: &TaskKey, _run: RunNumber) -> StopOutcome {
        StopOutcome::Taken
    }

    async fn pace(
        &self,
        _target: &OrderTarget,
        _task: &TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> bool {
        true
    }

    async fn hold(&self, _: &OrderTarget, request: &HoldRequest) -> CallResult<HoldAnswer> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let mut state = self.0.borrow_mut();
        state.ended.retain(|end| end.sequence > request.acknowledged);
        let ended = state.ended.clone();
        let report =
            HoldReport { incarnation: None, clock: clock::now(), running: Vec::new(), ended };
        Ok(HoldAnswer { report, sent: *request })
    }
}

impl MachineControl for Fake {
    async fn machines(&self) -> CallResult<Vec<MachineInfo>> {
        let info = |number| MachineInfo {
            id: machine_id(number),
            pool: "service".into(),
            state: MachineState::Up,
            executor: (number == 1).then(|| EXECUTOR.into()),
            labels: Vec::new(),
        };
        Ok((1..=self.0.borrow().machines_due).map(info).collect())
    }

    async fn send_order(
        &self,
        order: &MachineOrder,
        _holder: &str,
        _fence: u64,
    ) -> MachineOrderOutcome {
        let note = self.value(keys::MACHINE_ORDERS);
        let note = note.map(|note| String::from_utf8_lossy(&note).into_owned());
        self.0.borrow_mut().machine_orders.push((order.machine.clone(), note));
        MachineOrderOutcome::Taken
    }
}

impl Advisor for Fake {
    async fn advise(&self, _: &TaskKey, _: &[ExecutorId], _: Duration) -> CallResult<Approval> {
        Ok(Approval { approved: Vec::new(), valid_for: Duration::ZERO })
    }
}

impl Formats for Fake {
    fn configuration_key(&self) -> &'static str {
        CONFIGURATION
    }

    fn wave_prefix(&self) -> &'static str {
        "wave/"
    }

    fn executor_prefix(&self) -> &'static str {
        "executors/"
    }

    fn encode_wave_status(&self, state: &WaveState) -> (String, Vec<u8>) {
        (format!("wave-state/{}", state.number), Vec::new())
    }

    fn read_configuration(&self, value: &[u8]) -> Result<Configuration, Malformed> {
        let text = String::from_utf8_lossy(value);
        let (version, keys) =
            text.split_once(' ').map_or((&*text, None), |(version, keys)| (version, Some(keys)));
        let version =
            version.parse().map_err(|_| Malformed { reason: "not a version".to_owned() })?;
        let keys = keys.map(|keys| keys.split(' ').filter_map(read_key).collect());
        let accounts = text.split(' ').filter_map(read_account).collect();
        Ok(Configuration { keys, accounts, ..configuration(version) })
    }

    fn read_wave(&self, value: &[u8]) -> Result<Wave, Malformed> {
        if value == UNREADABLE {
            return Err(Malformed { reason: "unreadable".to_owned() });
        }
        Ok(Wave {
            number: 1,
            machines: (1..=self.0.borrow().machines_due.max(1)).map(machine_id).collect(),
            within: Duration::from_secs(20),
            max_away: self.0.borrow().machines_due.max(1),
        })
    }

    fn read_executor(&self, key: &str, value: &[u8]) -> Result<ExecutorInfo, Malformed> {
        if value == UNREADABLE {
            return Err(Malformed { reason: "unreadable".to_owned() });
        }
        Ok(ExecutorInfo {
            id: key.trim_start_matches(self.executor_prefix()).into(),
            incarnation: None,
            service: "service".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources { cpu_millicores: 8000, memory_mb: 8000, gpus: 0 },
            is_draining: false,
        })
    }

    fn read_job(&self, _body: &[u8]) -> Result<JobSpec, Malformed> {
        let mut spec = submission().spec;
        spec.steps[0].is_long_running = self.0.borrow().are_jobs_long_running;
        Ok(spec)
    }

    fn is_job_id(&self, text: &str) -> bool {
        !text.is_empty()
    }

    fn encode_job_view(&self, view: JobView) -> Vec<u8> {
        format!("{view:?}").into_bytes()
    }

    fn encode_pending_count(&self, count: u64) -> Vec<u8> {
        count.to_string().into_bytes()
    }

    fn encode_error(&self, text: &str) -> Vec<u8> {
        text.as_bytes().to_vec()
    }

    fn deadline_header(&self) -> &'static str {
        "x-deadline-ms"
    }

    fn key_header(&self) -> &'static str {
        "x-key"
    }
}

/// A key and its account, written as `key:account`.
fn read_key(text: &str) -> Option<(ApiKey, AccountName)> {
    let (key, account) = text.split_once(':')?;
    Some((ApiKey::new(key.as_bytes()), account.into()))
}

/// An account and its weight, written as `account=weight`.
fn read_account(text: &str) -> Option<Account> {
    let (name, weight) = text.split_once('=')?;
    Some(Account { name: name.into(), weight: weight.parse().ok()?, cap: Cap::default() })
}

pub fn configuration(version: u64) -> Configuration {
    let queue = Queue {
        name: QUEUE.into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        slack_factor: 1.0,
        target: Duration::from_secs(1),
        needs_advice: false,
        advice_cost: AdviceCost::default(),
    };
    let route = |prefix: &str, name: &str| Route {
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        queue: Queue { name: name.into(), ..queue.clone() },
        is_public: false,
    };
    Configuration {
        version,
        routes: vec![
            route("/a/", QUEUE),
            route("/a/long/", "longer"),
            Route { is_public: true, ..route("/open/", QUEUE) },
        ],
        services: vec![Service { name: "service".into(), is_standby: false }],
        accounts: Vec::new(),
        keys: None,
        limits: CallerLimits {
            body_bytes: MAX_BODY_BYTES,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
