//! Discovers the other nodes through the store and exchanges messages with them.
//!
//! A node registers its address under a lease and reads the list of nodes from the store
//! ([`registration`]). From then on, it sends digests at regular intervals. A node that receives a digest from an unknown node
//! learns of it that way, so the list is rarely read. Without peers, a node keeps working with what
//! it observes itself and what runners report.

mod registration;

use crate::clock::Instant;
use crate::node::{system_time_ms, Node};
use crate::peer_messages::{PeerMessage, PeerSocket, MAX_DATAGRAM_BYTES};
use crate::prefix_announcements;
use crate::quarantine;
use crate::quota;
use crate::retry_pools;
use crate::runner_limits;
use crate::scheduling;
use crate::shard_scheduler;
use crate::stream_origin_handover;
use crate::stream_origins;
use crate::usage;
use pitchstall_serving::digest::{Digest, DigestRotation, DigestStatus, DigestTracker};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a datagram could not be received.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two digests of a node. Their contents are not urgent, except for role changes,
/// which are sent to all nodes at once.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of members in the reply to a node that knows no others. They are enough to follow
/// the store through; the other nodes announce themselves in their digests.
const MAX_MEMBERS_IN_REPLY: usize = 64;

struct Peer {
    address: SocketAddr,
    last_received_at: Instant,
}

/// The known nodes, and the socket to exchange messages with them.
pub struct Peers {
    node: Rc<Node>,
    socket: PeerSocket,
    name: NodeId,
    incarnation: u64,
    state: RefCell<PeerState>,
}

#[derive(Default)]
struct PeerState {
    peers: HashMap<NodeId, Peer>,
    digest_tracker: DigestTracker,
    sequence: u64,
    rotation: DigestRotation,
}

impl Peers {
    /// Creates an empty set of peers that are reached through the socket.
    pub fn new(node: Rc<Node>, socket: PeerSocket) -> Rc<Self> {
        let name = NodeId::new(&node.settings().node.name);
        let incarnation = node.incarnation;
        Rc::new(Self { node, socket, name, incarnation, state: RefCell::default() })
    }

