//! The choice of busy machines for pools that lack machines for primary demand.

use std::time::Duration;

use jackdawpier_fleet::fleet::{BusyMachine, DemandForecast, Donor, choose_busy_machine};

fn busy(id: &str, primary_millicores: u64, remaining_ms: u64) -> BusyMachine {
    BusyMachine {
        id: id.into(),
        has_long_running: false,
        primary_millicores,
        secondary_tasks: 1,
        on_time_remaining: Duration::ZERO,
        remaining: Duration::from_millis(remaining_ms),
    }
}

fn choose(donors: &[(usize, &[BusyMachine])]) -> Option<String> {
    let donors = donors.iter().map(|&(surplus, machines)| Donor { surplus, machines });
    choose_busy_machine(donors, |id| !id.starts_with("refused")).map(|one| one.id.to_string())
}

/// The machine that loses the least primary work goes first, then the one that is done soonest.
#[test]
fn least_worth() {
    let machines = [busy("a", 2000, 100), busy("b", 1000, 900), busy("c", 1000, 800)];
    assert_eq!(choose(&[(3, &machines)]).as_deref(), Some("c"));
}

/// Long-running tasks must not be stopped, a machine without secondary work gains nothing, and one
/// with long on-time tasks would arrive too late.
#[test]
fn never_taken() {
    let machines = [
        BusyMachine { has_long_running: true, ..busy("long-running", 0, 0) },
        BusyMachine { secondary_tasks: 0, ..busy("primary-alone", 1000, 0) },
        BusyMachine { on_time_remaining: Duration::from_secs(5), ..busy("slow", 1000, 0) },
        busy("refused", 0, 0),
    ];
    assert_eq!(choose(&[(4, &machines)]), None);
}

/// A pool without a surplus gives nothing, and one whose machines may not move hides no other.
#[test]
fn largest_surplus() {
    let (needed, refused) = ([busy("needed", 0, 0)], [busy("refused", 0, 0)]);
    let (small, large) = ([busy("small", 0, 0)], [busy("large", 9000, 0)]);
    let donors: [(usize, &[BusyMachine]); 4] =
        [(0, &needed), (2, &small), (3, &large), (9, &refused)];
    assert_eq!(choose(&donors).as_deref(), Some("large"));
}

/// A backlog of quick tasks that ends before a machine could arrive must not take any; arrivals
/// beyond the supply and long tasks must.
#[test]
fn at_arrival() {
    let backlog = |millicores: u64, ms: u64| DemandForecast {
        long_running_millicores: 0,
        short_millicores: millicores,
        short_millicore_ms: u128::from(millicores * ms),
        arriving_millicores: 0,
    };
    assert_eq!(backlog(20_000, 1_000).millicores_at_arrival(8_000), 0);
    assert_eq!(backlog(24_000, 5_000).millicores_at_arrival(8_000), 20_000);
    let arriving = DemandForecast { arriving_millicores: 16_000, ..backlog(8_000, 1_000) };
    assert_eq!(arriving.millicores_at_arrival(8_000), 16_000);
    let lasting = DemandForecast { long_running_millicores: 9_000, ..DemandForecast::default() };
    assert_eq!(lasting.millicores_at_arrival(8_000), 9_000);
}
