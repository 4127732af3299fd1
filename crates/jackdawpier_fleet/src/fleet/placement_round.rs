//! State of one placement round: the executors that accept work, and the needs that are known to
//! fit none of them.
//!
//! In a burst hundreds of jobs wait for a full pool, and every end of a task triggers a round. Free
//! room only shrinks within a round, so a need that fitted no executor isn't tried again, nor is a
//! larger one. In `jackdawpier_bench owner` with 350 executors this reduces the mean round from
//! 0.60 ms to 0.21 ms.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, ServiceName},
};

use super::{Fleet, active_tasks::SMALL_JOB_TASKS};
use crate::{
    executor::Executor,
    sorted_hash_map::SortedHashMap,
    spec::{Label, Resources, StepSpec},
};

/// An executor that hasn't answered for this long gets no new work. Covers one long poll and its
/// timeout.
const RESPONSIVE_WITHIN: Duration = Duration::from_millis(1500);

/// Number of comparisons of tasks with executors in a round, of all services together, after which large jobs wait for the
/// next one, so that a round takes a small part of the owner's lease.
const MAX_COMPARED: u64 = 200_000;

/// State of one service in one placement round.
#[derive(Debug, Default)]
pub(super) struct PlacementRound {
    /// Executors that accept work.
    pub(super) executors: Vec<ExecutorId>,
    /// Number of comparisons before the round.
    compared_before: u64,
    /// Free room of each of [`Self::executors`] at the start of the round. Under overload most executors are full,
    /// and comparing this first avoids looking them up.
    initial_rooms: Vec<Resources>,
    /// The least of each resource that a waiting task needs.
    pub(super) smallest_need: Resources,
    /// Whether no waiting task fits any executor.
    pub(super) is_full: bool,
    /// Whether a need was added to `unplaceable` since the room was last compared with `smallest_need`.
    pub(super) has_new_unplaceable: bool,
    /// Smallest needs that fitted no executor, with their required labels.
    unplaceable: Vec<(Option<Label>, Resources)>,
    /// Scarce labels of each executor that has any; see [`Fleet::scarce_labels`].
    scarce_labels: SortedHashMap<ExecutorId, Vec<Label>>,
    /// Whether executors are reserved for a job; see [`super::reservations`].
    pub(super) has_reservation: bool,
    /// Number of starved jobs that were tried and found no room.
    pub(super) unplaced_starved_jobs: usize,
    /// Number of executors that start nothing, so that a suspect task can start there in isolation.
    pub(super) reserved_for_suspects: usize,
}

impl PlacementRound {
    /// Returns the executors on which a task of this need may fit.
    pub(super) fn executors_with_room<'a>(
        &'a self,
        need: &'a Resources,
    ) -> impl Iterator<Item = &'a ExecutorId> {
        let rooms = self.executors.iter().zip(&self.initial_rooms);
        rooms.filter(|(_, room)| need.fits(room)).map(|(executor, _)| executor)
    }

    /// Returns whether a job of which `placed` tasks were placed in this round waits for the next one, after so many
    /// comparisons in all.
    pub(super) fn is_over_for(&self, placed: usize, compared: u64) -> bool {
        placed >= SMALL_JOB_TASKS && compared - self.compared_before >= MAX_COMPARED
    }

    /// Keeps only the executors for which `is_kept` returns true.
    pub(super) fn retain_executors(&mut self, is_kept: impl Fn(&ExecutorId) -> bool) {
        let kept: Vec<bool> = self.executors.iter().map(is_kept).collect();
        let mut kept_rooms = kept.iter();
        self.initial_rooms.retain(|_| kept_rooms.next().is_some_and(|is_kept| *is_kept));
        let mut kept = kept.into_iter();
        self.executors.retain(|_| kept.next().unwrap_or(false));
    }

    /// Whether a task of a step is known to fit no executor in this round, because one at most as
    /// large with the same or no required label didn't.
    pub(super) fn is_known_unplaceable(&self, step: &StepSpec) -> bool {
        let need = step.allocated();
        let covers = |label: &Option<Label>| label.is_none() || *label == step.required_label;
        self.unplaceable.iter().any(|(label, known)| covers(label) && known.fits(&need))
    }

    /// Whether an executor has a scarce label that a step doesn't require.
    pub(super) fn has_unneeded_scarce_label(&self, executor: &ExecutorId, step: &StepSpec) -> bool {
        let labels = self.scarce_labels.get(executor);
        labels.is_some_and(|labels| {
            labels.iter().any(|label| step.required_label.as_ref() != Some(label))
        })
    }

    /// Records that a task of a step, constrained only by room and label, fitted no executor.
    pub(super) fn note_unplaceable(&mut self, step: &StepSpec) {
        let need = step.allocated();
        let label = &step.required_label;
        self.unplaceable.retain(|(known, larger)| known != label || !need.fits(larger));
        self.unplaceable.push((label.clone(), need));
        self.has_new_unplaceable = true;
    }
}

