//! The other nodes: finds them through the store and exchanges digests with them.
//!
//! A node registers its address under a lease and reads who else is there. From then on it
//! sends digests, one JSON line in a datagram, when its load has changed; whoever gets one
//! from an unknown node learns of it that way, so the list is read seldom. Nothing breaks
//! without peers: the node then knows only what it and the runners see.

use crate::node::Node;
use crate::store_client::StoreClient;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::digest::{
    digest_interval, Digest, DigestOrder, Freshness, PrefixRead, RunnerLoad, FAN_OUT,
};
use pitchstall_serving::freshness::{FreshnessWord, StoreWord};
use pitchstall_serving::ids::{NodeId, RunnerId};
use pitchstall_serving::membership::Member;
use pitchstall_serving::prefix::rendezvous_weight;
use rand::RngExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(120);
/// Nodes that tell a newcomer everything; the others leave it to them.
const TELLERS: usize = 2;
/// A node says what it knows at least this often, so that its word does not lapse.
const REPEAT_EVERY: Duration = Duration::from_millis(1_000);
/// A node that has not been heard or listed for this long is forgotten.
const PEER_LIFE: Duration = Duration::from_secs(60);
/// Time to live of a node's registration.
const REGISTRATION_TTL_MS: u64 = 15_000;
/// Between two renewals of the registration.
const RENEW_EVERY: Duration = Duration::from_secs(5);
/// Renewals between two readings of the list.
const RENEWALS_A_LISTING: u32 = 6;
/// Pause after a call to the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(1_000);
/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);
/// Largest datagram.
const MOST_DATAGRAM_BYTES: usize = 60_000;
/// Prefixes in one datagram to a newcomer.
const PREFIXES_A_DATAGRAM: usize = 64;

/// A call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFailure {
    /// What it was about is not there.
    Absent,
    /// It was refused or got no answer.
    Other,
}

struct Peer {
    address: SocketAddr,
    heard_at: Instant,
}

/// The other nodes that are known.
pub struct Peers {
    node: Rc<Node>,
    socket: UdpSocket,
    name: NodeId,
    incarnation: u64,
    state: RefCell<PeerState>,
}

#[derive(Default)]
struct PeerState {
    peers: HashMap<NodeId, Peer>,
    order: DigestOrder,
    sequence: u64,
    next_peer: usize,
    /// Length of the last digest that was sent.
    digest_bytes: usize,
}

/// Whether a change in the store has been seen, or the store has confirmed a copy.
fn is_store_news(told: &StoreWord, now: &StoreWord) -> bool {
    let is_news = |told: &FreshnessWord, now: &FreshnessWord| {
        told.changed_at != now.changed_at || now.age_ms < told.age_ms
    };
    is_news(&told.configuration, &now.configuration) || is_news(&told.runners, &now.runners)
}

impl Peers {
    /// Peers that are reached through the socket.
    pub fn new(node: Rc<Node>, socket: UdpSocket) -> Rc<Self> {
        let name = NodeId::new(&node.settings().node.name);
        let incarnation = rand::rng().random();
        Rc::new(Self { node, socket, name, incarnation, state: RefCell::default() })
    }

