//! Case "late-order": the process that gives the machine orders is cut off from the platform while an order is on
//! its way.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    cloud::Order,
    entries::{Entries, PlatformAddresses},
    link,
    setup::{Outcome, ServiceSpec, World},
};

const SERVICE: &str = "reports";
const MACHINES: usize = 6;
/// Length of the cut.
const CUT: Duration = Duration::from_secs(10);

pub fn play(world: &World, has_trouble: bool) -> Outcome {
    world.configure(&[ServiceSpec { name: SERVICE, advice: None }]);
    for number in 0..3 {
        if world.executors.add(&format!("i-{number:08x}"), SERVICE, "a", 32_000).is_err() {
            return Outcome::NotRun("an executor can't start".to_owned());
        }
    }
    // Machines of the pool that run nothing.
    let machines: Vec<String> = (0..MACHINES).map(|number| format!("m-{number:05x}")).collect();
    let spare = machines.iter().map(|machine| (machine.clone(), SERVICE.to_owned()));
    world.cloud.spare.lock().unwrap().extend(spare);
    let is_armed = Arc::new(AtomicBool::new(false));
    let platforms: Result<Vec<_>, _> =
        (0..3).map(|number| cuttable_platform(world, number, &is_armed)).collect();
    let Ok(platforms) = platforms else { return Outcome::NotRun("no ports".to_owned()) };
    let entries = match Entries::start(world.record.clone(), &world.root, &platforms) {
        Ok(entries) => entries,
        Err(error) => return Outcome::NotRun(error.to_string()),
    };
    let outcome = play_with(world, &entries, &machines, &is_armed, has_trouble);
    entries.end();
    outcome
}

/// Opens the platform's ports for one process behind links that are cut when its next machine order is on its way,
/// if `is_armed`.
fn cuttable_platform(
    world: &World,
    number: usize,
    is_armed: &Arc<AtomicBool>,
) -> std::io::Result<PlatformAddresses> {
    let platform = world.platform_for(number, None)?;
    let is_cut = Arc::new(AtomicBool::new(false));
    let (record, armed, cut) = (world.record.clone(), is_armed.clone(), is_cut.clone());
    let on_order = move |bytes: &[u8]| {
        if !bytes.starts_with(b"POST /machine-upkeep") {
            return;
        }
        let text = String::from_utf8_lossy(bytes);
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        record.note(&format!("edge-zone-a-{} sends /machine-upkeep {body}", number + 1));
        if !armed.swap(false, Ordering::SeqCst) {
            return;
        }
        cut.store(true, Ordering::SeqCst);
        record.say(&format!("edge-zone-a-{} is cut off while its order is on its way", number + 1));
        let (record, cut) = (record.clone(), cut.clone());
        thread::spawn(move || {
            thread::sleep(CUT);
            record.say("the cut heals");
            cut.store(false, Ordering::SeqCst);
        });
    };
    let linked =
        |target: SocketAddr, on_sent: link::Watcher| link::start(target, is_cut.clone(), on_sent);
    Ok(PlatformAddresses {
        store: linked(platform.store, Arc::new(|_| {}))?,
        cloud: linked(platform.cloud, Arc::new(on_order))?,
        advisor: linked(platform.advisor, Arc::new(|_| {}))?,
    })
}

fn play_with(
    world: &World,
    entries: &Entries,
    machines: &[String],
    is_armed: &AtomicBool,
    has_trouble: bool,
) -> Outcome {
    if !entries.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the processes aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    is_armed.store(has_trouble, Ordering::SeqCst);
    let wave = json!({ "wave": 1, "machines": machines, "withinS": 26, "cap": 2 });
    world.store.write("op/wave/1", &wave);
    world.record.say("a wave of upkeep is due");
    thread::sleep(Duration::from_secs(24));
    let orders = world.cloud.orders();
    if has_trouble && is_armed.load(Ordering::SeqCst) {
        return Outcome::NotRun("no machine order was sent".to_owned());
    }
    if machines.iter().any(|machine| orders.iter().all(|order| order.machine != *machine)) {
        return Outcome::NotRun("not all machines of the wave were ordered".to_owned());
    }
    check(&orders)
}

/// ONE, where fences aren't checked: an order for a machine with a lower fence after one with a higher.
fn check(orders: &[Order]) -> Outcome {
    let mut last: HashMap<&str, &Order> = HashMap::new();
    for order in orders {
        if let Some(before) = last.insert(&order.machine, order)
            && order.fence < before.fence
        {
            return Outcome::Broken(format!(
                "ONE: for {}, an order of {} with fence {} at {:.3} s after one of {} with fence {} at {:.3} s",
                order.machine,
                order.holder,
                order.fence,
                order.at.as_secs_f64(),
                before.holder,
                before.fence,
                before.at.as_secs_f64(),
            ));
        }
    }
    Outcome::Held
}
