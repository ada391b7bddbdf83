//! Prompt parts on which runners have completed responses: they do not crash runners.

use crate::request_identity::RequestIdentity;
use std::collections::{HashMap, VecDeque};

/// Maximum number of parts that a node remembers, about 300 KB.
const MAX_PARTS: usize = 4_096;

/// The parts of recent successful requests, as far as a node has served them.
#[derive(Clone, Debug, Default)]
pub struct ProvenParts {
    /// Number of the last success of each part.
    last_success: HashMap<RequestIdentity, u64>,
    /// Successes in order; a part is listed again when it succeeds again after others.
    order: VecDeque<(RequestIdentity, u64)>,
    successes: u64,
}

impl ProvenParts {
    /// Records a completed response on a part. The part that has succeeded least recently is forgotten if there are too
    /// many.
    pub fn on_success(&mut self, part: RequestIdentity) {
        self.successes += 1;
        self.last_success.insert(part, self.successes);
        self.order.push_back((part, self.successes));
        while self.last_success.len() > MAX_PARTS || self.order.len() > 2 * MAX_PARTS {
            let Some((earliest, number)) = self.order.pop_front() else { return };
            if self.last_success.get(&earliest) == Some(&number) {
                self.last_success.remove(&earliest);
            }
        }
    }

    /// Whether a response on the part has been completed.
    pub fn contains(&self, part: RequestIdentity) -> bool {
        self.last_success.contains_key(&part)
    }
}
