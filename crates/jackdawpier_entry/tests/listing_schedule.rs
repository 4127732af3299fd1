//! When the next listing is due, depending on the changes that the watch reports.

use std::time::Duration;

use jackdawpier_entry::listing_schedule::ListingSchedule;

const MAX_INTERVAL: Duration = Duration::from_millis(2500);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns the schedule of a watch that has reported a change every `gap_ms` until `ms(10_000)`.
fn busy(gap_ms: u64) -> ListingSchedule {
    let mut schedule = ListingSchedule::new(ms(0), MAX_INTERVAL);
    for number in 1..=10_000 / gap_ms {
        schedule.on_changes(ms(number * gap_ms), 1);
    }
    schedule.on_listed(ms(10_000), 0);
    schedule.on_changes(ms(10_000), 1);
    schedule
}

#[test]
fn busy_watch() {
    assert!(busy(10).time_until_listing(ms(10_000)) <= ms(250));
    assert!(busy(10).time_until_listing(ms(10_400)).is_zero());
}

#[test]
fn quiet_watch() {
    assert!(
        busy(1000).time_until_listing(ms(10_000)) >= ms(2400),
        "a second without changes is usual there"
    );
    assert_eq!(ListingSchedule::new(ms(0), MAX_INTERVAL).time_until_listing(ms(500)), ms(2000));
}

/// A listing that finds missed changes is repeated soon; one that finds none is repeated later.
#[test]
fn listing_result() {
    let (mut stalled, mut quiet) = (busy(10), busy(10));
    stalled.on_listed(ms(10_300), 3);
    quiet.on_listed(ms(10_300), 0);
    assert!(stalled.time_until_listing(ms(10_300)) <= ms(250));
    assert!(quiet.time_until_listing(ms(10_300)) >= ms(350));
    for number in 0..8 {
        quiet.on_listed(ms(11_000 + number), 0);
    }
    assert!(
        quiet.time_until_listing(ms(11_010)) <= MAX_INTERVAL,
        "the maximum interval still applies"
    );
}
