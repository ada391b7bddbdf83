//! The node's replicas of the store, and what other nodes report about theirs.

use super::Node;
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::store_responses::StoreResponse;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store;
use pitchstall_serving::digest::Digest;
use pitchstall_serving::store_replica::{StoreUpdate, Subject};
use pitchstall_serving::store_revision::RevisionNumber;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Makes a call to the store. Returns `None` if the call failed, the head of its response did
    /// not arrive within `limit`, or the settings name another store by now.
    pub async fn call_store(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
        limit: Duration,
    ) -> Option<StoreResponse> {
        self.metrics.store_calls.inc();
        let address = self.settings().store.address;
        match client.call(address, call, limit).await {
            Ok(response) => {
                let era = self.on_era_reported(address, response.era)?;
                Some(StoreResponse {
                    status: store::parse_status(response.status),
                    era,
                    body: response.body,
                })
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                let (target, error) = (call.target.as_str(), error.to_string());
                log::info!(target: "store", target, error; "call failed");
                None
            }
        }
    }

    /// Records whether an attempt to read the store's list of nodes has succeeded.
    pub fn on_nodes_listed(&self, is_complete: bool) {
        self.has_failed_listing.set(!is_complete);
        self.has_node_list.set(self.has_node_list.get() || is_complete);
    }

    /// Whether the store's list of nodes has ever been received.
    pub fn has_listed_nodes(&self) -> bool {
        self.has_node_list.get()
    }

    /// Whether the store's list of crashes has ever been received. Until then it is not known which requests are
    /// quarantined.
    pub fn has_listed_crashes(&self) -> bool {
        self.has_crash_list.get()
    }

    /// Whether this node will soon have a replica of a subject: it is reading all entries from the
    /// store, or is still reading the list of nodes, by which it knows whether it has to.
    pub fn is_obtaining_replica(&self, subject: Subject) -> bool {
        let is_starting = || !self.has_listed_nodes() && !self.has_failed_listing.get();
        self.store_replicas.borrow().get(subject).is_obtaining() || is_starting()
    }

    /// Applies an update to the replica that is served to followers.
    pub fn update_replica(&self, subject: Subject, update: &StoreUpdate) {
        self.store_replicas.borrow_mut().get_mut(subject).apply(update);
        if subject == Subject::Crashes {
            self.has_crash_list.set(true);
        }
        self.store_replica_changed.notify_waiters();
    }

    /// Logs and counts an entry that another program wrote to the store and that cannot be used,
    /// once per revision.
    pub fn on_refused_entry(
        &self,
        subject: &'static str,
        key: &str,
        revision: RevisionNumber,
        error: &EntryError,
    ) {
        if self.refused_entries.on_refused(subject, key, revision, error) {
            self.metrics.on_refused_entry(subject);
        }
    }

    /// Applies another node's digest, which has come from the address `from`: its reports on role changes, runners' limits and the store,
    /// and its clock.
    pub fn on_peer_digest(&self, digest: &Digest, from: SocketAddr) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_role_transitions_reported(&digest.changing, now_us);
        digest.limits.iter().for_each(|report| self.on_limit_message(report));
        self.note_reporter(digest, from);
        self.freshness.borrow_mut().on_report(&digest.store, &self.store_eras.borrow(), now_us);
        self.wall_clock.borrow_mut().on_peer_clock(&digest.node, digest.wall_ms, now_us);
    }

    /// Remembers the node that reports a change which this node does not know, to be queried if the
    /// store does not deliver it.
    fn note_reporter(&self, digest: &Digest, from: SocketAddr) {
        for subject in Subject::ALL {
            let reported = digest.store.replica(subject).changed_at(&self.store_eras.borrow());
            let known_to = self.store_replicas.borrow().get(subject).known_to();
            if reported > known_to.unwrap_or_default() {
                self.reporters.borrow_mut().insert(subject.name(), from);
            }
        }
    }

    /// Whether a node has reported a later change of a subject and was not queried since.
    pub fn has_reporter(&self, subject: Subject) -> bool {
        self.reporters.borrow().contains_key(subject.name())
    }

    /// Takes the address of the node that last reported a later change of a subject.
    pub fn take_reporter(&self, subject: Subject) -> Option<SocketAddr> {
        self.reporters.borrow_mut().remove(subject.name())
    }
}
