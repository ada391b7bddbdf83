//! Discovers the other nodes through the store and exchanges messages with them.
//!
//! A node registers its address under a lease and reads the list of nodes from the store. From then
//! on, it sends digests at regular intervals. A node that receives a digest from an unknown node
//! learns of it that way, so the list is rarely read. Without peers, a node keeps working with what
//! it observes itself and what runners report.

use crate::clock::Instant;
use crate::node::{system_time_ms, Node};
use crate::peer_messages::{PeerMessage, PeerSocket, MAX_DATAGRAM_BYTES};
use crate::platform_client::PlatformClient;
use crate::prefix_announcements;
use crate::quarantine;
use crate::quota::{self, RegistrationLease};
use crate::refused_entries::EntryError;
use crate::retry_pools;
use crate::runner_limits;
use crate::scheduling;
use crate::shard_scheduler;
use crate::store_pages::read_pages;
use crate::store_responses::ok_or_log;
use crate::stream_origins;
use crate::usage;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, Item, StoreStatus};
use pitchstall_serving::digest::{Digest, DigestRotation, DigestStatus, DigestTracker};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use pitchstall_serving::store_revision::{StoreEra, StoreLease};
use rand::RngExt;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause after a datagram could not be received.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two digests of a node. Their contents are not urgent, except for role changes,
/// which are sent to all nodes at once.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a node is removed that has neither sent a digest nor been listed in the store.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of members in the reply to a node that knows no others. They are enough to follow
/// the store through; the other nodes announce themselves in their digests.
const MAX_MEMBERS_IN_REPLY: usize = 64;
/// Time to live of a node's registration, milliseconds. Quota keepers continue to grant for most of
/// it without contact with the store, so it is longer than the usual store outage.
const REGISTRATION_TTL_MS: u64 = 30_000;
const MICROS_PER_MILLI: u64 = 1_000;
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum delay before a node registers again after the store was restored from a backup. The
/// delay is random, so that the writes of a fleet are spread over this time.
const MAX_REREGISTRATION_DELAY: Duration = Duration::from_millis(700);
/// Number of renewals between two reads of the list of nodes.
const RENEWALS_PER_LISTING: u32 = 6;
/// Upper bound of the pause after a failed attempt to register. It doubles with further failures.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after a number of consecutive failures to register. It doubles up to a limit, and is random
/// so that nodes which failed together do not return together.
fn registration_pause(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
    let longest = STORE_RETRY_PAUSE * 2_u32.pow(doublings);
    rand::rng().random_range(longest / 2..=longest)
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallError {
    /// The object of the call does not exist.
    Absent,
    /// The call was rejected or received no response.
    Other,
}

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
            PeerMessage::LimitQuery(query) => runner_limits::on_query(&self.node, &query, from),
            PeerMessage::LimitReply(reply) => runner_limits::on_reply(&self.node, reply),
            PeerMessage::LimitMessage(message) => runner_limits::on_message(&self.node, &message),
            PeerMessage::RetryDeposit(deposit) => retry_pools::on_deposit(&self.node, &deposit),
            PeerMessage::RetryQuery(query) => retry_pools::on_query(&self.node, &query, from),
            PeerMessage::RetryReply(reply) => retry_pools::on_reply(&self.node, reply),
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
        self.node.on_peer_digest(digest);
        if digest.is_stopping {
            self.node.runner_limits.on_stopping(&digest.node);
        }
        quota::on_digest(&self.node, &digest.node, from, &digest.held_keepers);
        if status == DigestStatus::NewIncarnation {
            let peer = digest.node.as_str();
            log::info!(target: "peers", peer, incarnation = digest.incarnation; "met");
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
        loop {
            let to = tokio::select! {
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

    /// Keeps this node registered and its list of other nodes up to date, until the task is
    /// dropped.
    pub async fn register(self: Rc<Self>) {
        let mut client = PlatformClient::default();
        let mut failures = 0;
        loop {
            match self.register_once(&mut client).await {
                Some(lease) => {
                    failures = 0;
                    self.keep_registered(&mut client, lease).await;
                }
                None => {
                    failures += 1;
                    self.send_hello();
                    self.list_first_nodes(&mut client).await;
                }
            }
            sleep(registration_pause(failures)).await;
        }
    }

    /// Reads the list of nodes if it has never been received: a node needs it to serve, and its own
    /// registration only for others.
    async fn list_first_nodes(&self, client: &mut PlatformClient) {
        if !self.node.has_listed_nodes() {
            self.list_nodes(client, store::read_nodes).await;
        }
    }

    async fn register_once(&self, client: &mut PlatformClient) -> Option<StoreLease> {
        let sent_at_us = self.node.now_us();
        let (body, era) = self.call(client, &store::grant_lease(REGISTRATION_TTL_MS)).await.ok()?;
        let lease = StoreLease { era, number: ok_or_log("lease", store::parse_lease(&body))? };
        let granted_ttl_ms = ok_or_log("lease", store::parse_lease_ttl(&body))?;
        let granted_ttl_ms = granted_ttl_ms.unwrap_or(REGISTRATION_TTL_MS);
        let member = store::node_value(self.node.members.borrow().own());
        let key = store::node_key(self.name.as_str());
        let put = store::put_under_lease(&key, &member, lease.number);
        let (_, era) = self.call(client, &put).await.ok()?;
        if era != lease.era {
            // The key is attached to whichever lease has that number now. The next attempt attaches
            // it to its own lease.
            return None;
        }
        let ttl_us = granted_ttl_ms.min(REGISTRATION_TTL_MS) * MICROS_PER_MILLI;
        let registered = RegistrationLease { id: lease, renewed_us: sent_at_us, ttl_us };
        self.node.quotas.on_registered(registered);
        self.list_nodes(client, store::read_nodes).await;
        Some(lease)
    }

    /// Renews the registration until the store reports that the lease has expired. Leases do not
    /// expire while the store is unavailable, and a renewal costs a tenth of a new registration.
    async fn keep_registered(&self, client: &mut PlatformClient, lease: StoreLease) {
        for renewal in 1_u32.. {
            if lease.era == self.node.store_era() {
                // The wait ends after the interval or when a new era begins.
                let _ = timeout(RENEWAL_INTERVAL, self.node.later_era_began.notified()).await;
            }
            if lease.era != self.node.store_era() {
                // All nodes register again after a random delay, which is much shorter than the
                // time after which the others forget a node.
                return sleep(rand::rng().random_range(Duration::ZERO..MAX_REREGISTRATION_DELAY))
                    .await;
            }
            self.node.members.borrow_mut().forget_unreachable();
            let sent_at_us = self.node.now_us();
            match self.call(client, &store::renew_lease(lease.number)).await {
                Ok(_) => self.node.quotas.on_renewed(sent_at_us),
                Err(CallError::Absent) => return self.node.quotas.on_lease_expired(),
                Err(CallError::Other) => {}
            }
            if renewal % RENEWALS_PER_LISTING == 0 {
                self.list_nodes(client, store::read_nodes_stale).await;
            }
        }
    }

    /// Reads the list of nodes from the store and sends a digest to the new ones.
    async fn list_nodes(
        &self,
        client: &mut PlatformClient,
        read: fn(Option<&str>) -> PlatformCall,
    ) {
        let started_at = Instant::now();
        let page = read_pages(async |after| {
            let (body, _) = self.call(client, &read(after.as_deref())).await?;
            ok_or_log("nodes", store::parse_page(&body)).ok_or(CallError::Other)
        });
        let Ok(page) = page.await else { return };
        let listed = page.items.iter().filter_map(|item| self.read_node(item));
        let others: Vec<(NodeId, Member)> = listed.filter(|(name, _)| *name != self.name).collect();
        for (name, member) in &others {
            if !self.state.borrow().peers.contains_key(name) {
                self.learn(name, member);
                self.send_digest(&[member.address]);
            }
        }
        self.log_node_list(others.len(), started_at);
        self.node.on_nodes_listed();
        let now = Instant::now();
        let listed: HashSet<&NodeId> = others.iter().map(|(name, _)| name).collect();
        let mut state = self.state.borrow_mut();
        state
            .peers
            .retain(|name, peer| listed.contains(name) || now < peer.last_received_at + PEER_TTL);
        self.node.members.borrow_mut().retain(|name| state.peers.contains_key(name));
    }

    /// Logs the first list of nodes, since a node that starts learns from it which nodes it can follow.
    fn log_node_list(&self, others: usize, started_at: Instant) {
        if self.node.has_listed_nodes() {
            return;
        }
        let (took_ms, uptime_ms) =
            (started_at.elapsed().as_millis(), self.node.now_us() / MICROS_PER_MILLI);
        log::info!(target: "peers", others, took_ms, uptime_ms; "first list of nodes received");
    }

    /// The node that a store entry names; `None` if the entry is invalid.
    fn read_node(&self, item: &Item) -> Option<(NodeId, Member)> {
        let node = store::parse_node(item);
        if node.is_none() {
            let error = EntryError::InvalidDocument("the entry names no node".to_owned());
            self.node.on_refused_entry("nodes", &item.key, item.revision, &error);
        }
        node
    }

    async fn call(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
    ) -> Result<(Vec<u8>, StoreEra), CallError> {
        self.node.metrics.store_calls.inc();
        let address = self.node.settings().store.address;
        let (outcome, error) = match client.call(address, call, STORE_TIMEOUT).await {
            Ok(response) => {
                let Some(era) = self.node.on_era_reported(address, response.era) else {
                    return Err(CallError::Other);
                };
                match store::parse_status(response.status) {
                    StoreStatus::Done => return Ok((response.body, era)),
                    StoreStatus::Absent => (response.status.to_string(), CallError::Absent),
                    _ => (response.status.to_string(), CallError::Other),
                }
            }
            Err(error) => (error.to_string(), CallError::Other),
        };
        self.node.metrics.store_failures.inc();
        self.node.store_suspected.notify_waiters();
        log::info!(target: "peers", target = call.target.as_str(), outcome; "store call failed");
        Err(error)
    }
}
