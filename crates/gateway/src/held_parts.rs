//! Tells the schedulers of other regions which runners have read shared parts of prompts, so that a
//! part is read once and taken over everywhere else.
//!
//! A word that is lost costs a reading. One that is out of date names a runner that has let the parts
//! go: then nothing is taken over, and they are read.

use crate::node::Node;
use crate::peer_words::PeerWord;
use crate::shard_scheduler::schedulers_of_other_regions;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::regions::{CachedPrefixMessage, MIN_ANNOUNCED_TOKENS};
use std::cell::RefCell;

/// Readings that one word tells of: some 80 bytes each, well below the largest datagram.
const MOST_IN_A_WORD: usize = 400;

/// Readings that other regions are still to be told of.
#[derive(Debug, Default)]
pub struct UntoldReadings(RefCell<Vec<CachedPrefixMessage>>);

/// A runner of this node's region has read shared parts of a prompt that it did not hold.
pub fn on_read(node: &Node, runner: &RunnerId, parts: &[PromptPart]) {
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    if tokens < MIN_ANNOUNCED_TOKENS || !node.members.borrow().has_other_regions() {
        return;
    }
    let mut untold = node.scheduling.untold_readings.0.borrow_mut();
    if untold.len() < MOST_IN_A_WORD {
        untold.push(CachedPrefixMessage::new(runner, parts));
    }
}

/// Tells the schedulers of other regions of the readings since the last word.
pub fn tell(node: &Node) {
    let readings = std::mem::take(&mut *node.scheduling.untold_readings.0.borrow_mut());
    if readings.is_empty() {
        return;
    }
    let to = schedulers_of_other_regions(node);
    node.scheduling.socket.send(&PeerWord::PartsRead(readings), &to);
}

/// Takes in another region's readings.
pub fn on_word(node: &Node, readings: &[CachedPrefixMessage]) {
    for reading in readings {
        node.on_prefix_cached(&reading.runner, &reading.parts());
    }
}
