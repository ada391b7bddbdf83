//! How old a copy of the store may grow, at nodes that read the store and at those that follow them, as
//! parts of the time after which a node counts as in touch again.

use crate::node::Node;
use pitchstall_serving::store_replica::Subject;
use rand::RngExt;
use std::time::Duration;

/// How long a confirmation holds at a node that reads the store, in hundredths of the time after
/// which a node counts as in touch again. Those that follow it add what [`stale_after`] and
/// [`WAIT_HUNDREDTHS`] say, and must stay below the time in which a configuration comes into force,
/// which the users set to two thirds of that time and more.
const CONFIRMATION_PERCENT: std::ops::Range<u64> = 22..32;
/// The same for requests under which runners have ended: nodes tell each other of them at once, and
/// the store has to be heard of within the whole of that time. Each confirmation is a call: 607 on a calm
/// day of 7 nodes in place of 698 with the limits of the others.
const CRASHES_CONFIRMATION_PERCENT: std::ops::Range<u64> = 45..55;
/// Age of another node's copy, in hundredths of the same time, from which on it is not relied on.
const STALE_PERCENT: u64 = 45;
const CRASHES_STALE_PERCENT: u64 = 75;
/// Time for which a question to another node waits for a change, in hundredths of the same time.
const MAX_QUERY_WAIT_PERCENT: u64 = 12;

/// How long a confirmation holds: well under the time after which the node counts as in touch
/// again, so that a watch that went silent in a fault has been replaced before the node, or one
/// that follows it, is bound by it. Drawn at random, so that one node's word spares the others.
pub fn random_confirmation_period(node: &Node, subject: Subject) -> Duration {
    let percent = match subject {
        Subject::Configuration | Subject::Runners => CONFIRMATION_PERCENT,
        Subject::Crashes => CRASHES_CONFIRMATION_PERCENT,
    };
    percent_of_contact(node, rand::rng().random_range(percent))
}

/// Age of another node's copy from which on it is not relied on.
pub fn stale_after(node: &Node, subject: Subject) -> Duration {
    let percent = match subject {
        Subject::Configuration | Subject::Runners => STALE_PERCENT,
        Subject::Crashes => CRASHES_STALE_PERCENT,
    };
    percent_of_contact(node, percent)
}

/// Time for which a question to another node waits for a change.
pub fn max_query_wait(node: &Node) -> Duration {
    percent_of_contact(node, MAX_QUERY_WAIT_PERCENT)
}

/// So many hundredths of the time after which the node counts as in touch again.
pub fn percent_of_contact(node: &Node, percent: u64) -> Duration {
    Duration::from_millis(node.settings().bounds.contact_ms * percent / 100)
}
