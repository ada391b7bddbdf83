//! Counts the bytes of messages to nodes of other regions, since traffic between regions is billed.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Metric labels of messages to other regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabels {
    /// The kind of message, from [`PeerMessage::kind`](crate::peer_messages::PeerMessage::kind).
    pub word: &'static str,
}

/// Traffic to nodes of other regions.
#[derive(Debug, Default)]
pub struct CrossRegionTraffic {
    remote_addresses: RefCell<HashSet<SocketAddr>>,
    bytes: Family<MessageLabels, Counter>,
}

impl CrossRegionTraffic {
    /// Records whether the node at an address is in another region (`is_remote`) or in this one.
    pub fn set_region(&self, address: SocketAddr, is_remote: bool) {
        let mut remote_addresses = self.remote_addresses.borrow_mut();
        if is_remote {
            remote_addresses.insert(address);
        } else {
            remote_addresses.remove(&address);
        }
    }

    /// Counts a message of `bytes` bytes, of the given kind, for each receiver in another region.
    pub fn on_sent(&self, kind: &'static str, bytes: usize, to: &[SocketAddr]) {
        let remote_addresses = self.remote_addresses.borrow();
        let sent = to.iter().filter(|address| remote_addresses.contains(address)).count();
        if sent > 0 {
            self.bytes.get_or_create(&MessageLabels { word: kind }).inc_by((sent * bytes) as u64);
        }
    }

    /// The byte counter, to be added to the registry of metrics.
    pub fn bytes(&self) -> Family<MessageLabels, Counter> {
        self.bytes.clone()
    }
}
