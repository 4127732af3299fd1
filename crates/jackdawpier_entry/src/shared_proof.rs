//! A shared proof that the operators' document is unchanged: one entry writes it, all entries read it.
//!
//! A note in the store names the revision of the document, and is written only under the condition that the document
//! is at this revision. If the note has changed between two reads of an entry, it was written after the first read was
//! sent, so the document was at this revision at some time after that. This needs no common clock, no list of entries
//! and no transfer of the document, and a write that takes effect late is as good a proof as any. See
//! `docs/design/accounts.md`.

use jackdawpier_kernel::{Now, ids::Revision};
use serde::{Deserialize, Serialize};

use crate::{
    keys,
    ports::{CallResult, Item, Platform, Transaction, TransactionOutcome},
};

/// The stored note.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    /// Revision of the operators' document when the note was written.
    document: Revision,
}

/// What a read of the note proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Nothing: it is the first read, or the note can't be read.
    Inconclusive,
    /// The note hasn't changed since the previous read.
    Unchanged,
    /// The document was at this revision at some time after `at`.
    Confirmed {
        /// Revision of the document.
        document: Revision,
        /// When the previous read was sent.
        at: Now,
    },
}

#[derive(Debug, Clone, Copy)]
struct LastRead {
    /// Revision of the note; 0 if there was none.
    revision: Revision,
    /// When the read was sent.
    asked_at: Now,
}

/// Tracks one entry's reads and writes of the note.
#[derive(Debug, Default)]
pub struct SharedProof {
    last_read: Option<LastRead>,
    /// Revision of this entry's last write.
    last_written: Option<Revision>,
}

impl SharedProof {
    /// Records a read that was sent at `asked_at`, and returns what it proves.
    pub fn on_read(&mut self, asked_at: Now, item: Option<&Item>) -> Reading {
        let revision = item.map_or(0, |item| item.revision);
        let last = self.last_read.unwrap_or(LastRead { revision: 0, asked_at });
        if revision < last.revision {
            // Another store or a delayed answer. Recording it would make the next read look like a change.
            return Reading::Inconclusive;
        }
        let is_first = self.last_read.replace(LastRead { revision, asked_at }).is_none();
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

    /// Records this entry's successful write, which was sent at `asked_at`.
    pub fn on_written(&mut self, asked_at: Now, revision: Revision) {
        self.last_read = Some(LastRead { revision, asked_at });
        self.last_written = Some(revision);
    }

    /// Whether this entry wrote the note that it last read. This entry then continues to write, and others needn't.
    pub fn is_last_writer(&self) -> bool {
        self.last_written.is_some() && self.last_written == self.last_read.map(|last| last.revision)
    }
}

/// Reads the note.
pub(crate) async fn read_note<P: Platform>(platform: &P) -> CallResult<Option<Item>> {
    platform.get(keys::PROOF).await
}

/// Writes the note under the condition that the document is at this revision. The note itself may have changed:
/// concurrent writers write the same, and the answer to a conflict would contain the whole document.
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
