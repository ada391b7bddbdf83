//! Maximum age of a store replica, at store readers and at their followers. All limits are
//! percentages of `bounds.contact_ms`, the fault-free time after which a node counts as in contact.

use crate::node::Node;
use pitchstall_serving::store_replica::Subject;
use rand::RngExt;
use std::time::Duration;

/// How long a confirmation holds at a store reader, in percent of `bounds.contact_ms`. Followers
/// add the times of [`stale_after`] and [`MAX_QUERY_WAIT_PERCENT`], and the sum must stay below the
/// time within which a configuration comes into force, which the users set to at least two thirds
/// of `bounds.contact_ms`.
const CONFIRMATION_PERCENT: std::ops::Range<u64> = 22..32;
/// The same for the crashes of runners. Nodes notify each other of crashes at once, so the store's
/// entries only have to be received within the whole of `bounds.contact_ms`. Each confirmation
/// costs a call: 607 calls on a calm day of 7 nodes, instead of 698 with the limits of the other
/// subjects.
const CRASHES_CONFIRMATION_PERCENT: std::ops::Range<u64> = 45..55;
/// Age from which another node's replica is not relied on, in percent of `bounds.contact_ms`.
const STALE_PERCENT: u64 = 45;
const CRASHES_STALE_PERCENT: u64 = 75;
/// Time for which a query to another node waits for a change, in percent of `bounds.contact_ms`.
const MAX_QUERY_WAIT_PERCENT: u64 = 12;

/// How long a confirmation by the store holds. It is well below `bounds.contact_ms`, so that a
/// watch that a fault has silenced is replaced before this node, or a follower, counts as in
/// contact. It is random, so that one node's report of a confirmation spares the others a call.
pub fn random_confirmation_period(node: &Node, subject: Subject) -> Duration {
    let percent = match subject {
        Subject::Configuration | Subject::Runners => CONFIRMATION_PERCENT,
        Subject::Crashes => CRASHES_CONFIRMATION_PERCENT,
    };
    percent_of_contact(node, rand::rng().random_range(percent))
}

/// Age from which another node's replica is not relied on.
pub fn stale_after(node: &Node, subject: Subject) -> Duration {
    let percent = match subject {
        Subject::Configuration | Subject::Runners => STALE_PERCENT,
        Subject::Crashes => CRASHES_STALE_PERCENT,
    };
    percent_of_contact(node, percent)
}

/// Time for which a query to another node waits for a change.
pub fn max_query_wait(node: &Node) -> Duration {
    percent_of_contact(node, MAX_QUERY_WAIT_PERCENT)
}

/// Computes a percentage of `bounds.contact_ms`.
pub fn percent_of_contact(node: &Node, percent: u64) -> Duration {
    Duration::from_millis(node.settings().bounds.contact_ms * percent / 100)
}