    /// Receives and handles messages until the task is dropped.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.receive(&mut buffer).await else {
                sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            };
            match serde_json::from_slice::<PeerMessage>(&buffer[..length]) {
                Ok(message) => self.on_message(message, from),
                // A later version may send messages that this one does not know. Only that message
                // is ignored.
                Err(error) => {
                    self.node.metrics.unreadable_datagrams.inc();
                    let (error, from) = (error.to_string(), from.to_string());
                    log::warn!(target: "peers", from, error; "datagram ignored: it cannot be parsed");
                }
            }
        }
    }

    fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Digest(digest) => self.on_digest(&digest, from),
            PeerMessage::Hello(digest) => self.on_hello(&digest, from),
            PeerMessage::Members(members) => self.on_members(&members),
            PeerMessage::PlacementQuery(query) => shard_scheduler::on_query(&self.node, query),
            PeerMessage::PlacementReply(reply) => scheduling::on_reply(&self.node, reply, from),
            PeerMessage::ProgressMessage(message) => {
                shard_scheduler::on_progress(&self.node, &message)
            }
            PeerMessage::ShardLoads(loads) => self.node.on_shard_loads(&loads),
            PeerMessage::RegionLoads(loads) => scheduling::on_region_loads(&self.node, loads),
            PeerMessage::CachedPrefixes(prefixes) => {
                prefix_announcements::apply(&self.node, &prefixes)
            }
            PeerMessage::UsageQuery(query) => usage::on_query(&self.node, &query),
            PeerMessage::CrashMessage(message) => quarantine::on_message(&self.node, message),
            PeerMessage::QuotaQuery(query) => quota::keeper::on_query(&self.node, &query, from),
            PeerMessage::QuotaReply(reply) => quota::requester::on_reply(&self.node, &reply),
            PeerMessage::QuotaForwardAck(keeper) => {
                quota::keeper::on_forward_ack(&self.node, &keeper)
            }
            PeerMessage::QuotaRefund(refund) => quota::keeper::on_refund(&self.node, &refund),
            PeerMessage::QuotaHandover(handover) => {
                quota::handover::on_handover(&self.node, handover);
            }
            PeerMessage::LimitQuery(query) => runner_limits::on_query(&self.node, &query, from),
            PeerMessage::LimitReply(reply) => runner_limits::on_reply(&self.node, reply),
            PeerMessage::LimitMessage(message) => runner_limits::on_message(&self.node, &message),
            PeerMessage::RetryDeposit(deposit) => retry_pools::on_deposit(&self.node, &deposit),
            PeerMessage::RetryQuery(query) => retry_pools::on_query(&self.node, &query, from),
            PeerMessage::RetryReply(reply) => retry_pools::on_reply(&self.node, reply),
            PeerMessage::RetryReturn(returned) => retry_pools::on_return(&self.node, returned),
            PeerMessage::StreamOrigins(messages) => {
                stream_origins::on_message(&self.node, messages)
            }
            PeerMessage::StreamOriginQuery(query) => {
                stream_origins::on_query(&self.node, &query, from);
            }
            PeerMessage::StreamOriginReply(reply) => stream_origins::on_reply(&self.node, reply),
            PeerMessage::UsageMessage(message) => usage::on_message(&self.node, &message),
        }
    }

    fn on_digest(&self, digest: &Digest, from: SocketAddr) {
        if digest.node == self.name {
            return;
        }
        let status = self.state.borrow_mut().digest_tracker.on_digest(digest);
        if status == DigestStatus::Stale {
            return;
        }
        self.learn(&digest.node, &Member { address: from, ..digest.member.clone() });
        self.node.members.borrow_mut().on_message_from(from);
        self.node.on_peer_digest(digest, from);
        if digest.is_stopping {
            self.node.runner_limits.on_stopping(&digest.node);
        }
        quota::on_digest(&self.node, &digest.node, from, &digest.held_keepers);
        if status == DigestStatus::NewIncarnation {
            let peer = digest.node.as_str();
            log::info!(target: "peers", peer, incarnation = digest.incarnation; "met");
            stream_origin_handover::on_node_started(&self.node, from);
            if self.node.quotas.is_keeper() {
                self.send_digest(&[from]);
            }
        }
    }

    /// Replies to a node that knows no others with some members. The other nodes announce
    /// themselves to it in their digests.
    fn on_hello(&self, digest: &Digest, from: SocketAddr) {
        self.on_digest(digest, from);
        let members = self.node.members.borrow().sample(MAX_MEMBERS_IN_REPLY);
        self.socket.send(&PeerMessage::Members(members), &[from]);
    }

    fn on_members(&self, members: &[(NodeId, Member)]) {
        for (name, member) in members.iter().filter(|(name, _)| *name != self.name) {
            if !self.state.borrow().peers.contains_key(name) {
                self.learn(name, member);
            }
        }
    }

    /// Asks the seed nodes in the settings for members, if no other node is known.
    fn send_hello(&self) {
        if self.node.known_node_count() > 1 {
            return;
        }
        let settings = self.node.settings();
        let peers = settings.listen.peers;
        let at_seed = |seed: &SocketAddr| SocketAddr::new(seed.ip(), peers.port());
        let seeds = settings.node.seeds.iter().map(at_seed).filter(|address| *address != peers);
        let seeds: Vec<SocketAddr> = seeds.collect();
        self.socket.send(&PeerMessage::Hello(self.digest()), &seeds);
    }

    fn learn(&self, name: &NodeId, member: &Member) {
        let peer = Peer { address: member.address, last_received_at: Instant::now() };
        self.state.borrow_mut().peers.insert(name.clone(), peer);
        self.node.runner_limits.on_node_message(name, self.node.now_us());
        self.node.members.borrow_mut().upsert(name, member);
        let is_remote = !self.node.members.borrow().is_in_own_region(name);
        self.socket.cross_region_traffic().set_region(member.address, is_remote);
    }

    fn digest(&self) -> Digest {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let now_us = self.node.now_us();
        Digest {
            node: self.name.clone(),
            incarnation: self.incarnation,
            sequence: state.sequence,
            member: self.node.members.borrow().own().clone(),
            store: self.node.freshness.borrow().report(now_us),
            changing: self.node.fleet.borrow().role_transitions(now_us),
            held_keepers: self.node.quotas.held_keepers(),
            limits: self.node.runner_limits.digest_messages(now_us),
            is_stopping: self.node.is_stopping(),
            wall_ms: system_time_ms(),
        }
    }

    fn send_digest(&self, to: &[SocketAddr]) {
        self.socket.send(&PeerMessage::Digest(self.digest()), to);
    }

    /// Sends digests at regular intervals and at each relevant change, until the task is dropped.
    pub async fn announce(self: Rc<Self>) {
        let mut has_announced_stop = false;
        loop {
            let to = tokio::select! {
                () = self.node.wait_for_stop(), if !has_announced_stop => {
                    has_announced_stop = true;
                    self.all_addresses()
                }
                // Runners decline requests during a role change, so all nodes should know of it.
                () = self.node.role_change_ordered.notified() => self.all_addresses(),
                () = self.node.quotas.keepers_changed.notified() => self.all_addresses(),
                () = self.node.replica_confirmed.notified() => self.node.members.borrow().other_store_readers(),
                () = sleep(DIGEST_INTERVAL) => self.next_addresses(),
            };
            self.send_digest(&to);
        }
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().peers.values().map(|peer| peer.address).collect()
    }

    /// Addresses of the nodes of this node's region, and of those of other regions.
    fn addresses_by_region(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let members = self.node.members.borrow();
        let state = self.state.borrow();
        let (in_region, remote): (Vec<_>, Vec<_>) =
            state.peers.iter().partition(|(name, _)| members.is_in_own_region(name));
        let addresses = |peers: Vec<(&NodeId, &Peer)>| {
            peers.into_iter().map(|(_, peer)| peer.address).collect()
        };
        (addresses(in_region), addresses(remote))
    }

    /// Addresses of the nodes that receive the next digest.
    fn next_addresses(&self) -> Vec<SocketAddr> {
        // If any tenant has a limit, the loss of a keeper is detected by its missing digests. All
        // nodes then receive every digest, so that each detects the loss equally soon.
        let (in_region, remote) = match quota::has_limits(&self.node) {
            true => (self.all_addresses(), Vec::new()),
            false => self.addresses_by_region(),
        };
        let mut next = self.state.borrow_mut().rotation.next(&in_region, &remote);
        let own = self.node.settings().listen.peers;
        next.extend(self.node.quotas.other_keeper_addresses(own));
        next.sort();
        next.dedup();
        next
    }
}
