//! The last entries of ended incarnations. They identify entries that reappear when the store falls
//! back to an older state.

use crate::ids::RunnerId;
use crate::runner::RunnerRecord;
use crate::store_revision::StoreRevision;
use std::collections::VecDeque;

/// Maximum number of incarnations that are remembered: all 1,300 runners of the largest intended
/// deployment may be replaced.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct LastEntry {
    incarnation: RunnerId,
    revision: StoreRevision,
    draining: bool,
}

/// The last entry of each ended incarnation, in the order in which the incarnations ended.
#[derive(Clone, Debug, Default)]
pub(super) struct LastEntries {
    entries: VecDeque<LastEntry>,
}

impl LastEntries {
    /// Stores the last entry of an incarnation that has ended and evicts the oldest one if the
    /// limit is reached.
    pub(super) fn remember(&mut self, record: RunnerRecord) {
        self.entries.retain(|entry| entry.incarnation != record.id);
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        let RunnerRecord { id: incarnation, revision, draining, .. } = record;
        self.entries.push_back(LastEntry { incarnation, revision, draining });
    }

    /// Whether an entry is the last one of an incarnation that ended in an earlier era. An entry
    /// that the runner had written again would have another revision number.
    pub(super) fn is_last_entry(&self, record: &RunnerRecord) -> bool {
        self.of_earlier_era(record)
            .is_some_and(|last| last.revision.number() == record.revision.number())
    }

    /// Whether the last entry of the incarnation was draining in an earlier era. A runner that
    /// drains does not return to service.
    pub(super) fn was_draining(&self, record: &RunnerRecord) -> bool {
        self.of_earlier_era(record).is_some_and(|last| last.draining)
    }

    fn of_earlier_era(&self, record: &RunnerRecord) -> Option<&LastEntry> {
        let last = self.entries.iter().find(|last| last.incarnation == record.id)?;
        (last.revision.era() < record.revision.era()).then_some(last)
    }
}
