//! Publishes the room for open jobs while it is scarce, see [`jackdawpier_fleet::job_room`].

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::job_room::{JobRoom, JobRoomNote};
use serde_json::json;

use super::Owner;
use crate::{
    clock, keys,
    ports::{CallResult, Platform, Transaction, TransactionOutcome},
};

/// Interval at which the room is looked at.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// What the store says of the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Published {
    /// Possibly a note of a previous owner, or one whose write got no answer.
    Unknown,
    /// A note, or none.
    Known(Option<JobRoomNote>),
}

impl<P: Platform> Owner<P> {
    pub(super) async fn publish_job_room(self: Rc<Self>) {
        let mut published = Published::Unknown;
        while self.is_valid() {
            let room = self.fleet.borrow().job_room();
            self.events.metrics().set_job_room(&room);
            let note = room.note();
            if published != Published::Known(note) {
                self.log_room_change(published, note, &room);
                published = match self.write_job_room(note).await {
                    Ok(()) => Published::Known(note),
                    Err(error) => {
                        self.events
                            .emit("job_room_unpublished", json!({ "why": error.to_string() }));
                        Published::Unknown
                    }
                };
            }
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
        self.events.metrics().set_job_room(&JobRoom::default());
    }

    /// Replaces the note, or removes it, under the condition that this entry is the owner.
    async fn write_job_room(&self, note: Option<JobRoomNote>) -> CallResult<()> {
        let mut transaction = Transaction::default();
        transaction.expect.push((keys::OWNER.to_owned(), self.term.fence));
        match note {
            Some(note) => {
                let value = serde_json::to_vec(&note).expect("numbers can be written as JSON");
                transaction.puts.push((keys::JOB_ROOM.to_owned(), value, None));
            }
            None => transaction.removes.push(keys::JOB_ROOM.to_owned()),
        }
        if let TransactionOutcome::Conflict(_) = self.platform.commit(&transaction).await? {
            self.term.mark_lost();
        }
        Ok(())
    }

    /// Logs when the room becomes scarce, and when it no longer is.
    fn log_room_change(&self, published: Published, note: Option<JobRoomNote>, room: &JobRoom) {
        let was_scarce = matches!(published, Published::Known(Some(_)));
        if was_scarce == note.is_some() {
            return;
        }
        let fields = json!({
            "scarce": note.is_some(),
            "used_bytes": room.used_bytes,
            "total_bytes": room.total_bytes,
            "up_ms": clock::now().as_millis() as u64,
        });
        self.events.emit("job_room", fields);
    }
}
