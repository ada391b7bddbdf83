//! A lease on the authority over a zone, kept at the store.
//!
//! The epoch is the store's revision at which the zone's key was created, so a later holder
//! has a higher one. The holder counts its own time from when it *sent* the renewal that
//! succeeded, less a margin for clock drift: it stops before the store can give the lease to
//! another. That alone does not protect an engine from a holder paused between its check and
//! its order; [`crate::fence`] does.
//!
//! Lost answers: the key's value carries an id unique to the try, so that reading the key
//! decides whether the try went in.

use crate::time::Timestamp;
use pitchstall_protocol::ids::{Epoch, Incarnation, NodeId, ZoneId};
use pitchstall_protocol::store::{
    Compare, StoreError, StoreLease, StoreReply, StoreRequest, StoredValue, Write,
};
use std::time::Duration;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time to live at the store; whole seconds.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Subtracted from the holder's own time, for clocks that run at different rates.
    pub margin: Duration,
    /// Time after which a request to the store without an answer is given up.
    pub request_timeout: Duration,
    /// Wait between tries while another holds the lease or the store fails. Each node adds
    /// its own jitter.
    pub retry_every: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew_every: Duration::from_millis(1_500),
            margin: Duration::from_millis(500),
            request_timeout: Duration::from_millis(1_000),
            retry_every: Duration::from_millis(1_500),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle { retry_at: Timestamp },
    Granting { sent: Timestamp },
    Claiming { lease: StoreLease, granted_from: Timestamp, sent: Timestamp },
    Reading { lease: StoreLease, granted_from: Timestamp, sent: Timestamp },
    Held { lease: StoreLease, epoch: Epoch, valid_from: Timestamp, renewing: Option<Timestamp> },
}

/// One node's part in holding a zone's lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    config: LeaseConfig,
    key: String,
    node: NodeId,
    incarnation: Incarnation,
    jitter: Duration,
    tries: u64,
    state: State,
}

/// The store's key for the authority over a zone.
pub fn authority_key(zone: &ZoneId) -> String {
    format!("pitchstall/authority/{zone}")
}

impl LeaseHolder {
    /// A holder that has nothing yet. `jitter` spreads the tries of different nodes.
    pub fn new(
        config: LeaseConfig,
        zone: &ZoneId,
        node: NodeId,
        incarnation: Incarnation,
        jitter: Duration,
    ) -> Self {
        Self {
            config,
            key: authority_key(zone),
            node,
            incarnation,
            jitter,
            tries: 0,
            state: State::Idle { retry_at: Timestamp(0) + jitter },
        }
    }

