//! Finds the software version at which a stream began, so that it goes on at no other one.
//!
//! A node records the origin of each resumable stream when it forwards the first event. Only while several versions serve
//! does it tell the stream's keepers; once a second version joins, it tells them of its recent streams. What is recorded
//! is kept in [`pitchstall_serving::stream_origin`], and [`crate::version_record`] tells at how many versions streams may have
//! begun.

use crate::intake::ClientRequest;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::stream_origin_handover;
use crate::version_record;
use pitchstall_serving::configuration::{RequestKind, Route};
use pitchstall_serving::ids::{NodeId, ServiceName, StreamId};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::scheduling::Ticket;
use pitchstall_serving::stream_origin::{
    StreamOrigin, StreamOriginMessage, StreamOriginQuery, StreamOriginReply, StreamOrigins,
};
use pitchstall_serving::version_view::only_origin;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

/// Number of nodes of each region that are asked about a stream. It exceeds the number of nodes that are told because nodes
/// that have joined since may rank before these.
const KEEPERS_QUERIED: usize = 4;
/// How long to wait for the keepers' replies in addition to the longest round trip.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_millis(30);
const MICROS_PER_MILLI: u64 = 1_000;

/// State of a node that records the origins of streams, and keeps those of other nodes' streams.
#[derive(Default)]
pub struct StreamOriginRecords {
    /// What this node knows of streams.
    pub origins: RefCell<StreamOrigins>,
    /// The services of which several versions were serving when the fleet changed last.
    pub mixed_services: RefCell<BTreeSet<ServiceName>>,
    /// Whether the store had confirmed what this node knows of the versions, when that was checked last.
    is_confirmed: Cell<bool>,
    pending_queries: RefCell<HashMap<Ticket, mpsc::UnboundedSender<StreamOriginReply>>>,
}

/// Where a request may run, depending on the stream that it resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamContinuation {
    /// At any runner: the request resumes no stream.
    Anywhere,
    /// At runners of the only version at which the stream can have begun.
    AtOnlyVersion(StreamOrigin),
    /// At runners of the service and version that began the stream.
    AtOrigin(StreamOrigin),
    /// Nowhere: it is not known at which version the stream began.
    Unknown,
}

/// Records the origin of one stream when its first event is forwarded.
pub struct OriginRecorder {
    node: Rc<Node>,
    stream: StreamId,
}

impl OriginRecorder {
    /// The recorder of the stream that a request begins or resumes.
    pub fn new(node: &Rc<Node>, request: &ClientRequest) -> Self {
        Self { node: node.clone(), stream: stream_of(request) }
    }

    /// Records that the first event comes from this runner.
    pub fn record(&self, runner: &RunnerRecord) {
        let origin =
            StreamOrigin { service: runner.service.clone(), version: runner.version.clone() };
        let now_us = self.node.now_us();
        let records = &self.node.stream_origins;
        records.origins.borrow_mut().record(self.stream.clone(), origin.clone(), now_us);
        let is_needed_by_others =
            has_several_origins(&self.node) || !version_record::knows_present(&self.node);
        if is_needed_by_others {
            let stream = self.stream.clone();
            tell_keepers(&self.node, &[StreamOriginMessage { stream, origin, age_ms: 0 }]);
        }
    }
}

fn stream_of(request: &ClientRequest) -> StreamId {
    let metadata = &request.metadata;
    StreamId::of_request(metadata.resumed_stream.as_deref().unwrap_or(&metadata.id))
}

/// Sends each stream's origin to its keepers.
fn tell_keepers(node: &Node, streams: &[StreamOriginMessage]) {
    let mut by_keeper: HashMap<SocketAddr, Vec<StreamOriginMessage>> = HashMap::new();
    for message in streams {
        for keeper in stream_origin_handover::present_keepers(node, &message.stream) {
            by_keeper.entry(keeper).or_default().push(message.clone());
        }
        stream_origin_handover::on_told(node, &message.stream);
    }
    for (keeper, messages) in by_keeper {
        stream_origin_handover::send(node, keeper, &messages);
    }
}

