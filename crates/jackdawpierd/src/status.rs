//! Status of this entry for operators and, as the store shows them, of the other members.

use std::{collections::BTreeMap, sync::Arc};

use jackdawpier_kernel::{
    ids::{EntryId, Revision},
    plugin,
};
use serde::Serialize;

use crate::{entry::Entry, service::ServiceFigures};

/// A document, and the members that don't have it in force.
#[derive(Debug, Serialize)]
pub(crate) struct DocumentStatus {
    pub(crate) deployment: String,
    pub(crate) revision: Revision,
    /// Whether every member with a live lease reports the revision.
    pub(crate) is_in_force: bool,
    pub(crate) lagging_members: Vec<String>,
}

/// Status of a member.
#[derive(Debug, Serialize)]
pub(crate) struct MemberStatus {
    pub(crate) entry: String,
    pub(crate) zone: String,
    pub(crate) is_stopping: bool,
    pub(crate) is_reachable: bool,
    pub(crate) owns: Vec<String>,
}

/// A class with its target and its live instances.
#[derive(Debug, Serialize)]
pub(crate) struct ClassStatus {
    pub(crate) class: String,
    pub(crate) service: String,
    pub(crate) finish_within_ms: u64,
    pub(crate) capacity_instances: u32,
    pub(crate) live_executors: usize,
    pub(crate) live_workers: usize,
}

/// A job that needs an operator.
#[derive(Debug, Serialize)]
pub(crate) struct ParkedJob {
    pub(crate) job: String,
    pub(crate) reason: String,
}

/// The data of `jackdawpier status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    pub(crate) entry: String,
    pub(crate) is_ready: bool,
    pub(crate) is_stopping: bool,
    pub(crate) documents: Vec<DocumentStatus>,
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) classes: Vec<ClassStatus>,
    pub(crate) services: BTreeMap<String, ServiceFigures>,
    pub(crate) parked_jobs: Vec<ParkedJob>,
    pub(crate) roles: Vec<&'static str>,
}

/// Shown in place of the lagging members while this entry's view of the store is older than the
/// revision.
const THIS_ENTRY: &str = "(this entry's view)";

fn names(entries: &[EntryId]) -> Vec<String> {
    entries.iter().map(ToString::to_string).collect()
}

/// Collects the status.
pub(crate) fn collect(entry: &Arc<Entry>) -> Status {
    use jackdawpier_kernel::instance::{InstanceRole, InstanceState};
    let is_ready = entry.is_ready();
    let instances = entry.instances();
    let live = |service: &str, role: InstanceRole| {
        instances
            .iter()
            .filter(|i| i.role == role && i.state == InstanceState::Live && *i.service == *service)
            .count()
    };
    let now = entry.now();
    let coordination = entry.coordination();
    let view = &coordination.view;
    let documents = coordination
        .configuration
        .documents()
        .map(|document| {
            let deployment = document.declaration.deployment.clone();
            let lagging = coordination.configuration.lagging_entries(
                now,
                view,
                entry.name(),
                &deployment,
                document.revision,
            );
            DocumentStatus {
                revision: document.revision,
                is_in_force: lagging.as_ref().is_some_and(Vec::is_empty),
                lagging_members: lagging
                    .map_or_else(|| vec![THIS_ENTRY.to_owned()], |all| names(&all)),
                deployment,
            }
        })
        .collect();
    let members = view
        .members()
        .map(|member| MemberStatus {
            entry: member.entry.to_string(),
            zone: member.zone.to_string(),
            is_stopping: member.is_stopping,
            is_reachable: member.entry == *entry.name()
                || crate::router::is_reachable(entry, &coordination, &member.entry),
            owns: view
                .owners()
                .filter(|(_, owner)| owner.entry == member.entry)
                .map(|(shard, _)| shard.to_owned())
                .collect(),
        })
        .collect();
    let classes = coordination
        .configuration
        .classes()
        .into_values()
        .map(|class| ClassStatus {
            class: class.name.to_string(),
            finish_within_ms: class.finish_within_ms,
            capacity_instances: class.capacity_instances,
            live_executors: live(&class.service, InstanceRole::Executor),
            live_workers: live(&class.service, InstanceRole::Worker),
            service: class.service.to_string(),
        })
        .collect();
    drop(coordination);
    let services = entry.services();
    let parked_jobs = services
        .iter()
        .flat_map(|service| service.parked_jobs())
        .map(|(job, reason)| ParkedJob { job: job.to_string(), reason })
        .collect();
    Status {
        entry: entry.name().to_string(),
        is_ready,
        is_stopping: entry.is_stopping(),
        documents,
        members,
        classes,
        services: services.iter().map(|s| (s.name.to_string(), s.figures())).collect(),
        parked_jobs,
        roles: plugin::plugins().iter().map(|plugin| plugin.name).collect(),
    }
}
