//! Keeps the record of the software versions at which streams may have begun up to date in the store, and tells how far a
//! node knows them. [`pitchstall_serving::version_record`] decides what is written when.

use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::replica_limits::stale_after;
use crate::stream_origins;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::ids::{ServiceName, SoftwareVersion};
use pitchstall_serving::store_replica::{StoreEntry, StoreUpdate, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use pitchstall_serving::stream_origin::StreamOrigin;
use pitchstall_serving::version_record::{recorded_origins, RecordChange, VersionEntry};
use pitchstall_serving::version_view::RecordedOrigins;
use rand::RngExt;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval at which the record is checked while nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time until a write is visible to all nodes. A node checks again after it.
const WRITE_VISIBLE_AFTER: Duration = Duration::from_millis(300);
/// Delay of the write of each store reader after the one of the reader that ranks before it, so that one of them writes.
const DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// Delay of the last store reader at most.
const MAX_READER_DELAY: Duration = Duration::from_millis(1_500);
/// Delay of the other nodes, in milliseconds, which write only if no store reader can.
const FOLLOWER_DELAY_MS: std::ops::Range<u64> = 3_000..6_000;
/// Maximum time that a resumed stream waits for a read of the record.
const MAX_READ_TIME: Duration = Duration::from_millis(1_600);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Name of the duty, by which the store readers are ranked.
const DUTY: &str = "versions";
/// What has to be known of the store to know the versions.
const SUBJECTS: [Subject; 2] = [Subject::Runners, Subject::Crashes];

/// Applies the entries of a complete read of the store.
pub fn on_snapshot(node: &Node, update: &StoreUpdate, entries: &[&StoreEntry]) {
    let items = entries.iter().filter_map(|entry| {
        let version = parse(node, entry)?;
        Some((entry.key.clone(), version, update.revision_of(entry)))
    });
    let items = items.collect();
    node.version_record.borrow_mut().on_snapshot(items, update.era, node.now_us());
    on_record_changed(node);
}

/// Applies an entry that was written or removed.
pub fn on_entry(node: &Node, entry: &StoreEntry, revision: StoreRevision) {
    let key = entry.key.clone();
    match parse(node, entry) {
        Some(version) => {
            let VersionEntry { service, version: name, state, .. } = &version;
            log::info!(target: "stream", service = service.as_str(), version = name.as_str(), state:?, revision = revision.to_string(); "version recorded");
            node.version_record.borrow_mut().on_written(key, version, revision, node.now_us());
        }
        // An entry that cannot be used counts on as it was.
        None if !entry.is_tombstone() => return,
        None => node.version_record.borrow_mut().on_removed(&key),
    }
    on_record_changed(node);
}

fn on_record_changed(node: &Node) {
    stream_origins::on_fleet_changed(node);
    node.versions_changed.notify_one();
    // Requests may wait for a version at which streams may begin.
    node.fleet_changed.notify_waiters();
}

/// The version that an entry describes; `None` if it was removed or cannot be parsed.
fn parse(node: &Node, entry: &StoreEntry) -> Option<VersionEntry> {
    let document = entry.document.as_deref()?;
    match serde_json::from_str(document) {
        Ok(version) => Some(version),
        Err(error) => {
            let error = EntryError::InvalidDocument(error.to_string());
            let subject = Subject::Crashes.name();
            node.on_refused_entry(subject, &entry.key, entry.revision, &error);
            None
        }
    }
}

/// The versions of a service at which no stream may begin yet, though they have runners.
pub fn unrecorded_versions(node: &Node, service: &ServiceName) -> Vec<SoftwareVersion> {
    let fleet = node.fleet.borrow();
    let record = node.version_record.borrow();
    let present = fleet.versions().runners_by_version().filter(|it| it.0 == service);
    let unrecorded = present.filter(|(service, version, _)| !record.may_begin(service, version));
    unrecorded.map(|(_, version, _)| version.clone()).collect()
}

/// The origins of resumable streams that count at this node: they have an entry or runners, or had any recently. Streams of
/// all services count together, since a route may be split over several, or have been moved from one to another.
pub fn counted_origins(node: &Node) -> BTreeSet<StreamOrigin> {
    let mut origins = node.version_record.borrow().origins();
    for service in node.services_with_resumable_streams() {
        origins.extend(counted_origins_of(node, &service));
    }
    origins
}

/// The origins of a service's streams by its runners: those of the versions that have any, or had any recently.
pub fn counted_origins_of(node: &Node, service: &ServiceName) -> BTreeSet<StreamOrigin> {
    let now_us = node.now_us();
    let versions = node.fleet.borrow_mut().versions_mut().counted(service, now_us);
    let origin = |version| StreamOrigin { service: service.clone(), version };
    versions.into_iter().map(origin).collect()
}

/// Reads from the store which origins are recorded. `None` if the store does not respond in time.
pub async fn read_origins(node: &Rc<Node>) -> Option<RecordedOrigins> {
    let entries = timeout(MAX_READ_TIME, node.version_reads.read(node)).await.ok().flatten()?;
    Some(recorded_origins(&entries, node.store_era()))
}

/// Whether the store has confirmed a moment ago that this node knows the present runners and entries.
pub fn knows_present(node: &Node) -> bool {
    SUBJECTS.into_iter().all(|subject| {
        let is_behind = node.freshness.borrow().replica(subject).is_behind(node.now_us());
        !is_behind && is_confirmed_within(node, subject, stale_after(node, subject))
    })
}

/// Whether the node has a replica of the store's current era, and the store has confirmed it within this time.
fn is_confirmed_within(node: &Node, subject: Subject, time: Duration) -> bool {
    let age_ms = node.freshness.borrow().replica(subject).confirmed_age_ms(node.now_us());
    let is_recent = age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) <= time);
    is_recent && has_replica_of_current_era(node, subject)
}

