//! A stand-in for the key-value service: revisions, transactions, leases, a rate limit.

use pitchstall_coordination::time::{micros, Timestamp};
use pitchstall_protocol::store::{
    StoreError, StoreLease, StoreReply, StoreRequest, StoredValue, Write,
};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Value {
    value: String,
    create_revision: u64,
    mod_revision: u64,
    lease: Option<StoreLease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    ends: Timestamp,
}

/// The store.
#[derive(Clone, Debug)]
pub struct StoreModel {
    revision: u64,
    values: BTreeMap<String, Value>,
    leases: BTreeMap<StoreLease, Lease>,
    next_lease: u64,
    requests_per_second: u64,
    burst: u64,
    tokens_us: u64,
    refilled: Timestamp,
    handled: u64,
    refused: u64,
}

const MICROS_PER_SECOND: u64 = 1_000_000;

impl StoreModel {
    /// An empty store with a rate limit.
    pub fn new(requests_per_second: u64) -> Self {
        let burst = requests_per_second.max(1);
        Self {
            revision: 1,
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            requests_per_second,
            burst,
            tokens_us: burst * MICROS_PER_SECOND,
            refilled: Timestamp(0),
            handled: 0,
            refused: 0,
        }
    }

    /// Requests handled.
    pub fn handled(&self) -> u64 {
        self.handled
    }

    /// Requests refused by the rate limit.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The present revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Handles a request. Returns the answer and the values that it changed.
    pub fn handle(
        &mut self,
        now: Timestamp,
        request: &StoreRequest,
    ) -> (Result<StoreReply, StoreError>, Vec<StoredValue>) {
        self.expire(now);
        if !self.take_rate(now) {
            self.refused += 1;
            return (Err(StoreError::RateLimited), Vec::new());
        }
        self.handled += 1;
        match request {
            StoreRequest::Get { keys } => {
                let values = keys.iter().filter_map(|key| self.get(key)).collect();
                (Ok(StoreReply::Values { values, revision: self.revision }), Vec::new())
            }
            StoreRequest::Transaction { compare, writes } => {
                let holds = compare.iter().all(|it| {
                    self.values.get(&it.key).map_or(0, |value| value.mod_revision)
                        == it.mod_revision
                });
                let leases_live = writes
                    .iter()
                    .all(|write| write.lease.is_none_or(|lease| self.leases.contains_key(&lease)));
                let succeeded = holds && leases_live;
                let changed = if succeeded { self.write(writes) } else { Vec::new() };
                (Ok(StoreReply::Transaction { succeeded, revision: self.revision }), changed)
            }
            StoreRequest::Grant { ttl_s } => {
                let lease = StoreLease(self.next_lease);
                self.next_lease += 1;
                let ttl = Duration::from_secs(*ttl_s);
                self.leases.insert(lease, Lease { ttl, ends: now + ttl });
                (Ok(StoreReply::Granted { lease }), Vec::new())
            }
            StoreRequest::KeepAlive { lease } => {
                let ttl_s = match self.leases.get_mut(lease) {
                    Some(known) => {
                        known.ends = now + known.ttl;
                        known.ttl.as_secs()
                    }
                    None => 0,
                };
                (Ok(StoreReply::KeptAlive { ttl_s }), Vec::new())
            }
            StoreRequest::Revoke { lease } => {
                self.end_lease(*lease);
                (Ok(StoreReply::Revoked), Vec::new())
            }
        }
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<StoredValue> {
        let value = self.values.get(key)?;
        Some(StoredValue {
            key: key.to_owned(),
            value: value.value.clone(),
            create_revision: value.create_revision,
            mod_revision: value.mod_revision,
        })
    }

    fn write(&mut self, writes: &[Write]) -> Vec<StoredValue> {
        self.revision += 1;
        let mut changed = Vec::new();
        for write in writes {
            let Some(text) = &write.value else {
                self.values.remove(&write.key);
                continue;
            };
            let create_revision =
                self.values.get(&write.key).map_or(self.revision, |value| value.create_revision);
            let value = Value {
                value: text.clone(),
                create_revision,
                mod_revision: self.revision,
                lease: write.lease,
            };
            self.values.insert(write.key.clone(), value);
            changed.extend(self.get(&write.key));
        }
        changed
    }

    fn expire(&mut self, now: Timestamp) {
        let ended: Vec<StoreLease> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: StoreLease) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let before = self.values.len();
        self.values.retain(|_, value| value.lease != Some(lease));
        if self.values.len() != before {
            self.revision += 1;
        }
    }

    fn take_rate(&mut self, now: Timestamp) -> bool {
        let earned = micros(now.since(self.refilled)).saturating_mul(self.requests_per_second);
        let full = self.burst * MICROS_PER_SECOND;
        self.tokens_us = self.tokens_us.saturating_add(earned).min(full);
        self.refilled = self.refilled.max(now);
        if self.tokens_us < MICROS_PER_SECOND {
            return false;
        }
        self.tokens_us -= MICROS_PER_SECOND;
        true
    }
}