/// Tells the keepers of the recent streams of each service of which a second version has joined.
pub fn on_fleet_changed(node: &Node) {
    let now_us = node.now_us();
    node.metrics.set_runners(node.fleet.borrow().versions());
    let counted = version_record::counted_origins(node);
    let mixed: BTreeSet<ServiceName> = match counted.len() > 1 {
        true => counted.into_iter().map(|origin| origin.service).collect(),
        false => BTreeSet::new(),
    };
    let before = node.stream_origins.mixed_services.replace(mixed.clone());
    for service in mixed.difference(&before) {
        let origins = node.stream_origins.origins.borrow();
        let streams: Vec<StreamOriginMessage> = origins.of_service(service, now_us).collect();
        log::info!(target: "stream", service = service.as_str(), streams = streams.len(); "several software versions serve");
        tell_keepers(node, &streams);
    }
}

/// Tells the keepers of all recent streams when the store has not confirmed what this node knows for a while: nodes cannot
/// read then at which versions these streams may have begun. `is_confirmed` is whether it has.
pub fn on_confirmation_checked(node: &Node, is_confirmed: bool) {
    let was_confirmed = node.stream_origins.is_confirmed.replace(is_confirmed);
    if is_confirmed || !was_confirmed {
        return;
    }
    let streams = node.stream_origins.origins.borrow().recent(node.now_us());
    log::info!(target: "stream", streams = streams.len(); "store has not confirmed the versions: keepers are told of recent streams");
    tell_keepers(node, &streams);
}

/// Records the origins that another node reports.
pub fn on_message(node: &Node, messages: Vec<StreamOriginMessage>) {
    let now_us = node.now_us();
    let mut origins = node.stream_origins.origins.borrow_mut();
    for message in messages {
        stream_origin_handover::on_heard(node, &message.stream);
        origins.record_message(message, now_us);
    }
}

/// Replies to another node's query.
pub fn on_query(node: &Node, query: &StreamOriginQuery, from: SocketAddr) {
    let now_us = node.now_us();
    let origins = node.stream_origins.origins.borrow();
    let counted = version_record::counted_origins(node);
    let reply = StreamOriginReply {
        ticket: query.ticket,
        origin: origins.find(&query.stream, now_us).cloned(),
        is_ambiguous: origins.is_ambiguous(&query.stream, now_us),
        has_several_versions: counted.len() > 1,
        counted: counted.into_iter().collect(),
        uptime_ms: Some(now_us / MICROS_PER_MILLI),
    };
    node.scheduling.socket.send(&PeerMessage::StreamOriginReply(reply), &[from]);
}

/// Passes a keeper's reply to the query that waits for it.
pub fn on_reply(node: &Node, reply: StreamOriginReply) {
    if let Some(sender) = node.stream_origins.pending_queries.borrow().get(&reply.ticket) {
        // The query may have ended with another keeper's reply.
        let _ = sender.send(reply);
    }
}

/// Determines where a request may run. `service` is the one that the route has chosen for it.
pub async fn continuation(
    node: &Rc<Node>,
    request: &ClientRequest,
    route: &Route,
    service: &ServiceName,
) -> StreamContinuation {
    let metadata = &request.metadata;
    let resumes = metadata.last_event_id.is_some() || metadata.resumed_stream.is_some();
    if route.kind != RequestKind::Streaming || !resumes {
        return StreamContinuation::Anywhere;
    }
    let (continuation, replies) = find_origin(node, &stream_of(request), service).await;
    log_continuation(node, request, &continuation, &replies);
    node.metrics.on_stream_resumed_by_client(outcome_name(&continuation));
    continuation
}

async fn find_origin(
    node: &Rc<Node>,
    stream: &StreamId,
    service: &ServiceName,
) -> (StreamContinuation, KeeperReplies) {
    let known = match own_knowledge(node, stream) {
        OwnKnowledge::Certain(continuation) => return (continuation, KeeperReplies::default()),
        OwnKnowledge::Began(origin) => Some(origin),
        OwnKnowledge::Nothing => None,
    };
    let replies = query_keepers(node, stream, service, known.as_ref()).await;
    let continuation = match remembered(known.as_ref(), &replies) {
        Some(continuation) => continuation,
        None => at_only_origin(node, service, &replies.counted).await,
    };
    (continuation, replies)
}

