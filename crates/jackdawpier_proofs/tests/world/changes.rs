//! Configuration changes that operators apply through an entry.

use jackdawpier_coord::configuration::{Apply, ApplyOutcome, ApplyOutput, Document, WriterId};
use jackdawpier_store::{Response, StoreResult};
use rand::RngExt;

use super::{ENTRIES, Purpose, Violation, World, declaration};

pub(super) struct Change {
    pub(super) entry: usize,
    pub(super) incarnation: u64,
    pub(super) apply: Apply,
}

impl World {
    /// Applies a configuration change through a random entry, sometimes with an outdated base
    /// revision.
    pub(super) fn change_configuration(&mut self) {
        let index = self.random.random_range(0..ENTRIES);
        if self.is_frozen(index) {
            return;
        }
        let id = self.new_id();
        let now = self.now();
        let is_outdated_base = self.random.random_range(0..5) == 0;
        let Some(entry) = &mut self.entries[index] else { return };
        let _ = now;
        let known = entry.revision();
        let base = if is_outdated_base { known.saturating_sub(1) } else { known };
        let writer =
            WriterId { entry: entry.name.clone(), incarnation: entry.incarnation, sequence: id };
        let incarnation = entry.incarnation;
        let apply = Apply::new(base, known, declaration(1 + id as u32), writer);
        let request = apply.request();
        self.changes.insert(id, Change { entry: index, incarnation, apply });
        self.call(index, Purpose::Apply(id), request);
    }

    pub(super) fn on_apply_result(&mut self, id: u64, result: StoreResult) {
        let Some(mut change) = self.changes.remove(&id) else { return };
        let result = self.with_expected_base(&change, result);
        match change.apply.on_result(result) {
            ApplyOutput::Call(request) => {
                let index = change.entry;
                self.changes.insert(id, change);
                self.call(index, Purpose::Apply(id), request);
            }
            ApplyOutput::Done(ApplyOutcome::Accepted { revision }) => {
                let document = change.apply.document().clone();
                let writer = document.writer.clone();
                let earlier = self.accepted.insert(revision, writer.clone());
                if earlier.is_some_and(|earlier| earlier != writer) {
                    let text = format!("two changes were accepted as revision {revision}");
                    self.violations.push(Violation(text));
                }
                if let Some(entry) = &mut self.entries[change.entry]
                    && entry.incarnation == change.incarnation
                {
                    entry.configuration.adopt_if_newer(document);
                }
            }
            ApplyOutput::Done(_) => {}
        }
    }

    /// With `ignores_base`, replaces the revision that a read returned by the base that the operator
    /// named.
    pub(super) fn with_expected_base(&self, change: &Change, result: StoreResult) -> StoreResult {
        if !self.mutations.ignores_base {
            return result;
        }
        match result {
            Ok(Response::Record { record: Some(mut record), store_revision }) => {
                let mut document: Document =
                    serde_json::from_str(&record.value).expect("stored documents are valid");
                document.revision = change.apply.document().revision - 1;
                record.value =
                    serde_json::to_string(&document).expect("documents can be serialised");
                Ok(Response::Record { record: Some(record), store_revision })
            }
            other => other,
        }
    }
}
