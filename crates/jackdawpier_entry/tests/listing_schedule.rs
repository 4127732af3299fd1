//! When a watch that hears nothing is doubted.

use std::time::Duration;

use jackdawpier_entry::listing_schedule::ListingSchedule;

const LONGEST: Duration = Duration::from_millis(2500);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A watch that has told of a change every `gap_ms` until `ms(10_000)`.
fn busy(gap_ms: u64) -> ListingSchedule {
    let mut schedule = ListingSchedule::new(ms(0), LONGEST);
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
fn calm_watch() {
    assert!(
        busy(1000).time_until_listing(ms(10_000)) >= ms(2400),
        "a second without news is usual there"
    );
    assert_eq!(ListingSchedule::new(ms(0), LONGEST).time_until_listing(ms(500)), ms(2000));
}

/// A listing that finds what the watch missed is repeated soon; one that finds nothing, later.
#[test]
fn listing_result() {
    let (mut deaf, mut calm) = (busy(10), busy(10));
    deaf.on_listed(ms(10_300), 3);
    calm.on_listed(ms(10_300), 0);
    assert!(deaf.time_until_listing(ms(10_300)) <= ms(250));
    assert!(calm.time_until_listing(ms(10_300)) >= ms(350));
    for number in 0..8 {
        calm.on_listed(ms(11_000 + number), 0);
    }
    assert!(calm.time_until_listing(ms(11_010)) <= LONGEST, "the usual listing stays");
}
