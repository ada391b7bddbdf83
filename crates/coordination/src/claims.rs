//! At most once: claims on idempotency keys, kept at the store.
//!
//! A request that may not be repeated is dispatched only after its claim stands at the
//! store: created there by a transaction that requires the key to be absent. Whoever finds
//! another's claim never runs the request; it asks the claim's node what became of it, and
//! if that node cannot be asked the answer is `unknown`.
//!
//! Claims go to the store in groups, one transaction at a time for a node: while one is under
//! way the next group gathers, so a slower store gets larger groups, not more requests.
//! Each claim carries an id unique to the try; after a lost answer, reading the key decides.

use crate::placement::stable_hash;
use crate::time::Timestamp;
use pitchstall_protocol::caller::CompletionRequest;
use pitchstall_protocol::ids::{ClaimId, NodeId};
use pitchstall_protocol::store::{
    Compare, StoreError, StoreLease, StoreReply, StoreRequest, StoredValue, Write,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Most claims in one transaction.
    pub group_limit: usize,
    /// Least time between the starts of two transactions.
    pub group_every: Duration,
    /// Time after which a request to the store without an answer is given up.
    pub request_timeout: Duration,
    /// Wait after the store refused.
    pub retry_every: Duration,
    /// How long claims are kept at the store; whole seconds.
    pub retention: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            group_limit: 64,
            group_every: Duration::from_millis(20),
            request_timeout: Duration::from_millis(1_000),
            retry_every: Duration::from_millis(250),
            retention: Duration::from_secs(24 * 3_600),
        }
    }
}

/// What stands at the store under a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim.
    pub claim: ClaimId,
    /// The node that made it, the only one that may dispatch.
    pub node: NodeId,
    /// Digest of the request's body, to refuse the key for another body.
    pub body: u64,
}

/// The store's key for a request's idempotency key; `None` if it has none.
pub fn claim_key(request: &CompletionRequest) -> Option<String> {
    let key = request.idempotency_key.as_ref()?;
    Some(format!("pitchstall/claims/{}/{}/{key}", request.tenant, request.service))
}

/// Digest of what must be the same when a key is used again.
pub fn body_digest(request: &CompletionRequest) -> u64 {
    stable_hash(&(&request.service, &request.prompt, request.max_tokens))
}

/// What a claim has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It stands, and it is ours: the request may be dispatched, once.
    Won,
    /// Another's stands.
    Taken {
        /// The other one.
        record: ClaimRecord,
        /// The store's revision of it, to replace it if it was abandoned.
        mod_revision: u64,
    },
    /// The store could not be asked, and nothing was written for this claim.
    Unavailable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    key: String,
    record: ClaimRecord,
    /// The revision to replace; zero: the key must be absent.
    replaces: u64,
    /// Whether a write of this claim may have reached the store.
    may_stand: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Granting,
    Writing(Vec<Pending>),
    Reading(Vec<Pending>),
}

/// Sends claims to the store in groups.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    config: ClaimConfig,
    node: NodeId,
    queue: VecDeque<Pending>,
    phase: Option<(Phase, Timestamp)>,
    next_start: Timestamp,
    retention: Option<(StoreLease, Timestamp)>,
}

/// Outcomes by claim.
pub type ClaimOutcomes = Vec<(ClaimId, ClaimOutcome)>;

impl ClaimWriter {
    /// A writer with nothing to write.
    pub fn new(config: ClaimConfig, node: NodeId) -> Self {
        Self {
            config,
            node,
            queue: VecDeque::new(),
            phase: None,
            next_start: Timestamp(0),
            retention: None,
        }
    }

    /// Asks for a claim. `replaces`: the store's revision of an abandoned claim to replace.
    pub fn submit(&mut self, key: String, claim: ClaimId, body: u64, replaces: Option<u64>) {
        let record = ClaimRecord { claim, node: self.node.clone(), body };
        let replaces = replaces.unwrap_or(0);
        self.queue.push_back(Pending { key, record, replaces, may_stand: false });
    }

    /// Whether the claim may have reached the store.
    pub fn may_stand(&self, claim: &ClaimId) -> bool {
        let under_way = match &self.phase {
            Some((Phase::Writing(group) | Phase::Reading(group), _)) => group.as_slice(),
            _ => &[],
        };
        let queued = self.queue.iter().filter(|pending| pending.may_stand);
        under_way.iter().chain(queued).any(|pending| pending.record.claim == *claim)
    }

    /// Forgets a claim that is still waiting. One under way goes on; its owner must not
    /// dispatch when it is won.
    pub fn withdraw(&mut self, claim: &ClaimId) {
        self.queue.retain(|pending| pending.record.claim != *claim);
    }

    /// The next request to the store, if one is due.
    pub fn poll(&mut self, now: Timestamp) -> Option<StoreRequest> {
        if let Some((_, sent)) = &self.phase {
            if now.since(*sent) < self.config.request_timeout {
                return None;
            }
            self.on_lost(now);
        }
        if self.queue.is_empty() || now < self.next_start {
            return None;
        }
        // Claims of one group stand under a lease with at least half of the retention left.
        let fresh =
            self.retention.filter(|(_, granted)| now.since(*granted) < self.config.retention / 2);
        let Some((lease, _)) = fresh else {
            self.phase = Some((Phase::Granting, now));
            return Some(StoreRequest::Grant { ttl_s: self.config.retention.as_secs() });
        };
        self.start_group(now, lease)
    }

