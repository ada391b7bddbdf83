//! Messages between nodes. Each is one datagram with one line of JSON.

use crate::cross_region_traffic::CrossRegionTraffic;
use crate::peer_traffic::PeerTraffic;
use pitchstall_serving::crash_messages::CrashMessage;
use pitchstall_serving::digest::Digest;
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use pitchstall_serving::quota::{QuotaQuery, QuotaRefund, QuotaReply};
use pitchstall_serving::quota_handover::QuotaHandover;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::regions::{CachedPrefixMessage, RegionLoads};
use pitchstall_serving::retry_pool::{RetryDeposit, RetryQuery, RetryReply, RetryReturn};
use pitchstall_serving::runner_limit::{LimitMessage, LimitQuery, LimitReply};
use pitchstall_serving::scheduling::{PlacementQuery, PlacementReply, ProgressMessage, ShardLoads};
use pitchstall_serving::stream_origin::{
    StreamOriginMessage, StreamOriginQuery, StreamOriginReply,
};
use pitchstall_serving::usage::{UsageMessage, UsageQuery};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Maximum size of a datagram. Larger messages are not sent.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A message from one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's state and what it reports about the store and runners. It also shows that the
    /// sender is alive.
    #[serde(rename = "digest")]
    Digest(Digest),
    /// Sent by a node that cannot read the store, to ask for other members.
    #[serde(rename = "hello")]
    Hello(Digest),
    /// Members known to the sender, in reply to [`Self::Hello`].
    #[serde(rename = "members")]
    Members(Vec<(NodeId, Member)>),
    /// Asks a shard's scheduler where to run a request.
    #[serde(rename = "ask")]
    PlacementQuery(PlacementQuery),
    /// The assigned runners, or another region to ask, in reply to [`Self::PlacementQuery`].
    #[serde(rename = "place")]
    PlacementReply(PlacementReply),
    /// Progress of a placed request, reported to the scheduler that placed it.
    #[serde(rename = "progress")]
    ProgressMessage(ProgressMessage),
    /// The loads of the runners of a shard.
    #[serde(rename = "loads")]
    ShardLoads(ShardLoads),
    /// The backlogs of the runners of a region, by service.
    #[serde(rename = "region")]
    RegionLoads(RegionLoads),
    /// Shared prefixes that runners of a region have cached.
    #[serde(rename = "parts")]
    CachedPrefixes(Vec<CachedPrefixMessage>),
    /// Asks how many requests of each tenant started to run.
    #[serde(rename = "usage?")]
    UsageQuery(UsageQuery),
    /// A runner that crashed, with the requests that were in progress there, or a request that is
    /// cleared.
    #[serde(rename = "crash")]
    CrashMessage(CrashMessage),
    /// Asks a quota keeper whether a run of this cost may start.
    #[serde(rename = "quota?")]
    QuotaQuery(QuotaQuery),
    /// A quota keeper's reply to [`Self::QuotaQuery`].
    #[serde(rename = "quota")]
    QuotaReply(QuotaReply),
    /// Acknowledges a query that was forwarded to this quota keeper.
    #[serde(rename = "quota+")]
    QuotaForwardAck(KeeperId),
    /// Refunds the charge for a run that has not started.
    #[serde(rename = "quota-")]
    QuotaRefund(QuotaRefund),
    /// What a holder that stops has left, for the next holder of its keeper.
    #[serde(rename = "quota>")]
    QuotaHandover(QuotaHandover),
    /// Asks whether one more request may be sent to a runner that has named a limit.
    #[serde(rename = "limit?")]
    LimitQuery(LimitQuery),
    /// A limit keeper's reply to [`Self::LimitQuery`].
    #[serde(rename = "limit")]
    LimitReply(LimitReply),
    /// The limit that a runner has reported.
    #[serde(rename = "limit+")]
    LimitMessage(LimitMessage),
    /// Deposits retry tokens at a keeper of the zone's pool.
    #[serde(rename = "retry+")]
    RetryDeposit(RetryDeposit),
    /// Asks a keeper of the zone's pool for retry tokens.
    #[serde(rename = "retry?")]
    RetryQuery(RetryQuery),
    /// A keeper's reply to [`Self::RetryQuery`].
    #[serde(rename = "retry")]
    RetryReply(RetryReply),
    /// Returns what a keeper granted for a [`Self::RetryQuery`] and the requester does not use.
    #[serde(rename = "retry-")]
    RetryReturn(RetryReturn),
    /// What began streams, told to their keepers.
    #[serde(rename = "streams")]
    StreamOrigins(Vec<StreamOriginMessage>),
    /// Asks a keeper what began a stream.
    #[serde(rename = "stream?")]
    StreamOriginQuery(StreamOriginQuery),
    /// A keeper's reply to [`Self::StreamOriginQuery`].
    #[serde(rename = "stream")]
    StreamOriginReply(StreamOriginReply),
    /// Counts of requests that started to run, by window and tenant, in reply to
    /// [`Self::UsageQuery`].
    #[serde(rename = "usage")]
    UsageMessage(UsageMessage),
}

