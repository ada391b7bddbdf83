//! The other nodes: finds them through the store, and hears from them.
//!
//! A node registers its address under a lease and reads who else is there. From then on it
//! sends digests now and then; whoever gets one from an unknown node learns of it that way, so
//! the list is read seldom. Nothing breaks without peers: the node then knows only what it and
//! the runners see.

use crate::clock::Instant;
use crate::held_parts;
use crate::node::{system_time_ms, Node};
use crate::peer_words::{PeerSocket, PeerWord, MOST_DATAGRAM_BYTES};
use crate::platform_client::PlatformClient;
use crate::quarantine;
use crate::quota::{self, RegistrationLease};
use crate::refused_entries::EntryError;
use crate::runner_limits;
use crate::scheduling;
use crate::shard_scheduler;
use crate::store_pages::read_pages;
use crate::store_responses::ok_or_log;
use crate::usage;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, Item, StoreStatus};
use pitchstall_serving::digest::{Digest, DigestRotation, DigestStatus, DigestTracker};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use pitchstall_serving::store_revision::{StoreEra, StoreLease};
use rand::RngExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(120);
/// Between two digests of a node. What they tell is not urgent, but for role changes, which are
/// told to all at once.
const DIGEST_EVERY: Duration = Duration::from_millis(1_000);
/// A node that has not been heard or listed for this long is forgotten.
const PEER_LIFE: Duration = Duration::from_secs(60);
/// Nodes that one which knows nobody is told of: enough to follow the store by, and the others tell
/// of themselves in their digests.
const MEMBERS_TOLD: usize = 64;
/// Time to live of a node's registration. Keepers of tenants' limits grant for most of it without a
/// word from the store, so it is longer than stores are usually away.
const REGISTRATION_TTL_MS: u64 = 30_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Between two renewals of the registration.
const RENEW_EVERY: Duration = Duration::from_secs(5);
/// Time within which a node registers again once the store has come back from an older copy, spread over it so that a
/// fleet's writes do not come at once.
const REGISTER_AGAIN_WITHIN: Duration = Duration::from_millis(700);
/// Renewals between two readings of the list.
const RENEWALS_A_LISTING: u32 = 6;
/// Pause after a call to the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(1_000);
/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);

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
    socket: PeerSocket,
    name: NodeId,
    incarnation: u64,
    state: RefCell<PeerState>,
}

#[derive(Default)]
struct PeerState {
    peers: HashMap<NodeId, Peer>,
    order: DigestTracker,
    sequence: u64,
    turns: DigestRotation,
}

impl Peers {
    /// Peers that are reached through the socket.
    pub fn new(node: Rc<Node>, socket: PeerSocket) -> Rc<Self> {
        let name = NodeId::new(&node.settings().node.name);
        let incarnation = node.incarnation;
        Rc::new(Self { node, socket, name, incarnation, state: RefCell::default() })
    }