    fn start_group(&mut self, now: Timestamp, lease: StoreLease) -> Option<StoreRequest> {
        let group = self.take_group();
        self.next_start = now + self.config.group_every;
        // Some of them may stand already: writing again would fail, so read first.
        if group.iter().any(|pending| pending.may_stand) {
            return Some(self.read(now, group));
        }
        let compare = group
            .iter()
            .map(|pending| Compare { key: pending.key.clone(), mod_revision: pending.replaces });
        let writes = group.iter().map(|pending| Write {
            key: pending.key.clone(),
            value: serde_json::to_string(&pending.record).ok(),
            lease: Some(lease),
        });
        let request =
            StoreRequest::Transaction { compare: compare.collect(), writes: writes.collect() };
        self.phase = Some((Phase::Writing(group), now));
        Some(request)
    }

    /// Takes claims with distinct keys from the front of the queue. Claims that may stand
    /// are grouped apart from those that surely do not.
    fn take_group(&mut self) -> Vec<Pending> {
        let mut group: Vec<Pending> = Vec::new();
        let mut rest = VecDeque::new();
        while let Some(pending) = self.queue.pop_front() {
            let fits = group.len() < self.config.group_limit
                && group.iter().all(|other| other.key != pending.key)
                && group.first().is_none_or(|first| first.may_stand == pending.may_stand);
            if fits {
                group.push(pending);
            } else {
                rest.push_back(pending);
            }
        }
        self.queue = rest;
        group
    }

    fn read(&mut self, now: Timestamp, group: Vec<Pending>) -> StoreRequest {
        let keys = group.iter().map(|pending| pending.key.clone()).collect();
        self.phase = Some((Phase::Reading(group), now));
        StoreRequest::Get { keys }
    }

    fn on_lost(&mut self, now: Timestamp) {
        match self.phase.take() {
            Some((Phase::Writing(group), _)) => self.requeue(group, true),
            Some((Phase::Reading(group), _)) => self.requeue(group, false),
            Some((Phase::Granting, _)) | None => {}
        }
        self.next_start = now + self.config.retry_every;
    }

    fn requeue(&mut self, group: Vec<Pending>, may_stand: bool) {
        for mut pending in group.into_iter().rev() {
            pending.may_stand |= may_stand;
            self.queue.push_front(pending);
        }
    }

    /// Takes the answer to the request sent at `sent`, and says which claims it decided and
    /// what to send next. Answers to requests given up before are ignored.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        reply: Result<StoreReply, StoreError>,
    ) -> (ClaimOutcomes, Option<StoreRequest>) {
        let Some((phase, _)) = self.phase.take_if(|(_, awaited)| *awaited == sent) else {
            return (Vec::new(), None);
        };
        match (phase, reply) {
            (Phase::Granting, Ok(StoreReply::Granted { lease })) => {
                self.retention = Some((lease, now));
                (Vec::new(), self.poll(now))
            }
            (Phase::Writing(group), Ok(StoreReply::Transaction { succeeded: true, .. })) => {
                let won = group.into_iter().map(|it| (it.record.claim, ClaimOutcome::Won));
                (won.collect(), None)
            }
            (Phase::Writing(group), Ok(_)) => (Vec::new(), Some(self.read(now, group))),
            (Phase::Writing(mut group), Err(StoreError::OutcomeUnknown)) => {
                group.iter_mut().for_each(|pending| pending.may_stand = true);
                (Vec::new(), Some(self.read(now, group)))
            }
            (Phase::Reading(group), Ok(StoreReply::Values { values, .. })) => {
                (self.decide_by_reading(group, &values), None)
            }
            (Phase::Writing(group) | Phase::Reading(group), _) => {
                self.next_start = now + self.config.retry_every;
                (self.give_up_unless_standing(group), None)
            }
            (Phase::Granting, _) => {
                self.next_start = now + self.config.retry_every;
                let queued = std::mem::take(&mut self.queue).into();
                (self.give_up_unless_standing(queued), None)
            }
        }
    }

    /// The store refused for sure: claims that were never written are told so at once.
    fn give_up_unless_standing(&mut self, group: Vec<Pending>) -> ClaimOutcomes {
        let (standing, clean): (Vec<_>, Vec<_>) =
            group.into_iter().partition(|pending| pending.may_stand);
        self.requeue(standing, true);
        clean.into_iter().map(|it| (it.record.claim, ClaimOutcome::Unavailable)).collect()
    }

    fn decide_by_reading(&mut self, group: Vec<Pending>, values: &[StoredValue]) -> ClaimOutcomes {
        let by_key: BTreeMap<&str, &StoredValue> =
            values.iter().map(|value| (value.key.as_str(), value)).collect();
        let mut outcomes = Vec::new();
        for pending in group {
            let found = by_key.get(pending.key.as_str()).and_then(|value| {
                let record = serde_json::from_str::<ClaimRecord>(&value.value).ok()?;
                Some((record, value.mod_revision))
            });
            match found {
                Some((record, _)) if record.claim == pending.record.claim => {
                    outcomes.push((record.claim, ClaimOutcome::Won));
                }
                Some((record, mod_revision)) if mod_revision != pending.replaces => {
                    let outcome = ClaimOutcome::Taken { record, mod_revision };
                    outcomes.push((pending.record.claim, outcome));
                }
                // Still as it was before our write, which may yet arrive. Writing again is
                // harmless: at most one of the two passes its comparison.
                _ => self.queue.push_back(Pending { may_stand: false, ..pending }),
            }
        }
        outcomes
    }
}
