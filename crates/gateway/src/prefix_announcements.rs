//! Announces to the schedulers of other regions which runners have prefilled shared prefixes, so
//! that a prefix is prefilled once and fetched everywhere else.
//!
//! A lost message costs one additional prefill. An outdated announcement names a runner that has
//! evicted the prefix: then the fetch yields nothing and the prefix is prefilled again.

use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::shard_scheduler::schedulers_of_remote_regions;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::regions::{CachedPrefixMessage, MIN_ANNOUNCED_TOKENS};
use std::cell::RefCell;

/// Maximum number of announcements in one message. Each takes about 80 bytes, so the message stays
/// well below the maximum datagram size.
const MAX_ANNOUNCEMENTS_PER_MESSAGE: usize = 400;

/// Announcements that have not been sent to the other regions yet.
#[derive(Debug, Default)]
pub struct PendingAnnouncements(RefCell<Vec<CachedPrefixMessage>>);

/// Queues an announcement: a runner of this node's region has prefilled shared prefixes that it did
/// not hold before. Short prefixes and announcements beyond the message limit are dropped.
pub fn on_prefilled(node: &Node, runner: &RunnerId, prefixes: &[PromptPart]) {
    let tokens: u64 = prefixes.iter().map(|part| part.tokens).sum();
    if tokens < MIN_ANNOUNCED_TOKENS || !node.members.borrow().has_other_regions() {
        return;
    }
    let mut pending = node.scheduling.pending_announcements.0.borrow_mut();
    if pending.len() < MAX_ANNOUNCEMENTS_PER_MESSAGE {
        pending.push(CachedPrefixMessage::new(runner, prefixes));
    }
}

/// Sends the announcements queued since the last message to the schedulers of other regions.
pub fn announce(node: &Node) {
    let announcements = std::mem::take(&mut *node.scheduling.pending_announcements.0.borrow_mut());
    if announcements.is_empty() {
        return;
    }
    let schedulers = schedulers_of_remote_regions(node);
    node.scheduling.socket.send(&PeerMessage::CachedPrefixes(announcements), &schedulers);
}

/// Records the prefixes announced by another region.
pub fn apply(node: &Node, announcements: &[CachedPrefixMessage]) {
    for announcement in announcements {
        node.on_prefix_cached(&announcement.runner, &announcement.parts());
    }
}
