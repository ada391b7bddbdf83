//! What happens to the processes of a scenario, one step after the other.

use crate::fleet::Fleet;
use nix::sys::signal::Signal;
use pitchstall_platform_standins::store::StoreMode;
use std::ops::Range;
use std::time::Duration;

/// Number of runners that a version joins with.
const JOINING_RUNNERS: usize = 3;

/// One step.
#[derive(Clone, Debug)]
pub enum Step {
    /// New runners of a version start and are registered.
    Join(&'static str),
    /// The registry entries of all runners of a version go; their processes go on.
    Leave(&'static str),
    /// All runners of the first version end, and start again under their ids at the second one.
    ChangeVersion(&'static str, &'static str),
    /// Nodes are killed by SIGKILL at once.
    Kill(Range<usize>),
    /// All nodes that have ended start.
    Start,
    /// A node is told to stop, ends, and starts again.
    Restart(usize),
    /// A node is paused by SIGSTOP.
    Pause(usize),
    /// A paused node goes on.
    Continue(usize),
    /// The store changes its behaviour.
    Store(StoreMode),
    /// A copy of the store is made.
    BackUp,
    /// The store comes back from the copy, in a new era. The operator and the runners write their data again.
    Restore,
    /// Nothing for a time.
    Wait(Duration),
}

impl Step {
    /// Performs the step. Fails if a process cannot be started.
    pub fn perform(&self, fleet: &mut Fleet) -> std::io::Result<()> {
        match self {
            Self::Join(version) => {
                return (0..JOINING_RUNNERS).try_for_each(|_| fleet.add_runner(version))
            }
            Self::ChangeVersion(from, to) => return fleet.change_version(from, to),
            Self::Leave(version) => fleet.remove_entries_of(version),
            Self::Kill(nodes) => {
                nodes.clone().for_each(|node| fleet.signal_node(node, Signal::SIGKILL));
                nodes.clone().for_each(|node| fleet.wait_for_end(node));
            }
            Self::Start => return fleet.restart_ended_nodes(),
            Self::Restart(node) => {
                fleet.signal_node(*node, Signal::SIGTERM);
                fleet.wait_for_end(*node);
                return fleet.restart_ended_nodes();
            }
            Self::Pause(node) => fleet.signal_node(*node, Signal::SIGSTOP),
            Self::Continue(node) => fleet.signal_node(*node, Signal::SIGCONT),
            Self::Store(mode) => fleet.set_store_mode(*mode),
            Self::BackUp => fleet.back_up_store(),
            Self::Restore => fleet.restore_store(),
            Self::Wait(duration) => std::thread::sleep(*duration),
        }
        Ok(())
    }
}
