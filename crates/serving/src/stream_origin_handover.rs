//! Which nodes have to be told where streams began, after nodes have stopped or started.
//!
//! Where a stream began is known to the node that forwarded its first event and to the stream's keepers, which are told
//! at once. When nodes stop or start, other nodes become its keepers, and a node that has been restarted has lost what it
//! knew. Each node that knows the stream therefore compares the stream's present keepers with those that have been told,
//! and tells the others. It does so for a limited number of streams in each step. To be told twice does no harm, so nodes
//! do not agree on which of them tells.

use crate::ids::{NodeId, StreamId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of nodes that are told of a stream.
pub const STREAM_KEEPERS: usize = 3;
/// Maximum number of streams that are checked at a time. A check sends at most 40 KB to all keepers together, if ids are
/// of the usual 32 characters.
const MAX_STREAMS_PER_CHECK: usize = 100;
/// Time after its start during which a node does not tell others of streams because it meets them: it meets all nodes
/// then, and those that tell it of streams tell the others as well. In microseconds.
const SETTLING_US: u64 = 3_000_000;

/// What is known of the keepers of one stream.
#[derive(Clone, Debug)]
struct ToldKeepers {
    addresses: Vec<SocketAddr>,
    /// Whether the stream is in [`OriginHandover::unchecked`].
    is_unchecked: bool,
}

/// The streams that a node knows, with the keepers that have been told of them.
#[derive(Clone, Debug, Default)]
pub struct OriginHandover {
    streams: HashMap<StreamId, ToldKeepers>,
    /// The streams whose present keepers have to be compared with those that have been told.
    unchecked: VecDeque<StreamId>,
    /// The other nodes that were present when they were observed last; empty if they have not been.
    present: BTreeMap<NodeId, SocketAddr>,
    /// Whether this node's own planned stop has begun.
    is_stopping: bool,
}

impl OriginHandover {
    /// Records that this node has told these keepers of a stream.
    pub fn on_told(&mut self, stream: StreamId, keepers: Vec<SocketAddr>) {
        let told = || ToldKeepers { addresses: Vec::new(), is_unchecked: false };
        self.streams.entry(stream).or_insert_with(told).addresses = keepers;
    }

    /// Records that another node has told this one of a stream. It tells the stream's other `keepers` too, but to a node
    /// that is stopping it may have told the stream in place of another one, so such a node tells them itself.
    pub fn on_heard(&mut self, stream: StreamId, keepers: Vec<SocketAddr>) {
        if self.streams.contains_key(&stream) {
            return;
        }
        let is_unchecked = self.is_stopping;
        if is_unchecked {
            self.unchecked.push_back(stream.clone());
        }
        let addresses = if is_unchecked { Vec::new() } else { keepers };
        self.streams.insert(stream, ToldKeepers { addresses, is_unchecked });
    }

    /// Compares the other nodes that are present with those of the last time. A node that is stopping does not count as
    /// present. `now_us` is the time since the start of this node.
    pub fn observe_nodes(&mut self, present: BTreeMap<NodeId, SocketAddr>, now_us: u64) {
        let before = std::mem::replace(&mut self.present, present.clone());
        if before.is_empty() {
            return;
        }
        let is_left = |it: &(&NodeId, &SocketAddr)| present.get(it.0) != Some(it.1);
        before.iter().filter(is_left).for_each(|(_, address)| self.on_node_left(*address));
        let is_new = |it: &(&NodeId, &SocketAddr)| before.get(it.0) != Some(it.1);
        let new = present.iter().filter(is_new);
        new.for_each(|(_, address)| self.on_node_started(*address, now_us));
    }

    /// Forgets which nodes are present. The next observation changes nothing.
    pub fn forget_nodes(&mut self) {
        self.present.clear();
    }

    /// Handles the start of another node: it knows nothing, and may have become a keeper of any stream. `now_us` is the
    /// time since the start of this node.
    pub fn on_node_started(&mut self, node: SocketAddr, now_us: u64) {
        if now_us < SETTLING_US {
            return;
        }
        for told in self.streams.values_mut() {
            told.addresses.retain(|address| *address != node);
        }
        self.check_all();
    }

    /// Other nodes take the place of one that has left as keepers of its streams.
    fn on_node_left(&mut self, node: SocketAddr) {
        self.check(|told| told.addresses.contains(&node));
    }

    /// Begins this node's own planned stop. All streams are told to their keepers again, since some of these may have been
    /// restarted a moment ago without a notification to this node.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
        self.streams.values_mut().for_each(|told| told.addresses.clear());
        self.check_all();
    }

    /// Number of streams of which keepers may have to be told.
    pub fn unchecked_count(&self) -> usize {
        self.unchecked.len()
    }

    /// Forgets the streams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&StreamId) -> bool) {
        self.streams.retain(|stream, _| is_known(stream));
        self.unchecked.retain(|stream| is_known(stream));
    }

    /// Checks the next streams. Returns those that each keeper has to be told of; this node tells it at once.
    /// `keepers_of` finds a stream's present keepers.
    pub fn check_next(
        &mut self,
        keepers_of: impl Fn(&StreamId) -> Vec<SocketAddr>,
    ) -> BTreeMap<SocketAddr, Vec<StreamId>> {
        let mut untold: BTreeMap<SocketAddr, Vec<StreamId>> = BTreeMap::new();
        let count = MAX_STREAMS_PER_CHECK.min(self.unchecked.len());
        for stream in self.unchecked.drain(..count) {
            let Some(told) = self.streams.get_mut(&stream) else { continue };
            told.is_unchecked = false;
            let keepers = keepers_of(&stream);
            for keeper in keepers.iter().filter(|keeper| !told.addresses.contains(keeper)) {
                untold.entry(*keeper).or_default().push(stream.clone());
            }
            told.addresses = keepers;
        }
        untold
    }

    fn check_all(&mut self) {
        self.check(|_| true);
    }

    fn check(&mut self, is_affected: impl Fn(&ToldKeepers) -> bool) {
        for (stream, told) in &mut self.streams {
            if !told.is_unchecked && is_affected(told) {
                told.is_unchecked = true;
                self.unchecked.push_back(stream.clone());
            }
        }
    }
}
