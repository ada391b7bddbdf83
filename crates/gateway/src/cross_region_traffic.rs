//! Counts the bytes of words that go to nodes of other regions: they are paid for.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Labels of words to other regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WordLabels {
    /// The kind of word.
    pub word: &'static str,
}

/// Words to nodes of other regions.
#[derive(Debug, Default)]
pub struct FarTraffic {
    far: RefCell<HashSet<SocketAddr>>,
    bytes: Family<WordLabels, Counter>,
}

impl FarTraffic {
    /// A node is of another region, or of this one.
    pub fn on_peer(&self, address: SocketAddr, is_far: bool) {
        let mut far = self.far.borrow_mut();
        if is_far {
            far.insert(address);
        } else {
            far.remove(&address);
        }
    }

    /// A word of so many bytes was sent to each of these nodes.
    pub fn on_sent(&self, word: &'static str, bytes: usize, to: &[SocketAddr]) {
        let far = self.far.borrow();
        let sent = to.iter().filter(|address| far.contains(address)).count();
        if sent > 0 {
            self.bytes.get_or_create(&WordLabels { word }).inc_by((sent * bytes) as u64);
        }
    }

    /// The counter, for the registry.
    pub fn bytes(&self) -> Family<WordLabels, Counter> {
        self.bytes.clone()
    }
}
