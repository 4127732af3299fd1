//! Questions between entries about keys in doubt, which are lost or late.

use std::collections::BTreeSet;

use jackdawpier_kernel::{
    ids::{EntryId, RequestKey},
    outcome::Outcome,
};
use jackdawpier_route::dedupe::{Decision, KeyState};
use rand::RngExt;

use super::{ENTRIES, FaultKind, Violation, World};

/// A question on its way, or its answer on the way back.
pub(super) struct Question {
    from: usize,
    incarnation: u64,
    to: usize,
    key: RequestKey,
    arrives_at: u64,
    answer_at: u64,
    word: Option<KeyState>,
}

impl World {
    pub(super) fn ask(&mut self, from: usize, asked: &EntryId, key: RequestKey) {
        let Some(entry) = &self.entries[from] else { return };
        let incarnation = entry.incarnation;
        let Some(to) = (0..ENTRIES).find(|index| format!("entry-{index}") == **asked) else {
            return;
        };
        let arrives_at = self.step + self.random.random_range(1..40);
        let answer_at = arrives_at + self.random.random_range(1..40);
        self.questions.push(Question {
            from,
            incarnation,
            to,
            key,
            arrives_at,
            answer_at,
            word: None,
        });
    }

    fn is_cut_from_peers(&self, index: usize) -> bool {
        self.is_frozen(index) || self.is_active(FaultKind::CutFromPeers(index))
    }

    pub(super) fn carry_questions(&mut self) {
        let step = self.step;
        let mut questions = std::mem::take(&mut self.questions);
        for question in questions.iter_mut().filter(|question| question.arrives_at == step) {
            let is_cut =
                self.is_cut_from_peers(question.from) || self.is_cut_from_peers(question.to);
            if let (Some(entry), false) = (&self.entries[question.to], is_cut) {
                question.word = entry.recall(self.switches, &question.key);
            }
        }
        let (due, rest): (Vec<Question>, Vec<Question>) = questions
            .into_iter()
            .partition(|question| question.answer_at <= step && !self.is_frozen(question.from));
        self.questions = rest;
        let (now, switches) = (self.now(), self.switches);
        for question in due {
            let entry = self.entries[question.from].as_mut();
            if let Some(entry) = entry.filter(|entry| entry.incarnation == question.incarnation) {
                entry.on_recalled(now, switches, &question.key, question.word);
            }
        }
    }

    /// An answer that was given is given again for as long as the entry that gave it lives.
    pub(super) fn check_answers(&mut self) -> Result<(), Violation> {
        let owner = (0..ENTRIES)
            .find(|index| self.entries[*index].as_ref().is_some_and(super::Entry::is_open))
            .ok_or_else(|| Violation("nobody owns the shard".to_owned()))?;
        let lives = |index: usize, incarnation| {
            self.entries[index].as_ref().is_some_and(|entry| entry.incarnation == incarnation)
        };
        let keys: BTreeSet<RequestKey> = std::mem::take(&mut self.answers)
            .into_iter()
            .filter(|(_, index, incarnation)| lives(*index, *incarnation))
            .map(|(key, ..)| key)
            .collect();
        for key in keys {
            let entry = self.entries[owner].as_mut().expect("it was found above");
            let is_answered = match entry.repeat(&key) {
                Some(Decision::Replay(outcome)) => matches!(outcome, Outcome::Answered(_)),
                Some(Decision::QueryWriter(asked)) => self.would_recall(&asked, &key),
                _ => false,
            };
            if !is_answered {
                return Err(Violation(format!("the answer of {key} is forgotten")));
            }
        }
        Ok(())
    }

    fn would_recall(&self, asked: &EntryId, key: &RequestKey) -> bool {
        let entry = self.entries.iter().flatten().find(|entry| entry.name == *asked);
        let word = entry.and_then(|entry| entry.recall(self.switches, key));
        matches!(word, Some(KeyState::Ended { outcome: Outcome::Answered(_), .. }))
    }
}
