//! Counts the bytes of words that go to nodes of other regions: they are paid for.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Labels of words to other regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabels {
    /// The kind of word.
    pub word: &'static str,
}

/// Words to nodes of other regions.
#[derive(Debug, Default)]
pub struct CrossRegionTraffic {
    remote_addresses: RefCell<HashSet<SocketAddr>>,
    bytes: Family<MessageLabels, Counter>,
}

impl CrossRegionTraffic {
    /// A node is of another region, or of this one.
    pub fn set_region(&self, address: SocketAddr, is_remote: bool) {
        let mut remote_addresses = self.remote_addresses.borrow_mut();
        if is_remote {
            remote_addresses.insert(address);
        } else {
            remote_addresses.remove(&address);
        }
    }

    /// A word of so many bytes was sent to each of these nodes.
    pub fn on_sent(&self, word: &'static str, bytes: usize, to: &[SocketAddr]) {
        let remote_addresses = self.remote_addresses.borrow();
        let sent = to.iter().filter(|address| remote_addresses.contains(address)).count();
        if sent > 0 {
            self.bytes.get_or_create(&MessageLabels { word }).inc_by((sent * bytes) as u64);
        }
    }

    /// The counter, for the registry.
    pub fn bytes(&self) -> Family<MessageLabels, Counter> {
        self.bytes.clone()
    }
}
