//! How the process's file descriptors are shared out. The shares add up to less than all of them: the rest is for the store,
//! for this node's own connections to other nodes, and for its listeners.

use crate::settings::Settings;

/// Number of descriptors that every share has, so that a process with few of them can be watched and can follow others.
const MIN_DESCRIPTORS: u64 = 4;

/// What descriptors are used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorShare {
    /// Connections of clients.
    Clients,
    /// Connections to the runners that handle clients' requests. They may also use what clients leave of theirs.
    Runners,
    /// Connections of other nodes.
    Peers,
    /// Connections to runners on behalf of other nodes, each with the other node's connection.
    Tunnels,
    /// Connections to the health address.
    Health,
}

impl DescriptorShare {
    fn percent(self) -> u64 {
        match self {
            Self::Clients => 60,
            Self::Runners => 8,
            Self::Peers => 20,
            // Half of them are those of other nodes.
            Self::Tunnels => 10,
            Self::Health => 3,
        }
    }

    /// Number of descriptors that may be used for this, with the settings' number of descriptors.
    pub fn of(self, settings: &Settings) -> usize {
        let share = settings.machine.file_descriptors * self.percent() / 100;
        usize::try_from(share.max(MIN_DESCRIPTORS)).unwrap_or(usize::MAX)
    }
}
