//! The queue of a node: by priority, then fair among tenants, with deadlines.
//!
//! Among requests of one priority the tenant that was served the fewest tokens lately goes
//! first (start-time fair queueing, after Goyal, Vin and Cheng), and within a tenant the one
//! that came first. Requests whose deadline cannot be met any more are handed out for
//! refusal as soon as that is known, not at their deadline.

use pitchstall_protocol::ids::{RequestId, TenantId};
use std::collections::{BTreeMap, VecDeque};

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub tenant: TenantId,
    /// Higher goes first.
    pub priority: i32,
    /// Tokens it will take, prompt and output.
    pub tokens: u64,
    /// Latest instant at which it must be dispatched, microseconds.
    pub dispatch_by_us: u64,
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    entries: VecDeque<Entry>,
    start_tag: u64,
}

#[derive(Clone, Debug, Default)]
struct Class {
    tenants: BTreeMap<TenantId, TenantQueue>,
    virtual_time: u64,
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<i32, Class>,
    length: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        let class = self.classes.entry(entry.priority).or_default();
        let virtual_time = class.virtual_time;
        let queue = class.tenants.entry(entry.tenant.clone()).or_default();
        // A tenant that was away gets no credit for the time it asked nothing.
        if queue.entries.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.entries.push_back(entry);
        self.length += 1;
    }

    /// Requests in the order in which they should be tried, at most `limit`: the heads of
    /// the tenants' queues, highest priority first, then least served.
    pub fn heads(&self, limit: usize) -> Vec<Entry> {
        let mut heads = Vec::new();
        for class in self.classes.values().rev() {
            let mut waiting: Vec<&TenantQueue> =
                class.tenants.values().filter(|queue| !queue.entries.is_empty()).collect();
            waiting.sort_by_key(|queue| queue.start_tag);
            heads.extend(waiting.into_iter().filter_map(|queue| queue.entries.front().cloned()));
            if heads.len() >= limit {
                heads.truncate(limit);
                break;
            }
        }
        heads
    }

    /// Takes a request out because it is dispatched; its tenant is charged.
    pub fn take(&mut self, entry: &Entry) {
        if !self.remove(&entry.request, entry.priority, &entry.tenant) {
            return;
        }
        let Some(class) = self.classes.get_mut(&entry.priority) else {
            return;
        };
        if let Some(queue) = class.tenants.get_mut(&entry.tenant) {
            class.virtual_time = class.virtual_time.max(queue.start_tag);
            queue.start_tag += entry.tokens;
        }
        self.forget_idle_tenants(entry.priority);
    }

    /// Takes a request out without charging its tenant. Returns whether it was there.
    pub fn remove(&mut self, request: &RequestId, priority: i32, tenant: &TenantId) -> bool {
        let class = self.classes.get_mut(&priority);
        let Some(queue) = class.and_then(|class| class.tenants.get_mut(tenant)) else {
            return false;
        };
        let before = queue.entries.len();
        queue.entries.retain(|entry| entry.request != *request);
        let removed = before - queue.entries.len();
        self.length -= removed;
        removed > 0
    }

    /// Takes out all requests that must have been dispatched before `now_us`.
    pub fn take_expired(&mut self, now_us: u64) -> Vec<Entry> {
        let mut expired = Vec::new();
        for class in self.classes.values_mut() {
            for queue in class.tenants.values_mut() {
                queue.entries.retain(|entry| {
                    let keep = entry.dispatch_by_us > now_us;
                    if !keep {
                        expired.push(entry.clone());
                    }
                    keep
                });
            }
        }
        self.length -= expired.len();
        expired
    }

    /// Tokens that would be served before a new request of this priority.
    pub fn tokens_ahead(&self, priority: i32) -> u64 {
        self.classes
            .range(priority..)
            .flat_map(|(_, class)| class.tenants.values())
            .flat_map(|queue| queue.entries.iter())
            .map(|entry| entry.tokens)
            .sum()
    }

    /// Idle tenants whose tag has been passed by the class's virtual time hold no debt, so
    /// dropping them changes no order; without this the map would grow with every tenant.
    fn forget_idle_tenants(&mut self, priority: i32) {
        if let Some(class) = self.classes.get_mut(&priority) {
            let virtual_time = class.virtual_time;
            class
                .tenants
                .retain(|_, queue| !queue.entries.is_empty() || queue.start_tag > virtual_time);
        }
    }
}