    /// The epoch, while the lease is surely held.
    pub fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        match &self.state {
            State::Held { epoch, valid_from, .. } if now < self.valid_until(*valid_from) => {
                Some(*epoch)
            }
            _ => None,
        }
    }

    fn valid_until(&self, from: Timestamp) -> Timestamp {
        from + self.config.ttl.saturating_sub(self.config.margin)
    }

    /// The next request to the store, if one is due. `wanted`: whether this node should
    /// hold the lease; a holder that should not gives it back.
    pub fn poll(&mut self, now: Timestamp, wanted: bool) -> Option<StoreRequest> {
        match self.state.clone() {
            State::Idle { retry_at } if wanted && now >= retry_at => {
                self.state = State::Granting { sent: now };
                Some(StoreRequest::Grant { ttl_s: self.config.ttl.as_secs() })
            }
            State::Idle { .. } => None,
            State::Granting { sent }
            | State::Claiming { sent, .. }
            | State::Reading { sent, .. } => {
                if now.since(sent) >= self.config.request_timeout {
                    self.back_off(now);
                }
                None
            }
            // Our own belief ends before the store hears of it.
            State::Held { lease, .. } if !wanted => {
                self.back_off(now);
                Some(StoreRequest::Revoke { lease })
            }
            State::Held { valid_from, .. } if now >= self.valid_until(valid_from) => {
                self.back_off(now);
                None
            }
            State::Held { lease, epoch, valid_from, renewing } => {
                let unanswered =
                    renewing.is_some_and(|sent| now.since(sent) < self.config.request_timeout);
                if unanswered || now.since(valid_from) < self.config.renew_every {
                    return None;
                }
                self.state = State::Held { lease, epoch, valid_from, renewing: Some(now) };
                Some(StoreRequest::KeepAlive { lease })
            }
        }
    }

    /// Takes the answer to the request sent at `sent`; returns a request that follows at
    /// once. Answers to requests given up before are ignored: an old renewal must not pass
    /// for a newer one and stretch the holder's time.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        reply: &Result<StoreReply, StoreError>,
    ) -> Option<StoreRequest> {
        if self.awaited_since() != Some(sent) {
            return None;
        }
        match (self.state.clone(), reply) {
            (State::Granting { sent }, Ok(StoreReply::Granted { lease })) => {
                self.claim(now, *lease, sent)
            }
            (
                State::Claiming { lease, granted_from, .. },
                Ok(StoreReply::Transaction { succeeded: true, revision }),
            ) => {
                self.hold(lease, Epoch(*revision), granted_from);
                None
            }
            // The key exists, or the answer was lost: only reading tells whose it is.
            (
                State::Claiming { lease, granted_from, .. },
                Ok(StoreReply::Transaction { .. }) | Err(StoreError::OutcomeUnknown),
            ) => {
                self.state = State::Reading { lease, granted_from, sent: now };
                Some(StoreRequest::Get { keys: vec![self.key.clone()] })
            }
            (State::Reading { lease, granted_from, .. }, Ok(StoreReply::Values { values, .. })) => {
                self.decide_by_reading(now, lease, granted_from, values)
            }
            (
                State::Held { lease, epoch, renewing: Some(sent), .. },
                Ok(StoreReply::KeptAlive { ttl_s }),
            ) if *ttl_s > 0 => {
                // The store's time runs from when it handled the renewal, which is later.
                self.state = State::Held { lease, epoch, valid_from: sent, renewing: None };
                None
            }
            (State::Held { renewing: Some(_), .. }, Ok(StoreReply::KeptAlive { .. })) => {
                self.back_off(now);
                None
            }
            (State::Held { lease, epoch, valid_from, .. }, Err(_)) => {
                self.state = State::Held { lease, epoch, valid_from, renewing: None };
                None
            }
            (State::Held { .. } | State::Idle { .. }, _) => None,
            _ => {
                self.back_off(now);
                None
            }
        }
    }

    fn awaited_since(&self) -> Option<Timestamp> {
        match &self.state {
            State::Idle { .. } => None,
            State::Granting { sent }
            | State::Claiming { sent, .. }
            | State::Reading { sent, .. } => Some(*sent),
            State::Held { renewing, .. } => *renewing,
        }
    }

    fn claim(
        &mut self,
        now: Timestamp,
        lease: StoreLease,
        granted_from: Timestamp,
    ) -> Option<StoreRequest> {
        self.tries += 1;
        self.state = State::Claiming { lease, granted_from, sent: now };
        Some(StoreRequest::Transaction {
            compare: vec![Compare { key: self.key.clone(), mod_revision: 0 }],
            writes: vec![Write {
                key: self.key.clone(),
                value: Some(self.value()),
                lease: Some(lease),
            }],
        })
    }

    fn decide_by_reading(
        &mut self,
        now: Timestamp,
        lease: StoreLease,
        granted_from: Timestamp,
        values: &[StoredValue],
    ) -> Option<StoreRequest> {
        let own = self.value();
        match values.iter().find(|value| value.key == self.key) {
            Some(value) if value.value == own => {
                self.hold(lease, Epoch(value.create_revision), granted_from);
                None
            }
            _ => {
                self.back_off(now);
                Some(StoreRequest::Revoke { lease })
            }
        }
    }

    fn hold(&mut self, lease: StoreLease, epoch: Epoch, valid_from: Timestamp) {
        self.state = State::Held { lease, epoch, valid_from, renewing: None };
    }

    fn back_off(&mut self, now: Timestamp) {
        self.state = State::Idle { retry_at: now + self.config.retry_every + self.jitter };
    }

    /// The value that marks this try: `node incarnation try`.
    fn value(&self) -> String {
        format!("{} {} {}", self.node, self.incarnation, self.tries)
    }
}

/// The holder named by the value of an authority key.
pub fn holder_of(value: &str) -> Option<NodeId> {
    value.split(' ').next().filter(|name| !name.is_empty()).map(NodeId::new)
}
