//! When a watch that hears nothing is doubted.

use std::time::Duration;

use jackdawpier_entry::silence::Silence;

const LONGEST: Duration = Duration::from_millis(2500);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A watch that has told of a change every `gap_ms` until `ms(10_000)`.
fn busy(gap_ms: u64) -> Silence {
    let mut silence = Silence::new(ms(0), LONGEST);
    for number in 1..=10_000 / gap_ms {
        silence.heard(ms(number * gap_ms), 1);
    }
    silence.listed(ms(10_000), 0);
    silence.heard(ms(10_000), 1);
    silence
}

#[test]
fn busy_watch() {
    assert!(busy(10).wait(ms(10_000)) <= ms(250));
    assert!(busy(10).wait(ms(10_400)).is_zero());
}

#[test]
fn calm_watch() {
    assert!(busy(1000).wait(ms(10_000)) >= ms(2400), "a second without news is usual there");
    assert_eq!(Silence::new(ms(0), LONGEST).wait(ms(500)), ms(2000));
}

/// A listing that finds what the watch missed is repeated soon; one that finds nothing, later.
#[test]
fn listing_result() {
    let (mut deaf, mut calm) = (busy(10), busy(10));
    deaf.listed(ms(10_300), 3);
    calm.listed(ms(10_300), 0);
    assert!(deaf.wait(ms(10_300)) <= ms(250));
    assert!(calm.wait(ms(10_300)) >= ms(350));
    for number in 0..8 {
        calm.listed(ms(11_000 + number), 0);
    }
    assert!(calm.wait(ms(11_010)) <= LONGEST, "the usual listing stays");
}
