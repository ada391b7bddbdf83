//! The last entries of lives that are over, to be known again when an older copy of the store brings them back.

use crate::ids::RunnerId;
use crate::runner::RunnerRecord;
use crate::store_revision::StoreRevision;
use std::collections::VecDeque;

/// Lives that are remembered: the aim's 1,300 runners may all be replaced.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct LastEntry {
    incarnation: RunnerId,
    revision: StoreRevision,
    draining: bool,
}

/// The last entry of each life, the latest to end last.
#[derive(Clone, Debug, Default)]
pub(super) struct LastEntries {
    entries: VecDeque<LastEntry>,
}

impl LastEntries {
    /// A life is over, and this was its entry.
    pub(super) fn remember(&mut self, record: RunnerRecord) {
        self.entries.retain(|entry| entry.incarnation != record.id);
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        let RunnerRecord { id: incarnation, revision, draining, .. } = record;
        self.entries.push_back(LastEntry { incarnation, revision, draining });
    }

    /// Whether an entry is the last one of a life that ended in an earlier era. Had its runner written it again, it
    /// would have another number.
    pub(super) fn is_last_entry(&self, record: &RunnerRecord) -> bool {
        self.of_earlier_era(record)
            .is_some_and(|last| last.revision.number() == record.revision.number())
    }

    /// Whether the last entry of a life said in an earlier era that it leaves: it goes on leaving.
    pub(super) fn was_draining(&self, record: &RunnerRecord) -> bool {
        self.of_earlier_era(record).is_some_and(|last| last.draining)
    }

    fn of_earlier_era(&self, record: &RunnerRecord) -> Option<&LastEntry> {
        let last = self.entries.iter().find(|last| last.incarnation == record.id)?;
        (last.revision.era() < record.revision.era()).then_some(last)
    }
}
