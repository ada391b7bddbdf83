//! Counts the datagrams to other nodes by kind of message, and logs the counts at intervals.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two log lines of a node.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Metric labels of datagrams to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    /// The kind of message, from [`PeerMessage::kind`](crate::peer_messages::PeerMessage::kind).
    pub kind: &'static str,
}

/// Datagrams of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    datagrams: u64,
    bytes: u64,
}

/// Datagrams that the node has sent to other nodes.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    datagrams: Family<KindLabels, Counter>,
    bytes: Family<KindLabels, Counter>,
    since_last_log: RefCell<BTreeMap<&'static str, Sent>>,
}

impl PeerTraffic {
    /// Counts a message of `bytes` bytes to `receivers` nodes.
    pub fn on_sent(&self, kind: &'static str, bytes: usize, receivers: usize) {
        let sent = Sent { datagrams: receivers as u64, bytes: (bytes * receivers) as u64 };
        self.datagrams.get_or_create(&KindLabels { kind }).inc_by(sent.datagrams);
        self.bytes.get_or_create(&KindLabels { kind }).inc_by(sent.bytes);
        let mut since_last_log = self.since_last_log.borrow_mut();
        let total = since_last_log.entry(kind).or_default();
        total.datagrams += sent.datagrams;
        total.bytes += sent.bytes;
    }

    /// The counter of datagrams, to be added to the registry of metrics.
    pub fn datagrams(&self) -> Family<KindLabels, Counter> {
        self.datagrams.clone()
    }

    /// The counter of bytes, to be added to the registry of metrics.
    pub fn bytes(&self) -> Family<KindLabels, Counter> {
        self.bytes.clone()
    }

    /// Logs the counts at intervals until the task is dropped. Each kind is listed with its number of
    /// datagrams and bytes since the last line.
    pub async fn log_counts(self: Rc<Self>) {
        loop {
            sleep(LOG_INTERVAL).await;
            let sent = std::mem::take(&mut *self.since_last_log.borrow_mut());
            let describe =
                |(kind, sent): (&&str, &Sent)| format!("{kind}:{}/{}", sent.datagrams, sent.bytes);
            let kinds: Vec<String> = sent.iter().map(describe).collect();
            let kinds = kinds.join(" ");
            log::info!(target: "peers", kinds; "datagrams sent");
        }
    }
}
