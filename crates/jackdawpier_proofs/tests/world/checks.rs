//! Invariants checked at each step and after recovery.

use jackdawpier_kernel::{ids::RequestKey, outcome::Outcome};

use super::{ENTRIES, Violation, World};

/// Duration of a member lease in steps.
const LEASE_STEPS: u64 = 60;

impl World {
    /// Checks that no entry's revision decreases and that every serving entry has at least the
    /// revision that was in force everywhere.
    pub(super) fn check_revisions(&mut self) {
        let now = self.now();
        for index in 0..ENTRIES {
            if self.is_frozen(index) {
                continue;
            }
            let ignores_isolation = self.mutations.ignores_isolation;
            let Some(entry) = &mut self.entries[index] else { continue };
            let revision = entry.revision();
            let decreased = revision < entry.highest_revision;
            entry.highest_revision = entry.highest_revision.max(revision);
            let serves = entry.is_ready(now) || ignores_isolation && revision > 0;
            let name = entry.name.clone();
            if decreased {
                self.violations.push(Violation(format!("{name} went back to {revision}")));
            }
            if serves && revision < self.in_force {
                let text = format!("{name} serves {revision} after {} was in force", self.in_force);
                self.violations.push(Violation(text));
            }
        }
        // Leases that end early leave members uncounted, so "in force everywhere" isn't guaranteed
        // for the duration of a lease afterwards; see docs/PROMISES.md.
        if self.leases_lapsed_at.is_some_and(|at| self.step < at + LEASE_STEPS) {
            return;
        }
        for index in (0..ENTRIES).filter(|index| !self.is_frozen(*index)).collect::<Vec<_>>() {
            if let Some(entry) = &mut self.entries[index] {
                self.in_force = self.in_force.max(entry.reported_in_force(now));
            }
        }
    }

    /// Checks that after recovery one entry owns the shard, every entry serves, and no accepted
    /// change or answer is lost.
    pub(super) fn check_recovered(&mut self) -> Result<(), Violation> {
        let owners = self.entries.iter().flatten().filter(|entry| entry.is_open()).count();
        if owners != 1 {
            return Err(Violation(format!("{owners} owners after recovery")));
        }
        let now = self.now();
        let highest = self.accepted.last_key_value().map_or(0, |(revision, _)| *revision);
        for entry in self.entries.iter_mut().flatten() {
            if entry.revision() < highest {
                let text = format!(
                    "{} has revision {} instead of {highest}",
                    entry.name,
                    entry.revision()
                );
                return Err(Violation(text));
            }
            if highest > 0 && !entry.is_ready(now) {
                return Err(Violation(format!("{} does not serve after recovery", entry.name)));
            }
        }
        self.check_answers_retained()
    }

    pub(super) fn report_outcome(&mut self, key: RequestKey, attempt: u64, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun { .. }) && self.ran_attempts.contains(&attempt) {
            self.violations.push(Violation(format!("{key} reported \"not run\" after it ran")));
        }
        if let Outcome::Answered(answer) = &outcome {
            self.answered += 1;
            let has_run = self.run_counts.get(&key).copied().unwrap_or(0) == 1;
            if !has_run || answer.body != key.as_bytes() {
                self.violations
                    .push(Violation(format!("{key} got a wrong answer or one without a run")));
            }
        }
        self.reported.push((key, attempt, outcome));
    }
}
