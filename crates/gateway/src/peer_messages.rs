//! What nodes say to each other by datagrams: one JSON line each.

use crate::cross_region_traffic::CrossRegionTraffic;
use pitchstall_serving::digest::Digest;
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use pitchstall_serving::quarantine::CrashMessage;
use pitchstall_serving::quota::{QuotaQuery, QuotaRefund, QuotaReply};
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::regions::{CachedPrefixMessage, RegionLoads};
use pitchstall_serving::runner_limit::{LimitMessage, LimitQuery, LimitReply};
use pitchstall_serving::scheduling::{PlacementQuery, PlacementReply, ProgressMessage, ShardLoads};
use pitchstall_serving::usage::{UsageMessage, UsageQuery};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A word of one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The node is there.
    #[serde(rename = "digest")]
    Digest(Digest),
    /// A node that cannot read the store asks who is there.
    #[serde(rename = "hello")]
    Hello(Digest),
    /// These are.
    #[serde(rename = "members")]
    Members(Vec<(NodeId, Member)>),
    /// Where is this request to run?
    #[serde(rename = "ask")]
    PlacementQuery(PlacementQuery),
    /// There.
    #[serde(rename = "place")]
    PlacementReply(PlacementReply),
    /// What became of a request that was placed.
    #[serde(rename = "progress")]
    ProgressMessage(ProgressMessage),
    /// The loads of a shard.
    #[serde(rename = "loads")]
    ShardLoads(ShardLoads),
    /// What the runners of a region have to do.
    #[serde(rename = "region")]
    RegionLoads(RegionLoads),
    /// Shared parts of prompts that runners of a region have read.
    #[serde(rename = "parts")]
    CachedPrefixes(Vec<CachedPrefixMessage>),
    /// How many requests of each tenant began?
    #[serde(rename = "usage?")]
    UsageQuery(UsageQuery),
    /// Runners that ended, and what was under way there.
    #[serde(rename = "crash")]
    CrashMessage(CrashMessage),
    /// May a run of this cost begin?
    #[serde(rename = "quota?")]
    QuotaQuery(QuotaQuery),
    /// Whether it may.
    #[serde(rename = "quota")]
    QuotaReply(QuotaReply),
    /// This keeper has a question that was handed on to it.
    #[serde(rename = "quota+")]
    QuotaForwardAck(KeeperId),
    /// It has not begun.
    #[serde(rename = "quota-")]
    QuotaRefund(QuotaRefund),
    /// May one request be sent to a runner that names a limit?
    #[serde(rename = "limit?")]
    LimitQuery(LimitQuery),
    /// Whether it may.
    #[serde(rename = "limit")]
    LimitReply(LimitReply),
    /// A runner has said what it takes.
    #[serde(rename = "limit+")]
    LimitMessage(LimitMessage),
    /// So many.
    #[serde(rename = "usage")]
    UsageMessage(UsageMessage),
}

impl PeerMessage {
    /// Its kind, for metrics.
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
            Self::LimitQuery(_) => "limit_question",
            Self::LimitReply(_) => "limit_answer",
            Self::LimitMessage(_) => "limit_word",
            Self::UsageMessage(_) => "usage",
        }
    }
}

/// Sends words. One that cannot be sent is as good as lost on its way, and nothing depends on it.
#[derive(Clone)]
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    cross_region_traffic: Rc<CrossRegionTraffic>,
}

impl PeerSocket {
    /// Sends through the socket.
    pub fn new(socket: Rc<UdpSocket>) -> Self {
        Self { socket, cross_region_traffic: Rc::default() }
    }

    /// What goes to nodes of other regions.
    pub fn cross_region_traffic(&self) -> &CrossRegionTraffic {
        &self.cross_region_traffic
    }

    /// Sends a word to some nodes; returns its length in bytes.
    pub fn send(&self, message: &PeerMessage, to: &[SocketAddr]) -> usize {
        let datagram = match serde_json::to_vec(message) {
            Ok(datagram) if datagram.len() <= MAX_DATAGRAM_BYTES => datagram,
            Ok(datagram) => {
                log::warn!(target: "peers", bytes = datagram.len(); "a word is too long");
                return 0;
            }
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "peers", error; "a word cannot be written");
                return 0;
            }
        };
        self.cross_region_traffic.on_sent(message.kind(), datagram.len(), to);
        for address in to {
            if let Err(error) = self.socket.try_send_to(&datagram, *address) {
                let (to, error) = (address.to_string(), error.to_string());
                log::debug!(target: "peers", to, error; "a word was not sent");
            }
        }
        datagram.len()
    }

    /// Receives the next datagram into `buffer`.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
