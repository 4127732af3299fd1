//! Seeded schedules of faults, generated and shrunk by quickcheck.

use quickcheck::{Arbitrary, Gen};

/// Steps of a history during which faults begin.
pub(crate) const FAULTY_STEPS: u16 = 700;
/// Number of simulated entries.
pub(crate) const ENTRIES: usize = 3;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The store refuses every call.
    StoreDown,
    /// Answers of the store are delayed.
    StoreSlow,
    /// Half of the writes lose their answers after taking effect.
    LoseAnswers,
    /// Calls reach the store long after they were sent, some after their timeout.
    LateCalls,
    /// Reads of the coordination records return their state at the start of the fault.
    StaleReads,
    /// All leases expire at once.
    LapseLeases,
    /// The entry is suspended and resumes later with its state.
    Freeze(usize),
    /// The entry is killed and restarts under the same name at the end of the fault.
    Kill(usize),
    /// The entry and the store can't reach each other.
    CutFromStore(usize),
    /// The entry's calls reach the store, but the answers are lost.
    CutAnswers(usize),
    /// The entry and its peers can't reach each other.
    CutFromPeers(usize),
    /// The clock of the entry jumps ahead.
    ClockStep(usize),
}

/// One fault.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    /// Step at which it begins.
    pub(crate) start_step: u16,
    /// Duration in steps.
    pub(crate) duration_steps: u16,
    /// The kind of fault.
    pub(crate) kind: FaultKind,
}

/// The schedule of a history: its faults and the seed of all other random choices.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    /// Seed of the simulation's random choices.
    pub(crate) seed: u64,
    /// The faults, in no particular order.
    pub(crate) faults: Vec<Fault>,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        let kinds = [
            FaultKind::StoreDown,
            FaultKind::StoreSlow,
            FaultKind::LoseAnswers,
            FaultKind::LoseAnswers,
            FaultKind::LateCalls,
            FaultKind::LateCalls,
            FaultKind::StaleReads,
            FaultKind::LapseLeases,
            FaultKind::Freeze(entry),
            FaultKind::Freeze(entry),
            FaultKind::Kill(entry),
            FaultKind::CutFromStore(entry),
            FaultKind::CutAnswers(entry),
            FaultKind::CutFromPeers(entry),
            FaultKind::ClockStep(entry),
        ];
        Self {
            start_step: u16::arbitrary(g) % FAULTY_STEPS,
            duration_steps: 1 + u16::arbitrary(g) % 200,
            kind: *g.choose(&kinds).expect("the list of kinds isn't empty"),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let fault = *self;
        Box::new(
            fault
                .duration_steps
                .shrink()
                .map(move |duration_steps| Self { duration_steps, ..fault }),
        )
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let seed = u64::arbitrary(g);
        let count = 1 + usize::arbitrary(g) % 12;
        Self { seed, faults: (0..count).map(|_| Fault::arbitrary(g)).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.faults.shrink().map(move |faults| Self { seed, faults }))
    }
}