/// What a node knows of a stream by its own record.
enum OwnKnowledge {
    Nothing,
    /// Where a stream of the id began. Keepers may know of another one that bears the id.
    Began(StreamOrigin),
    /// Where the stream may go on, whatever keepers know.
    Certain(StreamContinuation),
}

fn own_knowledge(node: &Node, stream: &StreamId) -> OwnKnowledge {
    let (origins, now_us) = (node.stream_origins.origins.borrow(), node.now_us());
    if origins.is_ambiguous(stream, now_us) {
        return OwnKnowledge::Certain(StreamContinuation::Unknown);
    }
    let Some(origin) = origins.find(stream, now_us).cloned() else { return OwnKnowledge::Nothing };
    match has_several_origins(node) {
        true => OwnKnowledge::Began(origin),
        false => OwnKnowledge::Certain(StreamContinuation::AtOrigin(origin)),
    }
}

/// Where a stream may go on by what this node and the keepers remember together; `None` if they know nothing of it, and of
/// one version alone.
fn remembered(known: Option<&StreamOrigin>, replies: &KeeperReplies) -> Option<StreamContinuation> {
    let origins: BTreeSet<&StreamOrigin> = known.into_iter().chain(&replies.origin).collect();
    let mut origins = origins.into_iter();
    match (origins.next(), origins.next()) {
        _ if replies.is_ambiguous => Some(StreamContinuation::Unknown),
        (Some(origin), None) => Some(StreamContinuation::AtOrigin(origin.clone())),
        (Some(_), Some(_)) => Some(StreamContinuation::Unknown),
        (None, _) => replies.has_several_versions.then_some(StreamContinuation::Unknown),
    }
}

/// Where a stream may go on that no node remembers.
async fn at_only_origin(
    node: &Rc<Node>,
    service: &ServiceName,
    counted_by_keepers: &BTreeSet<StreamOrigin>,
) -> StreamContinuation {
    let mut counted = version_record::counted_origins(node);
    // The route may be one whose streams are not resumed, so that its service is not among them.
    counted.extend(version_record::counted_origins_of(node, service));
    counted.extend(counted_by_keepers.iter().cloned());
    if counted.len() > 1 {
        return StreamContinuation::Unknown;
    }
    let recorded = version_record::read_origins(node).await;
    let only = recorded.and_then(|recorded| only_origin(&recorded, &counted));
    only.map_or(StreamContinuation::Unknown, StreamContinuation::AtOnlyVersion)
}

/// Whether resumable streams of several origins count.
pub fn has_several_origins(node: &Node) -> bool {
    version_record::counted_origins(node).len() > 1
}

/// What the keepers have replied, taken together.
#[derive(Default)]
struct KeeperReplies {
    origin: Option<StreamOrigin>,
    /// Whether a keeper knows that streams of different origins bear the id.
    is_ambiguous: bool,
    /// Whether a keeper knows of several versions. Keepers of earlier builds do not name them.
    has_several_versions: bool,
    /// The origins that the keepers count.
    counted: BTreeSet<StreamOrigin>,
    /// Number of keepers that were queried.
    queried: usize,
    /// Number of keepers that have replied.
    replied: usize,
    /// Time for which the keeper that has run the longest has run, in milliseconds.
    longest_uptime_ms: u64,
}

