use crate::clock::Moment;

/// Length of a slot, in microseconds: recent use is that of one slot.
const SLOT_MICROS: u64 = 250_000;
/// Number of slots, which cover 5 s.
const SLOTS: usize = 20;

/// Number of operations that were admitted in the last 5 s.
#[derive(Debug, Default)]
pub(super) struct UseHistory {
    slots: [u32; SLOTS],
    /// Number of the current slot since the start of the clock.
    current: u64,
}

impl UseHistory {
    /// Counts an operation.
    pub(super) fn record(&mut self, now: Moment) {
        self.advance(now);
        self.slots[index_of(self.current)] += 1;
    }

    /// Removes an operation that did not run after all.
    pub(super) fn forget_one(&mut self, now: Moment) {
        self.advance(now);
        let slot = &mut self.slots[index_of(self.current)];
        *slot = slot.saturating_sub(1);
    }

    /// Operations in about the last 250 ms.
    pub(super) fn recent(&mut self, now: Moment) -> u32 {
        self.advance(now);
        let elapsed = now.as_micros() % SLOT_MICROS;
        let previous = match self.current {
            0 => 0,
            current => u64::from(self.slots[index_of(current - 1)]),
        };
        let carried = previous * (SLOT_MICROS - elapsed) / SLOT_MICROS;
        self.slots[index_of(self.current)] + carried as u32
    }

    /// Operations in the last 5 s.
    pub(super) fn total(&mut self, now: Moment) -> u32 {
        self.advance(now);
        self.slots.iter().sum()
    }

    fn advance(&mut self, now: Moment) {
        let slot = now.as_micros() / SLOT_MICROS;
        let passed = slot.saturating_sub(self.current).min(SLOTS as u64);
        for step in 0..passed {
            self.slots[index_of(slot - step)] = 0;
        }
        self.current = self.current.max(slot);
    }
}

fn index_of(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