impl Fleet {
    pub(super) fn start_rounds(&self, now: Now) -> BTreeMap<ServiceName, PlacementRound> {
        let vacating: BTreeSet<&ExecutorId> = self.machines.vacating_executors().collect();
        let accepts_work = |id: &&ExecutorId| {
            let executor = self.executors.get(*id);
            executor.is_some_and(|one| one.accepts_work(now)) && !vacating.contains(id)
        };
        let avoids_scarce = self.settings.policy.avoids_scarce_labels;
        let scarce = if avoids_scarce { self.scarce_labels() } else { Vec::new() };
        self.by_service
            .iter()
            .map(|(service, ids)| {
                let executors: Vec<ExecutorId> = ids.iter().filter(accepts_work).cloned().collect();
                let initial_rooms = executors
                    .iter()
                    .filter_map(|id| self.executors.get(id))
                    .map(Executor::free)
                    .collect();
                let scarce_labels = executors
                    .iter()
                    .filter_map(|id| Some((id.clone(), self.labels_of_executor(id, &scarce)?)))
                    .collect();
                (
                    service.clone(),
                    PlacementRound {
                        executors,
                        compared_before: self.executors_compared,
                        initial_rooms,
                        scarce_labels,
                        ..PlacementRound::default()
                    },
                )
            })
            .collect()
    }

    /// Returns the labels that jobs require and fewer than half of all executors have.
    pub(super) fn scarce_labels(&self) -> Vec<&Label> {
        let infos =
            || self.executors.unordered_values().filter_map(|executor| executor.info.as_ref());
        let is_scarce = |label: &&Label| {
            infos().filter(|info| info.labels.contains(label)).count() * 2 < infos().count()
        };
        self.requested_labels.iter().filter(is_scarce).collect()
    }

    /// Returns those of some labels that an executor has, or `None` if it has none of them.
    fn labels_of_executor(&self, id: &ExecutorId, labels: &[&Label]) -> Option<Vec<Label>> {
        let info = self.executors.get(id)?.info.as_ref()?;
        let has = labels.iter().filter(|label| info.labels.contains(label));
        let found: Vec<Label> = has.map(|label| (*label).clone()).collect();
        (!found.is_empty()).then_some(found)
    }
}

impl Executor {
    fn accepts_work(&self, now: Now) -> bool {
        self.is_usable()
            && self.is_listed
            && self.has_current_registration()
            && now >= self.avoid_until
            && self.is_responsive(now)
    }

    /// Whether the registration is the one of the current incarnation, whose labels and room may differ from those of
    /// the previous one.
    fn has_current_registration(&self) -> bool {
        let registered = self.info.as_ref().and_then(|info| info.incarnation);
        registered.is_none() || self.incarnation.is_none() || registered == self.incarnation
    }

    /// Whether the current incarnation of the executor may accept work now or later.
    pub(super) fn is_usable(&self) -> bool {
        let is_active = self.info.as_ref().is_some_and(|info| !info.is_draining);
        is_active && !self.has_ended && !self.is_frozen()
    }

    /// Whether the executor has answered this owner, and recently.
    pub(super) fn is_responsive(&self, now: Now) -> bool {
        let is_recent = |at| now.saturating_sub(at) < RESPONSIVE_WITHIN;
        self.is_synced && self.clock_read_at().is_some_and(is_recent)
    }
}