fn has_replica_of_current_era(node: &Node, subject: Subject) -> bool {
    let known_to = node.store_replicas.borrow().get(subject).known_to();
    known_to.is_some_and(|at| at.era() == node.store_era())
}

/// Writes what is due of the record, until the task is dropped.
pub async fn record_versions(node: Rc<Node>) {
    let mut client = PlatformClient::default();
    loop {
        // The record is checked after either outcome.
        let _ = timeout(CHECK_INTERVAL, node.versions_changed.notified()).await;
        stream_origins::on_confirmation_checked(&node, knows_present(&node));
        if !due_puts(&node).is_empty() {
            sleep(write_delay(&node)).await;
            // Another node may have written meanwhile.
            write_all(&node, &mut client, due_puts(&node)).await;
        }
        write_all(&node, &mut client, due_ends(&node)).await;
    }
}

fn due_puts(node: &Node) -> Vec<RecordChange> {
    if !has_replica_of_current_era(node, Subject::Crashes) {
        return Vec::new();
    }
    let services = node.services_with_resumable_streams();
    let mut fleet = node.fleet.borrow_mut();
    let mut record = node.version_record.borrow_mut();
    record.due_puts(&services, fleet.versions_mut(), node.store_era(), node.now_us())
}

/// One node ends entries, and only while it knows the present runners and entries.
fn due_ends(node: &Node) -> Vec<RecordChange> {
    if node.authority.fence().is_none() || node.configuration().is_none() || !knows_present(node) {
        return Vec::new();
    }
    let services = node.services_with_resumable_streams();
    let mut fleet = node.fleet.borrow_mut();
    let record = node.version_record.borrow();
    record.due_ends(&services, fleet.versions_mut(), node.now_us())
}

fn write_delay(node: &Node) -> Duration {
    match node.members.borrow().own_rank_among_store_readers(DUTY) {
        Some(rank) => {
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            DELAY_PER_RANK.saturating_mul(rank).min(MAX_READER_DELAY)
        }
        None => Duration::from_millis(rand::rng().random_range(FOLLOWER_DELAY_MS)),
    }
}

async fn write_all(node: &Node, client: &mut PlatformClient, changes: Vec<RecordChange>) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let call = call_of(&change);
        let response = node.call_store(client, &call, STORE_TIMEOUT).await;
        let status = response.map(|response| response.status);
        if status != Some(StoreStatus::Done) {
            log::info!(target: "stream", change:?, status:?; "record of versions not updated in the store");
        }
    }
    sleep(WRITE_VISIBLE_AFTER).await;
}

fn call_of(change: &RecordChange) -> PlatformCall {
    match change {
        RecordChange::Put(entries) => store::put_versions(entries),
        RecordChange::Retire(entry, revision) => store::replace_version(entry, revision.number()),
        RecordChange::Remove(service, version, revision) => {
            store::remove_version(service, version, revision.number())
        }
    }
}