impl PeerMessage {
    /// The kind of message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Hello(_) => "hello",
            Self::Members(_) => "members",
            Self::PlacementQuery(_) => "question",
            Self::PlacementReply(_) => "answer",
            Self::ProgressMessage(_) => "progress",
            Self::ShardLoads(_) => "loads",
            Self::RegionLoads(_) => "region_loads",
            Self::CachedPrefixes(_) => "parts_read",
            Self::UsageQuery(_) => "usage_question",
            Self::CrashMessage(_) => "crash",
            Self::QuotaQuery(_) => "quota_question",
            Self::QuotaReply(_) => "quota_answer",
            Self::QuotaForwardAck(_) => "quota_taken",
            Self::QuotaRefund(_) => "quota_return",
            Self::QuotaHandover(_) => "quota_handover",
            Self::LimitQuery(_) => "limit_question",
            Self::LimitReply(_) => "limit_answer",
            Self::LimitMessage(_) => "limit_word",
            Self::RetryDeposit(_) => "retry_deposit",
            Self::RetryQuery(_) => "retry_question",
            Self::RetryReply(_) => "retry_answer",
            Self::RetryReturn(_) => "retry_return",
            Self::StreamOrigins(_) => "stream_origins",
            Self::StreamOriginQuery(_) => "stream_question",
            Self::StreamOriginReply(_) => "stream_answer",
            Self::UsageMessage(_) => "usage",
        }
    }
}

/// Sends messages. A message that cannot be sent counts as lost on its way; no part of the system
/// depends on a single message.
#[derive(Clone)]
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    cross_region_traffic: Rc<CrossRegionTraffic>,
    traffic: Rc<PeerTraffic>,
}

impl PeerSocket {
    /// A sender on `socket`. Until peers are known, no address counts as in another region.
    pub fn new(socket: Rc<UdpSocket>) -> Self {
        Self { socket, cross_region_traffic: Rc::default(), traffic: Rc::default() }
    }

    /// Counts of the traffic to nodes of other regions.
    pub fn cross_region_traffic(&self) -> &CrossRegionTraffic {
        &self.cross_region_traffic
    }

    /// Counts of all datagrams.
    pub fn traffic(&self) -> &Rc<PeerTraffic> {
        &self.traffic
    }

    /// Sends a message to the given nodes. Returns its length in bytes, or 0 if it is too long or
    /// cannot be serialized.
    pub fn send(&self, message: &PeerMessage, to: &[SocketAddr]) -> usize {
        let datagram = match serde_json::to_vec(message) {
            Ok(datagram) if datagram.len() <= MAX_DATAGRAM_BYTES => datagram,
            Ok(datagram) => {
                log::warn!(target: "peers", bytes = datagram.len(); "message not sent: it exceeds the maximum datagram size");
                return 0;
            }
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "peers", error; "message not sent: it cannot be serialized");
                return 0;
            }
        };
        self.cross_region_traffic.on_sent(message.kind(), datagram.len(), to);
        self.traffic.on_sent(message.kind(), datagram.len(), to.len());
        for address in to {
            if let Err(error) = self.socket.try_send_to(&datagram, *address) {
                let (to, error) = (address.to_string(), error.to_string());
                log::debug!(target: "peers", to, error; "datagram not sent");
            }
        }
        datagram.len()
    }

    /// Receives the next datagram into `buffer`. Returns its length in bytes and the sender's
    /// address.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
