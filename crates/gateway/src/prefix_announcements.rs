//! Tells the schedulers of other regions which runners have read shared parts of prompts, so that a
//! part is read once and taken over everywhere else.
//!
//! A word that is lost costs a reading. One that is out of date names a runner that has let the parts
//! go: then nothing is taken over, and they are read.

use crate::node::Node;
use crate::peer_words::PeerWord;
use crate::shard_scheduler::schedulers_of_remote_regions;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::regions::{CachedPrefixMessage, MIN_ANNOUNCED_TOKENS};
use std::cell::RefCell;

/// Readings that one word tells of: some 80 bytes each, well below the largest datagram.
const MAX_ANNOUNCEMENTS_PER_MESSAGE: usize = 400;

/// Readings that other regions are still to be told of.
#[derive(Debug, Default)]
pub struct PendingAnnouncements(RefCell<Vec<CachedPrefixMessage>>);

/// A runner of this node's region has read shared parts of a prompt that it did not hold.
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

/// Tells the schedulers of other regions of the readings since the last word.
pub fn announce(node: &Node) {
    let announcements = std::mem::take(&mut *node.scheduling.pending_announcements.0.borrow_mut());
    if announcements.is_empty() {
        return;
    }
    let schedulers = schedulers_of_remote_regions(node);
    node.scheduling.socket.send(&PeerWord::PartsRead(announcements), &schedulers);
}

/// Takes in another region's readings.
pub fn apply(node: &Node, announcements: &[CachedPrefixMessage]) {
    for announcement in announcements {
        node.on_parts_held(&announcement.runner, &announcement.parts());
    }
}
