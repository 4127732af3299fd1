//! Queries to the writer of an unresolved intent, which may be lost or delayed.

use std::collections::BTreeSet;

use jackdawpier_kernel::{
    ids::{EntryId, RequestKey},
    outcome::Outcome,
};
use jackdawpier_route::dedupe::{Decision, KeyState};
use rand::RngExt;

use super::{ENTRIES, FaultKind, Violation, World};

/// A query in flight, or its reply on the way back.
pub(super) struct WriterQuery {
    from: usize,
    incarnation: u64,
    to: usize,
    key: RequestKey,
    arrives_at: u64,
    answer_at: u64,
    reply: Option<KeyState>,
}

impl World {
    pub(super) fn query_writer(&mut self, from: usize, writer: &EntryId, key: RequestKey) {
        let Some(entry) = &self.entries[from] else { return };
        let incarnation = entry.incarnation;
        let Some(to) = (0..ENTRIES).find(|index| format!("entry-{index}") == **writer) else {
            return;
        };
        let arrives_at = self.step + self.random.random_range(1..40);
        let answer_at = arrives_at + self.random.random_range(1..40);
        self.writer_queries.push(WriterQuery {
            from,
            incarnation,
            to,
            key,
            arrives_at,
            answer_at,
            reply: None,
        });
    }

    fn is_partitioned_from_peers(&self, index: usize) -> bool {
        self.is_frozen(index) || self.is_active(FaultKind::CutFromPeers(index))
    }

    pub(super) fn process_writer_queries(&mut self) {
        let step = self.step;
        let mut writer_queries = std::mem::take(&mut self.writer_queries);
        for query in writer_queries.iter_mut().filter(|query| query.arrives_at == step) {
            let is_partitioned = self.is_partitioned_from_peers(query.from)
                || self.is_partitioned_from_peers(query.to);
            if let (Some(entry), false) = (&self.entries[query.to], is_partitioned) {
                query.reply = entry.writer_reply(self.mutations, &query.key);
            }
        }
        let (due, rest): (Vec<WriterQuery>, Vec<WriterQuery>) = writer_queries
            .into_iter()
            .partition(|query| query.answer_at <= step && !self.is_frozen(query.from));
        self.writer_queries = rest;
        let (now, mutations) = (self.now(), self.mutations);
        for query in due {
            let entry = self.entries[query.from].as_mut();
            if let Some(entry) = entry.filter(|entry| entry.incarnation == query.incarnation) {
                entry.on_writer_reply(now, mutations, &query.key, query.reply);
            }
        }
    }

    /// Checks that a reported answer can be replayed as long as the entry that reported it runs.
    pub(super) fn check_answers_retained(&mut self) -> Result<(), Violation> {
        let owner = (0..ENTRIES)
            .find(|index| self.entries[*index].as_ref().is_some_and(super::Entry::is_open))
            .ok_or_else(|| Violation("no entry owns the shard".to_owned()))?;
        let is_running = |index: usize, incarnation| {
            self.entries[index].as_ref().is_some_and(|entry| entry.incarnation == incarnation)
        };
        let keys: BTreeSet<RequestKey> = std::mem::take(&mut self.answer_sources)
            .into_iter()
            .filter(|(_, index, incarnation)| is_running(*index, *incarnation))
            .map(|(key, ..)| key)
            .collect();
        for key in keys {
            let entry = self.entries[owner].as_mut().expect("the owner was found above");
            let is_answer_retained = match entry.begin_repeat(&key) {
                Some(Decision::Replay(outcome)) => matches!(outcome, Outcome::Answered(_)),
                Some(Decision::QueryWriter(writer)) => self.would_reply_answered(&writer, &key),
                _ => false,
            };
            if !is_answer_retained {
                return Err(Violation(format!("the answer of {key} is forgotten")));
            }
        }
        Ok(())
    }

    fn would_reply_answered(&self, writer: &EntryId, key: &RequestKey) -> bool {
        let entry = self.entries.iter().flatten().find(|entry| entry.name == *writer);
        let reply = entry.and_then(|entry| entry.writer_reply(self.mutations, key));
        matches!(reply, Some(KeyState::Ended { outcome: Outcome::Answered(_), .. }))
    }
}
