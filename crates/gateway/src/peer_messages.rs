//! What nodes say to each other by datagrams: one JSON line each.

use crate::cross_region_traffic::FarTraffic;
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
pub const MOST_DATAGRAM_BYTES: usize = 60_000;

/// A word of one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerWord {
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
    Question(PlacementQuery),
    /// There.
    #[serde(rename = "place")]
    Answer(PlacementReply),
    /// What became of a request that was placed.
    #[serde(rename = "progress")]
    Progress(ProgressMessage),
    /// The loads of a shard.
    #[serde(rename = "loads")]
    Loads(ShardLoads),
    /// What the runners of a region have to do.
    #[serde(rename = "region")]
    RegionLoads(RegionLoads),
    /// Shared parts of prompts that runners of a region have read.
    #[serde(rename = "parts")]
    PartsRead(Vec<CachedPrefixMessage>),
    /// How many requests of each tenant began?
    #[serde(rename = "usage?")]
    UsageQuestion(UsageQuery),
    /// Runners that ended, and what was under way there.
    #[serde(rename = "crash")]
    Crash(CrashMessage),
    /// May a run of this cost begin?
    #[serde(rename = "quota?")]
    QuotaQuestion(QuotaQuery),
    /// Whether it may.
    #[serde(rename = "quota")]
    QuotaAnswer(QuotaReply),
    /// This keeper has a question that was handed on to it.
    #[serde(rename = "quota+")]
    QuotaTaken(KeeperId),
    /// It has not begun.
    #[serde(rename = "quota-")]
    QuotaReturn(QuotaRefund),
    /// May one request be sent to a runner that names a limit?
    #[serde(rename = "limit?")]
    LimitQuestion(LimitQuery),
    /// Whether it may.
    #[serde(rename = "limit")]
    LimitAnswer(LimitReply),
    /// A runner has said what it takes.
    #[serde(rename = "limit+")]
    LimitWord(LimitMessage),
    /// So many.
    #[serde(rename = "usage")]
    Usage(UsageMessage),
}

impl PeerWord {
    /// Its kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Hello(_) => "hello",
            Self::Members(_) => "members",
            Self::Question(_) => "question",
            Self::Answer(_) => "answer",
            Self::Progress(_) => "progress",
            Self::Loads(_) => "loads",
            Self::RegionLoads(_) => "region_loads",
            Self::PartsRead(_) => "parts_read",
            Self::UsageQuestion(_) => "usage_question",
            Self::Crash(_) => "crash",
            Self::QuotaQuestion(_) => "quota_question",
            Self::QuotaAnswer(_) => "quota_answer",
            Self::QuotaTaken(_) => "quota_taken",
            Self::QuotaReturn(_) => "quota_return",
            Self::LimitQuestion(_) => "limit_question",
            Self::LimitAnswer(_) => "limit_answer",
            Self::LimitWord(_) => "limit_word",
            Self::Usage(_) => "usage",
        }
    }
}

/// Sends words. One that cannot be sent is as good as lost on its way, and nothing depends on it.
#[derive(Clone)]
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    far: Rc<FarTraffic>,
}

impl PeerSocket {
    /// Sends through the socket.
    pub fn new(socket: Rc<UdpSocket>) -> Self {
        Self { socket, far: Rc::default() }
    }

    /// What goes to nodes of other regions.
    pub fn far_traffic(&self) -> &FarTraffic {
        &self.far
    }

    /// Sends a word to some nodes; returns its length in bytes.
    pub fn send(&self, word: &PeerWord, to: &[SocketAddr]) -> usize {
        let line = match serde_json::to_vec(word) {
            Ok(line) if line.len() <= MOST_DATAGRAM_BYTES => line,
            Ok(line) => {
                log::warn!(target: "peers", bytes = line.len(); "a word is too long");
                return 0;
            }
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "peers", error; "a word cannot be written");
                return 0;
            }
        };
        self.far.on_sent(word.kind(), line.len(), to);
        for address in to {
            if let Err(error) = self.socket.try_send_to(&line, *address) {
                let (to, error) = (address.to_string(), error.to_string());
                log::debug!(target: "peers", to, error; "a word was not sent");
            }
        }
        line.len()
    }

    /// Receives the next datagram into `buffer`.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