    /// Receives words until the task is dropped.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MOST_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.receive(&mut buffer).await else {
                sleep(RECEIVE_PAUSE).await;
                continue;
            };
            match serde_json::from_slice::<PeerWord>(&buffer[..length]) {
                Ok(word) => self.on_word(word, from),
                // A later build may say what this one does not know; nothing else is lost by it.
                Err(error) => {
                    self.node.metrics.unread_words.inc();
                    let (error, from) = (error.to_string(), from.to_string());
                    log::warn!(target: "peers", from, error; "unreadable word");
                }
            }
        }
    }

    fn on_word(&self, word: PeerWord, from: SocketAddr) {
        match word {
            PeerWord::Digest(digest) => self.on_digest(&digest, from),
            PeerWord::Hello(digest) => self.on_hello(&digest, from),
            PeerWord::Members(members) => self.on_members(&members),
            PeerWord::Question(question) => shard_scheduler::on_question(&self.node, question),
            PeerWord::Answer(answer) => scheduling::on_answer(&self.node, answer, from),
            PeerWord::Progress(word) => shard_scheduler::on_progress(&self.node, &word),
            PeerWord::Loads(word) => self.node.on_shard_loads(&word),
            PeerWord::RegionLoads(word) => scheduling::on_region_loads(&self.node, word),
            PeerWord::PartsRead(readings) => held_parts::on_word(&self.node, &readings),
            PeerWord::UsageQuestion(question) => usage::on_question(&self.node, &question),
            PeerWord::Crash(word) => quarantine::on_word(&self.node, word),
            PeerWord::QuotaQuestion(question) => {
                quota::keeping::on_word(&self.node, &question, from)
            }
            PeerWord::QuotaAnswer(answer) => quota::asking::on_answer(&self.node, &answer),
            PeerWord::QuotaTaken(keeper) => quota::keeping::on_taken(&self.node, &keeper),
            PeerWord::QuotaReturn(word) => quota::keeping::on_return(&self.node, &word),
            PeerWord::LimitQuestion(question) => {
                runner_limits::on_question(&self.node, &question, from)
            }
            PeerWord::LimitAnswer(answer) => runner_limits::on_answer(&self.node, answer),
            PeerWord::LimitWord(word) => runner_limits::on_word(&self.node, &word),
            PeerWord::Usage(word) => usage::on_word(&self.node, &word),
        }
    }

    fn on_digest(&self, digest: &Digest, from: SocketAddr) {
        if digest.node == self.name {
            return;
        }
        let freshness = self.state.borrow_mut().order.on_digest(digest);
        if freshness == DigestStatus::Stale {
            return;
        }
        self.learn(&digest.node, &Member { address: from, ..digest.member.clone() });
        self.node.on_peer_digest(digest);
        if digest.is_stopping {
            self.node.runner_limits.on_stopping(&digest.node);
        }
        quota::on_digest(&self.node, &digest.node, from, &digest.held_keepers);
        if freshness == DigestStatus::NewIncarnation {
            let peer = digest.node.as_str();
            log::info!(target: "peers", peer, incarnation = digest.incarnation; "met");
            if self.node.quotas.is_keeper() {
                self.send_digest(&[from]);
            }
        }
    }

    /// A node that knows nobody has asked: it learns of some, and of the others by their digests.
    fn on_hello(&self, digest: &Digest, from: SocketAddr) {
        self.on_digest(digest, from);
        let members = self.node.members.borrow().sample(MEMBERS_TOLD);
        self.socket.send(&PeerWord::Members(members), &[from]);
    }

    fn on_members(&self, members: &[(NodeId, Member)]) {
        for (name, member) in members.iter().filter(|(name, _)| *name != self.name) {
            if !self.state.borrow().peers.contains_key(name) {
                self.learn(name, member);
            }
        }
    }

    /// Asks the machines that the settings name who is there, while nobody is known.
    fn say_hello(&self) {
        if self.node.known_node_count() > 1 {
            return;
        }
        let settings = self.node.settings();
        let peers = settings.listen.peers;
        let at_seed = |seed: &SocketAddr| SocketAddr::new(seed.ip(), peers.port());
        let seeds = settings.node.seeds.iter().map(at_seed).filter(|address| *address != peers);
        let seeds: Vec<SocketAddr> = seeds.collect();
        self.socket.send(&PeerWord::Hello(self.digest()), &seeds);
    }

    fn learn(&self, name: &NodeId, member: &Member) {
        let peer = Peer { address: member.address, heard_at: Instant::now() };
        self.state.borrow_mut().peers.insert(name.clone(), peer);
        self.node.runner_limits.on_heard(name, self.node.now_us());
        self.node.members.borrow_mut().upsert(name, member);
        let is_far = !self.node.members.borrow().is_in_own_region(name);
        self.socket.far_traffic().on_peer(member.address, is_far);
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
            changing: self.node.fleet.borrow().role_changes(now_us),
            held_keepers: self.node.quotas.kept(),
            limits: self.node.runner_limits.words(now_us),
            is_stopping: self.node.is_stopping(),
            wall_ms: system_time_ms(),
        }
    }

    fn send_digest(&self, to: &[SocketAddr]) {
        self.socket.send(&PeerWord::Digest(self.digest()), to);
    }

    /// Tells the other nodes what changes, until the task is dropped.
    pub async fn announce(self: Rc<Self>) {
        loop {
            let to = tokio::select! {
                // Runners that change their role decline requests: all nodes should know.
                () = self.node.role_change_ordered.notified() => self.all_addresses(),
                () = self.node.quotas.changed.notified() => self.all_addresses(),
                () = self.node.replica_confirmed.notified() => self.node.members.borrow().other_store_readers(),
                () = sleep(DIGEST_EVERY) => self.next_addresses(),
            };
            self.send_digest(&to);
        }
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().peers.values().map(|peer| peer.address).collect()
    }

    /// The nodes of this node's region, and those of other regions.
    fn near_and_far(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let members = self.node.members.borrow();
        let state = self.state.borrow();
        let (near, far): (Vec<_>, Vec<_>) =
            state.peers.iter().partition(|(name, _)| members.is_in_own_region(name));
        let addresses = |peers: Vec<(&NodeId, &Peer)>| {
            peers.into_iter().map(|(_, peer)| peer.address).collect()
        };
        (addresses(near), addresses(far))
    }

    /// The nodes that the next digest goes to.
    fn next_addresses(&self) -> Vec<SocketAddr> {
        // Where tenants have limits, a keeper of them that is lost is noticed by its digests, at every
        // node as soon.
        let (near, far) = match quota::has_limits(&self.node) {
            true => (self.all_addresses(), Vec::new()),
            false => self.near_and_far(),
        };
        let mut next = self.state.borrow_mut().turns.next(&near, &far);
        let own = self.node.settings().listen.peers;
        next.extend(self.node.quotas.other_keepers(own));
        next.sort();
        next.dedup();
        next
    }

    /// Keeps this node registered and the list of the others fresh, until the task is dropped.
    pub async fn register(self: Rc<Self>) {
        let mut client = PlatformClient::default();
        loop {
            match self.join(&mut client).await {
                Some(lease) => self.stay(&mut client, lease).await,
                None => self.say_hello(),
            }
            sleep(STORE_PAUSE).await;
        }
    }

    async fn join(&self, client: &mut PlatformClient) -> Option<StoreLease> {
        let sent_at_us = self.node.now_us();
        let (body, era) = self.call(client, &store::grant_lease(REGISTRATION_TTL_MS)).await.ok()?;
        let lease = StoreLease { era, number: ok_or_log("lease", store::parse_lease(&body))? };
        let given_ttl_ms = ok_or_log("lease", store::parse_lease_ttl(&body))?;
        let given_ttl_ms = given_ttl_ms.unwrap_or(REGISTRATION_TTL_MS);
        let member = store::node_value(self.node.members.borrow().own());
        let key = store::node_key(self.name.as_str());
        let put = store::put_under_lease(&key, &member, lease.number);
        let (_, era) = self.call(client, &put).await.ok()?;
        if era != lease.era {
            // The key hangs on whatever lease has that number now; the next try puts it under its own.
            return None;
        }
        let ttl_us = given_ttl_ms.min(REGISTRATION_TTL_MS) * MICROS_PER_MILLI;
        let registered = RegistrationLease { id: lease, renewed_us: sent_at_us, ttl_us };
        self.node.quotas.on_registered(registered);
        self.list(client, store::read_nodes).await;
        Some(lease)
    }

    /// Renews the registration until the store says that it is over. While the store is away
    /// its leases wait, and a renewal costs a tenth of what registering anew does.
    async fn stay(&self, client: &mut PlatformClient, lease: StoreLease) {
        for renewal in 1_u32.. {
            if lease.era == self.node.store_era() {
                // Either may end it.
                let _ = timeout(RENEW_EVERY, self.node.later_era_began.notified()).await;
            }
            if lease.era != self.node.store_era() {
                // All nodes register again; those that come back soon are known meanwhile.
                return sleep(rand::rng().random_range(Duration::ZERO..REGISTER_AGAIN_WITHIN))
                    .await;
            }
            let sent_at_us = self.node.now_us();
            match self.call(client, &store::keep_lease(lease.number)).await {
                Ok(_) => self.node.quotas.on_renewed(sent_at_us),
                Err(CallFailure::Absent) => return self.node.quotas.on_lease_over(),
                Err(CallFailure::Other) => {}
            }
            if renewal % RENEWALS_A_LISTING == 0 {
                self.list(client, store::read_nodes_cheaply).await;
            }
        }
    }

    /// Reads who is there and greets those that are not known.
    async fn list(&self, client: &mut PlatformClient, read: fn(Option<&str>) -> PlatformCall) {
        let page = read_pages(async |after| {
            let (body, _) = self.call(client, &read(after.as_deref())).await?;
            ok_or_log("nodes", store::parse_page(&body)).ok_or(CallFailure::Other)
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
        self.node.on_nodes_listed();
        let now = Instant::now();
        let is_listed = |name: &NodeId| others.iter().any(|(other, _)| other == name);
        let mut state = self.state.borrow_mut();
        state.peers.retain(|name, peer| is_listed(name) || now < peer.heard_at + PEER_LIFE);
        self.node.members.borrow_mut().retain(|name| state.peers.contains_key(name));
    }

    /// The node that an entry names; `None` if it names none.
    fn read_node(&self, item: &Item) -> Option<(NodeId, Member)> {
        let node = store::node_of(item);
        if node.is_none() {
            let fault = EntryError::InvalidDocument("it tells of no node".to_owned());
            self.node.on_refused_entry("nodes", &item.key, item.revision, &fault);
        }
        node
    }

    async fn call(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
    ) -> Result<(Vec<u8>, StoreEra), CallFailure> {
        self.node.metrics.store_calls.inc();
        let address = self.node.settings().store.address;
        let (outcome, failure) = match client.call(address, call, STORE_LIMIT).await {
            Ok(answer) => {
                let Some(era) = self.node.on_era_reported(address, answer.era) else {
                    return Err(CallFailure::Other);
                };
                match store::parse_status(answer.status) {
                    StoreStatus::Done => return Ok((answer.body, era)),
                    StoreStatus::Absent => (answer.status.to_string(), CallFailure::Absent),
                    _ => (answer.status.to_string(), CallFailure::Other),
                }
            }
            Err(error) => (error.to_string(), CallFailure::Other),
        };
        self.node.metrics.store_failures.inc();
        self.node.store_suspected.notify_waiters();
        log::info!(target: "peers", target = call.target.as_str(), outcome; "store call failed");
        Err(failure)
    }
}