    /// Receives digests until the task is dropped.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MOST_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(RECEIVE_PAUSE).await;
                continue;
            };
            match serde_json::from_slice::<Digest>(&buffer[..length]) {
                Ok(digest) => self.on_digest(&digest, from).await,
                Err(error) => {
                    let (error, from) = (error.to_string(), from.to_string());
                    log::warn!(target: "peers", from, error; "unreadable digest");
                }
            }
        }
    }

    async fn on_digest(&self, digest: &Digest, from: SocketAddr) {
        if digest.node == self.name {
            return;
        }
        let freshness = self.state.borrow_mut().order.on_digest(digest);
        if freshness == Freshness::Stale {
            return;
        }
        self.learn(&digest.node, &Member { address: from, ..digest.member.clone() });
        self.node.on_peer_digest(digest);
        if freshness == Freshness::Newcomer {
            let peer = digest.node.as_str();
            let tells = self.tells(&digest.node);
            log::info!(target: "peers", peer, incarnation = digest.incarnation, tells; "met");
            if tells {
                self.tell_everything(from).await;
            }
        }
    }

    fn learn(&self, name: &NodeId, member: &Member) {
        let peer = Peer { address: member.address, heard_at: Instant::now() };
        self.state.borrow_mut().peers.insert(name.clone(), peer);
        self.node.members.borrow_mut().learn(name, member);
    }

    /// Whether this node is one of those that tell a newcomer everything: all nodes find the
    /// same ones, as far as they know the same nodes.
    fn tells(&self, newcomer: &NodeId) -> bool {
        let weight = |node: &NodeId| rendezvous_weight(newcomer.as_str(), node.as_str());
        let own = weight(&self.name);
        let state = self.state.borrow();
        let others = state.peers.keys().filter(|node| *node != newcomer);
        others.filter(|node| weight(node) > own).count() < TELLERS
    }

    /// Tells a newcomer all prefixes that are known.
    async fn tell_everything(&self, to: SocketAddr) {
        let held = self.node.fleet.borrow().held_prefixes();
        for read in held.chunks(PREFIXES_A_DATAGRAM) {
            let loads = self.node.fleet.borrow().own_loads();
            self.send(&self.digest(loads, read.to_vec()), &[to]).await;
        }
    }

    fn digest(&self, loads: Vec<RunnerLoad>, read: Vec<PrefixRead>) -> Digest {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let node = self.name.clone();
        Digest {
            node,
            incarnation: self.incarnation,
            sequence: state.sequence,
            informed: self.node.is_informed(),
            member: self.node.members.borrow().own().clone(),
            partial: false,
            store: self.node.freshness.borrow().word(self.node.now_us()),
            loads,
            changing: self.node.fleet.borrow().changing(self.node.now_us()),
            read,
        }
    }

    async fn send(&self, digest: &Digest, to: &[SocketAddr]) {
        let Ok(line) = serde_json::to_vec(digest) else { return };
        if line.len() > MOST_DATAGRAM_BYTES {
            return;
        }
        self.state.borrow_mut().digest_bytes = line.len();
        for address in to {
            // A datagram that cannot be sent is as good as lost; the next one holds all again.
            let _ = self.socket.send_to(&line, address).await;
        }
    }

    /// Tells the other nodes what has changed, until the task is dropped.
    pub async fn announce(self: Rc<Self>) {
        let mut told: Vec<RunnerLoad> = Vec::new();
        let mut told_changing = Vec::new();
        let mut told_store = StoreWord::default();
        let mut told_at = Instant::now();
        loop {
            sleep(self.digest_interval()).await;
            let loads = self.node.fleet.borrow().own_loads();
            let read = self.node.next_reads();
            let repeat = told_at.elapsed() >= REPEAT_EVERY;
            let changing = self.node.fleet.borrow().changing(self.node.now_us());
            let store = self.node.freshness.borrow().word(self.node.now_us());
            let store_news = is_store_news(&told_store, &store);
            let runners: Vec<RunnerId> = changing.iter().map(|it| it.runner.clone()).collect();
            let is_news =
                loads != told || runners != told_changing || !read.is_empty() || store_news;
            if !is_news && !repeat {
                continue;
            }
            told_changing = runners;
            told_store = store;
            told.clone_from(&loads);
            told_at = Instant::now();
            let to = self.next_addresses();
            self.send(&self.digest(loads, read), &to).await;
        }
    }

    /// Tells all other nodes at once at which runners long readings have begun, until the task
    /// is dropped. The word is small, for it goes to every node.
    pub async fn announce_long_readings(self: Rc<Self>) {
        loop {
            self.node.long_reading_begun.notified().await;
            let runners = self.node.long_readings.take();
            let mut loads = self.node.fleet.borrow().own_loads();
            loads.retain(|load| runners.contains(&load.runner));
            let digest = Digest { partial: true, ..self.digest(loads, Vec::new()) };
            self.send(&digest, &self.all_addresses()).await;
        }
    }

    fn digest_interval(&self) -> Duration {
        let state = self.state.borrow();
        digest_interval(state.peers.len().min(FAN_OUT), state.digest_bytes)
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().peers.values().map(|peer| peer.address).collect()
    }

    /// The nodes that the next digest goes to.
    fn next_addresses(&self) -> Vec<SocketAddr> {
        let all = self.all_addresses();
        let mut state = self.state.borrow_mut();
        if all.len() <= FAN_OUT {
            return all;
        }
        let first = state.next_peer % all.len();
        state.next_peer = first + FAN_OUT;
        all.iter().cycle().skip(first).take(FAN_OUT).copied().collect()
    }

    /// Keeps this node registered and the list of the others fresh, until the task is dropped.
    pub async fn register(self: Rc<Self>) {
        let mut client = StoreClient::default();
        loop {
            if let Some(lease) = self.join(&mut client).await {
                self.stay(&mut client, lease).await;
            }
            sleep(STORE_PAUSE).await;
        }
    }

    async fn join(&self, client: &mut StoreClient) -> Option<u64> {
        let body = self.call(client, &store::grant_lease(REGISTRATION_TTL_MS)).await.ok()?;
        let lease = store::parse_lease(&body).ok()?;
        let member = store::node_value(self.node.members.borrow().own());
        let put = store::put_under_lease(&store::node_key(self.name.as_str()), &member, lease);
        self.call(client, &put).await.ok()?;
        self.list(client, &store::read_nodes()).await;
        Some(lease)
    }

    /// Renews the registration until the store says that it is over. While the store is away
    /// its leases wait, and a renewal costs a tenth of what registering anew does.
    async fn stay(&self, client: &mut StoreClient, lease: u64) {
        for renewal in 1_u32.. {
            sleep(RENEW_EVERY).await;
            if self.call(client, &store::keep_lease(lease)).await == Err(CallFailure::Absent) {
                return;
            }
            if renewal % RENEWALS_A_LISTING == 0 {
                self.list(client, &store::read_nodes_cheaply()).await;
            }
        }
    }

    /// Reads who is there and greets those that are not known.
    async fn list(&self, client: &mut StoreClient, read: &store::StoreCall) {
        let Ok(body) = self.call(client, read).await else { return };
        let Ok(page) = store::parse_page(&body) else { return };
        let listed = page.items.iter().filter_map(store::node_of);
        let others: Vec<(NodeId, Member)> = listed.filter(|(name, _)| *name != self.name).collect();
        for (name, member) in &others {
            if !self.state.borrow().peers.contains_key(name) {
                self.learn(name, member);
                self.greet(member.address).await;
            }
        }
        let now = Instant::now();
        let is_listed = |name: &NodeId| others.iter().any(|(other, _)| other == name);
        let mut state = self.state.borrow_mut();
        state.peers.retain(|name, peer| is_listed(name) || now < peer.heard_at + PEER_LIFE);
        self.node.members.borrow_mut().retain(|name| state.peers.contains_key(name));
    }

    async fn greet(&self, to: SocketAddr) {
        let loads = self.node.fleet.borrow().own_loads();
        self.send(&self.digest(loads, Vec::new()), &[to]).await;
    }

    async fn call(
        &self,
        client: &mut StoreClient,
        call: &store::StoreCall,
    ) -> Result<Vec<u8>, CallFailure> {
        self.node.metrics.store_calls.inc();
        let address = self.node.settings().store.address;
        let (outcome, failure) = match client.call(address, call, STORE_LIMIT).await {
            Ok(answer) => match store::parse_status(answer.status) {
                StoreStatus::Done => return Ok(answer.body),
                StoreStatus::Absent => (answer.status.to_string(), CallFailure::Absent),
                _ => (answer.status.to_string(), CallFailure::Other),
            },
            Err(error) => (error.to_string(), CallFailure::Other),
        };
        self.node.metrics.store_failures.inc();
        self.node.store_suspected.notify_waiters();
        log::info!(target: "peers", target = call.target.as_str(), outcome; "store call failed");
        Err(failure)
    }
}
