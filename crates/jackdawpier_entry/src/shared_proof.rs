//! One entry's proof that the operators' document is unchanged, for all entries.
//!
//! A note in the store says which document stood when it was written, and it is written only under the condition that
//! the document does. An entry that finds the note changed between two of its readings knows that it was written after
//! the first of them had left, so that the document stood then. It needs no common clock, no list of entries and no
//! transfer of the document, and a write that is carried out late proves as much as any. See `docs/design/accounts.md`.

use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};

use crate::{
    keys,
    ports::{CallResult, Item, Platform, Transaction, TransactionOutcome},
};

/// What the note says.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    /// Revision of the operators' document that stood.
    document: Revision,
}

/// What a reading of the note shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Nothing: it is the first, or the note can't be read.
    Inconclusive,
    /// The note hasn't been written since the last reading left.
    Unchanged,
    /// The document of this revision stood after `at`.
    Confirmed {
        /// Revision of the document.
        document: Revision,
        /// When the last reading left.
        at: Now,
    },
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    /// Revision of the note; 0 where there was none.
    revision: Revision,
    /// When the question left.
    asked_at: Now,
}

/// The note as one entry has seen it.
#[derive(Debug, Default)]
pub struct SharedProof {
    seen: Option<Seen>,
    /// Revision of this entry's last writing.
    own: Option<Revision>,
}

impl SharedProof {
    /// Takes in a reading that left at `asked_at`.
    pub fn on_read(&mut self, asked_at: Now, item: Option<&Item>) -> Reading {
        let revision = item.map_or(0, |item| item.revision);
        let last = self.seen.unwrap_or(Seen { revision: 0, asked_at });
        if revision < last.revision {
            // Another store, or an old answer; it must not make the next reading look like news.
            return Reading::Inconclusive;
        }
        let is_first = self.seen.replace(Seen { revision, asked_at }).is_none();
        if is_first {
            return Reading::Inconclusive;
        }
        if revision == last.revision {
            return Reading::Unchanged;
        }
        let note = item.and_then(|item| serde_json::from_slice::<Note>(&item.value).ok());
        note.map_or(Reading::Inconclusive, |note| Reading::Confirmed {
            document: note.document,
            at: last.asked_at,
        })
    }

    /// Notes that this entry's write, which left at `asked_at`, was carried out.
    pub fn on_written(&mut self, asked_at: Now, revision: Revision) {
        self.seen = Some(Seen { revision, asked_at });
        self.own = Some(revision);
    }

    /// Whether the note was last found as this entry had written it: then it goes on writing, and the others needn't.
    pub fn is_last_writer(&self) -> bool {
        self.own.is_some() && self.own == self.seen.map(|seen| seen.revision)
    }
}

/// Reads the note.
pub(crate) async fn read_note<P: Platform>(platform: &P) -> CallResult<Option<Item>> {
    platform.get(keys::PROOF).await
}

/// Writes the note under the condition that the document of a revision stands. It isn't a condition that the note is
/// as it was found: whoever writes last says the same, and a conflict would bring the whole document.
pub(crate) async fn write_note<P: Platform>(
    platform: &P,
    document: Revision,
) -> CallResult<TransactionOutcome> {
    let note = serde_json::to_vec(&Note { document }).expect("a number can be written as JSON");
    let transaction = Transaction {
        expect: vec![(platform.configuration_key().to_owned(), document)],
        puts: vec![(keys::PROOF.to_owned(), note, None)],
        removes: Vec::new(),
    };
    platform.commit(&transaction).await
}
