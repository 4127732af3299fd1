//! What must hold at each step, and after the faults.

use jackdawpier_kernel::{ids::RequestKey, outcome::Outcome};

use super::{ENTRIES, Violation, World};

/// Steps of a member lease.
const LEASE_STEPS: u64 = 60;

impl World {
    /// What is in force never goes back: whoever serves has at least what was in force before.
    pub(super) fn check_configuration(&mut self) {
        let now = self.now();
        for index in 0..ENTRIES {
            if self.is_frozen(index) {
                continue;
            }
            let ignores_isolation = self.switches.ignores_isolation;
            let Some(entry) = &mut self.entries[index] else { continue };
            let revision = entry.revision();
            let fell = revision < entry.highest_revision;
            entry.highest_revision = entry.highest_revision.max(revision);
            let serves = entry.is_ready(now) || ignores_isolation && revision > 0;
            let name = entry.name.clone();
            if fell {
                self.violations.push(Violation(format!("{name} went back to {revision}")));
            }
            if serves && revision < self.in_force {
                let text = format!("{name} serves {revision} after {} was in force", self.in_force);
                self.violations.push(Violation(text));
            }
        }
        // A platform that ends leases before their time leaves nothing to count members by, so
        // "in force everywhere" is not claimed for a lease's time; see docs/PROMISES.md.
        if self.lapsed_at.is_some_and(|at| self.step < at + LEASE_STEPS) {
            return;
        }
        for index in (0..ENTRIES).filter(|index| !self.is_frozen(*index)).collect::<Vec<_>>() {
            if let Some(entry) = &mut self.entries[index] {
                self.in_force = self.in_force.max(entry.reported_in_force(now));
            }
        }
    }

    /// After the faults, one entry owns the shard, every entry serves, and nothing accepted is
    /// lost.
    pub(super) fn check_healed(&mut self) -> Result<(), Violation> {
        let owners = self.entries.iter().flatten().filter(|entry| entry.is_open()).count();
        if owners != 1 {
            return Err(Violation(format!("{owners} owners after healing")));
        }
        let now = self.now();
        let highest = self.accepted.last_key_value().map_or(0, |(revision, _)| *revision);
        for entry in self.entries.iter_mut().flatten() {
            if entry.revision() < highest {
                let text = format!("{} has {} and not {highest}", entry.name, entry.revision());
                return Err(Violation(text));
            }
            if highest > 0 && !entry.is_ready(now) {
                return Err(Violation(format!("{} does not serve after healing", entry.name)));
            }
        }
        self.check_answers()
    }

    pub(super) fn tell(&mut self, key: RequestKey, attempt: u64, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun { .. }) && self.ran_attempts.contains(&attempt) {
            self.violations.push(Violation(format!("{key} told \"not run\" after it ran")));
        }
        if let Outcome::Answered(answer) = &outcome {
            self.answered += 1;
            let has_run = self.ran.get(&key).copied().unwrap_or(0) == 1;
            if !has_run || answer.body != key.as_bytes() {
                self.violations.push(Violation(format!("{key} got another's or no answer")));
            }
        }
        self.told.push((key, attempt, outcome));
    }
}
