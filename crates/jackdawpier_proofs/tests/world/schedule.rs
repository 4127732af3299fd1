//! Seeded schedules of faults, which quickcheck makes and shrinks.

use quickcheck::{Arbitrary, Gen};

/// Steps of a history during which faults begin.
pub(crate) const FAULTY_STEPS: u16 = 700;
/// Entries of a world.
pub(crate) const ENTRIES: usize = 3;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The store refuses every call.
    StoreDown,
    /// Answers of the store come late.
    StoreSlow,
    /// Half of the writes lose their answers after taking effect.
    LoseAnswers,
    /// Calls reach the store long after they were sent, some after their timeout.
    LateCalls,
    /// Readings of the coordination records are as old as the fault.
    StaleReads,
    /// Every lease ends at once.
    LapseLeases,
    /// The entry stops and goes on later as if nothing had happened.
    Freeze(usize),
    /// The entry dies; another takes its name at the end of the fault.
    Kill(usize),
    /// The entry and the store don't reach each other.
    CutFromStore(usize),
    /// The entry's calls reach the store; the answers don't come back.
    CutAnswers(usize),
    /// The entry and its peers don't reach each other.
    CutFromPeers(usize),
    /// The clock of the entry jumps ahead.
    ClockStep(usize),
}

/// One fault.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    /// Step at which it begins.
    pub(crate) at: u16,
    /// Steps for which it lasts.
    pub(crate) length: u16,
    /// What goes wrong.
    pub(crate) kind: FaultKind,
}

/// A whole history: the seed of all other choices, and the faults.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    /// Seed of the world's own choices.
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
            at: u16::arbitrary(g) % FAULTY_STEPS,
            length: 1 + u16::arbitrary(g) % 200,
            kind: *g.choose(&kinds).expect("there are kinds"),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let fault = *self;
        Box::new(fault.length.shrink().map(move |length| Self { length, ..fault }))
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