/// Queries the stream's keepers in all regions, and waits until one of them knows of the stream what this node does not know,
/// or all have replied. `known` is where it began by this node's own record.
async fn query_keepers(
    node: &Node,
    stream: &StreamId,
    service: &ServiceName,
    known: Option<&StreamOrigin>,
) -> KeeperReplies {
    let mut replies = KeeperReplies::default();
    let keepers = keepers_in_all_regions(node, stream);
    let longest = keepers.iter().map(|(round_trip, _)| *round_trip).max();
    let Some(longest) = longest else { return replies };
    let deadline = Instant::now() + longest + REPLY_TIMEOUT_MARGIN;
    let (pending, mut receiver) = PendingQuery::register(node);
    let (stream, service) = (stream.clone(), service.clone());
    let query = StreamOriginQuery { ticket: pending.ticket, stream, service };
    let addresses: Vec<SocketAddr> = keepers.iter().map(|(_, address)| *address).collect();
    node.scheduling.socket.send(&PeerMessage::StreamOriginQuery(query), &addresses);
    replies.queried = addresses.len();
    for _ in &addresses {
        let Ok(Some(reply)) = timeout_at(deadline, receiver.recv()).await else { break };
        replies.replied += 1;
        replies.counted.extend(reply.counted);
        let uptime_ms = reply.uptime_ms.unwrap_or_default();
        replies.longest_uptime_ms = replies.longest_uptime_ms.max(uptime_ms);
        replies.has_several_versions |= reply.has_several_versions;
        let is_new = reply.origin.is_some() && reply.origin.as_ref() != known;
        if is_new || reply.is_ambiguous {
            let StreamOriginReply { origin, is_ambiguous, .. } = reply;
            return KeeperReplies { origin, is_ambiguous, ..replies };
        }
    }
    replies
}

/// The other nodes that may know a stream, with their round-trip times: its keepers, and those that have taken the place
/// of the keepers that are stopping.
fn keepers_in_all_regions(node: &Node, stream: &StreamId) -> Vec<(Duration, SocketAddr)> {
    let members = node.members.borrow();
    let is_present = |name: &NodeId| stream_origin_handover::is_present(node, name);
    let keepers_of = |region| {
        let all = members.stream_keepers(stream, region, KEEPERS_QUERIED, |_| true);
        let present = members.stream_keepers(stream, region, KEEPERS_QUERIED, is_present);
        all.into_iter().chain(present)
    };
    let regions = members.regions();
    let keepers = regions.iter().flat_map(keepers_of);
    let by_address: HashMap<SocketAddr, Duration> =
        keepers.map(|(zone, address)| (address, node.round_trip(zone))).collect();
    by_address.into_iter().map(|(address, round_trip)| (round_trip, address)).collect()
}

/// A query that waits for replies. It is forgotten when this is dropped.
struct PendingQuery<'a> {
    records: &'a StreamOriginRecords,
    ticket: Ticket,
}

impl<'a> PendingQuery<'a> {
    fn register(node: &'a Node) -> (Self, mpsc::UnboundedReceiver<StreamOriginReply>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (records, ticket) = (&node.stream_origins, node.scheduling.next_ticket());
        records.pending_queries.borrow_mut().insert(ticket, sender);
        (Self { records, ticket }, receiver)
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.records.pending_queries.borrow_mut().remove(&self.ticket);
    }
}

fn outcome_name(continuation: &StreamContinuation) -> &'static str {
    match continuation {
        StreamContinuation::Anywhere | StreamContinuation::AtOnlyVersion(_) => "one_version",
        StreamContinuation::AtOrigin(_) => "version_known",
        StreamContinuation::Unknown => "version_unknown",
    }
}

fn log_continuation(
    node: &Node,
    request: &ClientRequest,
    continuation: &StreamContinuation,
    replies: &KeeperReplies,
) {
    let metadata = &request.metadata;
    let after = metadata.last_event_id.unwrap_or_default();
    let resumes = metadata.resumed_stream.as_deref().unwrap_or_default();
    let outcome = outcome_name(continuation);
    let version = match continuation {
        StreamContinuation::AtOrigin(origin) | StreamContinuation::AtOnlyVersion(origin) => {
            origin.version.as_str()
        }
        StreamContinuation::Anywhere | StreamContinuation::Unknown => "",
    };
    let uptime_ms = node.now_us() / MICROS_PER_MILLI;
    let KeeperReplies { queried, replied, longest_uptime_ms, .. } = replies;
    log::info!(target: "stream", request = metadata.id.as_str(), resumes, after, outcome, version, uptime_ms, queried, replied, longest_uptime_ms; "stream resumed by its client");
}
