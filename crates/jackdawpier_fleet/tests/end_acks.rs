//! Which ends of an executor may be acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use jackdawpier_fleet::end_acks::EndAcks;
use quickcheck::quickcheck;

#[test]
fn durable_only() {
    let mut acks = EndAcks::default();
    acks.note_processed(1, "a".into(), 1);
    acks.note_processed(2, "b".into(), 3);
    acks.note_processed(3, "a".into(), 2);
    assert_eq!(acks.acknowledge(|_| 2), 1);
    assert_eq!(acks.acknowledge(|_| 3), 3);
    assert!(!acks.has_pending());
}

/// Guards against an acknowledgement of a superseded end, and of those after it, before the lease has expired.
#[test]
fn barred_until_lease_expires() {
    let mut acks = EndAcks::default();
    acks.note_processed(1, "a".into(), 0);
    assert!(acks.bar(2));
    acks.note_processed(2, "b".into(), 0);
    acks.note_processed(3, "c".into(), 0);
    assert!(!acks.bar(3));
    assert_eq!(acks.acknowledge(|_| 0), 1);
    assert!(acks.is_barred() && acks.has_pending());
    assert!(acks.note_lease_expired());
    assert_eq!(acks.acknowledge(|_| 0), 3);
    assert!(!acks.note_lease_expired());
}

quickcheck! {
    /// No end is acknowledged whose change isn't durable, nor any from a barred one on until the lease expires; and
    /// all are once everything is durable and no bar stands.
    fn random_order(events: Vec<(u8, bool)>) -> bool {
        let mut acks = EndAcks::default();
        let mut durable: BTreeMap<String, u64> = BTreeMap::new();
        let mut needed: Vec<(u64, String)> = Vec::new();
        let mut barred: BTreeSet<u64> = BTreeSet::new();
        for (number, (event, is_barred)) in events.into_iter().enumerate() {
            let sequence = number as u64 + 1;
            let job = format!("j-{}", event % 3);
            match event % 7 {
                0 => *durable.entry(job).or_default() = sequence,
                1 => {
                    acks.note_lease_expired();
                    barred.clear();
                }
                _ => {
                    if is_barred {
                        acks.bar(sequence);
                        barred.insert(sequence);
                    }
                    acks.note_processed(sequence, job.as_str().into(), sequence);
                    needed.push((sequence, job));
                }
            }
            let to = acks.acknowledge(|job| durable.get(&**job).copied().unwrap_or(0));
            let is_durable = |(sequence, job): &(u64, String)| {
                durable.get(job).copied().unwrap_or(0) >= *sequence || *sequence > to
            };
            if !needed.iter().all(is_durable) || barred.first().is_some_and(|first| to >= *first) {
                return false;
            }
        }
        acks.note_lease_expired();
        let last = needed.last().map_or(0, |(sequence, _)| *sequence);
        acks.acknowledge(|_| u64::MAX) == last && !acks.has_pending()
    }
}
