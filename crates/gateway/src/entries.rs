//! Applies the store's entries to the node's state, and to the replica that is sent to followers.

use crate::node::Node;
use crate::refused_entries::EntryError;
use crate::version_record;
use pitchstall_platform_adapter::documents::{self, ParsedConfiguration, RefusedTenant};
use pitchstall_platform_adapter::store::{self, Item, CONFIGURATION_KEY};
use pitchstall_serving::crash_messages::{Crash, CrashRecord};
use pitchstall_serving::ids::RunnerName;
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_replica::{StoreEntry, StoreUpdate, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use std::collections::HashSet;
use std::rc::Rc;

/// Applies an update from the store or from another node.
pub fn apply_update(node: &Rc<Node>, subject: Subject, update: &StoreUpdate) {
    let era_before = node.store_replicas.borrow().get(subject).known_to().unwrap_or_default().era();
    let is_restored = era_before.is_known() && era_before < update.era;
    node.update_replica(subject, update);
    match subject {
        Subject::Configuration => {
            update.entries.iter().for_each(|entry| apply_configuration(node, entry));
        }
        Subject::Runners if update.is_snapshot => apply_runner_snapshot(node, update),
        Subject::Runners => {
            for entry in &update.entries {
                apply_runner(node, entry, update.revision_of(entry));
            }
        }
        Subject::Crashes if update.is_snapshot => {
            let (versions, crashes): (Vec<_>, Vec<_>) =
                update.entries.iter().partition(|entry| store::is_version_key(&entry.key));
            version_record::on_snapshot(node, update, &versions);
            let crashes: Vec<_> =
                crashes.into_iter().filter_map(|entry| parse_crash(node, entry)).collect();
            match is_restored {
                true => node.on_crashes_restored(&crashes),
                false => node.quarantine.borrow_mut().on_store_snapshot(&crashes),
            }
            node.report_blame("store");
        }
        Subject::Crashes => {
            for entry in &update.entries {
                match store::is_version_key(&entry.key) {
                    true => version_record::on_entry(node, entry, update.revision_of(entry)),
                    false => apply_crash(node, entry),
                }
            }
        }
    }
    node.log_first_readiness();
}

fn apply_configuration(node: &Node, entry: &StoreEntry) {
    if entry.key != CONFIGURATION_KEY {
        return;
    }
    let Some(document) = &entry.document else { return };
    match documents::parse_configuration(document.as_bytes()) {
        Ok(ParsedConfiguration { configuration, refused }) => {
            for RefusedTenant { tenant, cause } in refused {
                let (tenant, error) = (tenant.as_str(), cause.to_string());
                log::error!(target: "configuration", version = configuration.version, tenant, error; "tenant refused");
            }
            node.adopt_configuration(configuration);
        }
        Err(error) => {
            let error = EntryError::InvalidDocument(error.to_string());
            node.on_refused_entry(
                Subject::Configuration.name(),
                &entry.key,
                entry.revision,
                &error,
            );
        }
    }
}

fn apply_runner(node: &Rc<Node>, entry: &StoreEntry, revision: StoreRevision) {
    if let Some(record) = parse_runner_record(node, entry, revision) {
        return node.put_runner(record);
    }
    let Some(name) = documents::parse_runner_key(&entry.key) else { return };
    // An entry that cannot be used has not lapsed, since some program has written it.
    let lapses_until_us = node.lapses_until_us().filter(|_| entry.is_tombstone());
    node.remove_runner(&name, revision, lapses_until_us);
}

/// Applies the entries of all runners. A runner whose entry cannot be used is removed; the other
/// runners are not affected.
fn apply_runner_snapshot(node: &Rc<Node>, update: &StoreUpdate) {
    let records: Vec<RunnerRecord> = update
        .entries
        .iter()
        .filter_map(|entry| parse_runner_record(node, entry, update.revision_of(entry)))
        .collect();
    // All entries have been parsed by now, so this is set if any entry has a start time, whatever
    // their order.
    let entries_have_start_times = node.entries_have_start_times.get();
    let (used, refused): (Vec<_>, Vec<_>) = records
        .into_iter()
        .partition(|record| record.id.started_at_ms().is_some() || !entries_have_start_times);
    let used_names: HashSet<RunnerName> = used.iter().map(|record| record.id.name()).collect();
    for record in refused {
        let name = record.id.name();
        let key = documents::runner_key(&name);
        let revision = record.revision.number();
        node.on_refused_entry(
            Subject::Runners.name(),
            &key,
            revision,
            &EntryError::MissingStartTime,
        );
    }
    node.replace_runners(used, update.known_to(), node.lapses_until_us());
    let present = update.entries.iter().filter(|entry| !entry.is_tombstone());
    for entry in present {
        let name = documents::parse_runner_key(&entry.key);
        if let Some(name) = name.filter(|name| !used_names.contains(name)) {
            node.remove_runner(&name, update.revision_of(entry), None);
        }
    }
}

fn apply_crash(node: &Node, entry: &StoreEntry) {
    if let Some((crash, record)) = parse_crash(node, entry) {
        node.quarantine.borrow_mut().on_stored(&crash, record);
    } else if let Some(crash) = store::parse_crash_key(&entry.key) {
        node.quarantine.borrow_mut().on_removed(&crash);
    }
    node.report_blame("store");
}

/// The crash that an entry describes; `None` if the entry was removed or cannot be parsed.
fn parse_crash(node: &Node, entry: &StoreEntry) -> Option<(Crash, CrashRecord)> {
    let document = entry.document.as_deref()?;
    let error = match (store::parse_crash_key(&entry.key), serde_json::from_str(document)) {
        (Some(crash), Ok(record)) => return Some((crash, record)),
        (None, _) => EntryError::InvalidKey,
        (_, Err(error)) => EntryError::InvalidDocument(error.to_string()),
    };
    node.on_refused_entry(Subject::Crashes.name(), &entry.key, entry.revision, &error);
    None
}

/// The runner that an entry describes; `None` if the entry was removed or cannot be used.
fn parse_runner_record(
    node: &Node,
    entry: &StoreEntry,
    revision: StoreRevision,
) -> Option<RunnerRecord> {
    let document = entry.document.as_deref()?;
    let record = match documents::parse_runner(&entry.key, document.as_bytes(), revision) {
        Ok(record) => record,
        Err(error) => {
            let error = EntryError::InvalidDocument(error.to_string());
            node.on_refused_entry(Subject::Runners.name(), &entry.key, entry.revision, &error);
            return None;
        }
    };
    if record.id.started_at_ms().is_some() {
        node.entries_have_start_times.set(true);
    } else if node.entries_have_start_times.get() {
        let error = EntryError::MissingStartTime;
        node.on_refused_entry(Subject::Runners.name(), &entry.key, entry.revision, &error);
        return None;
    }
    Some(record)
}

/// Converts the store's items to entries, in the form in which they are sent to followers. An
/// invalid configuration is left out: the version before it stays in force, at this node and at its
/// followers.
pub fn to_entries(node: &Node, subject: Subject, items: Vec<Item>) -> Vec<StoreEntry> {
    let entry = |item: Item| {
        let Item { key, value, revision } = item;
        let document = match value.map(|value| to_document(subject, value)).transpose() {
            Ok(document) => document,
            Err(error) => {
                node.on_refused_entry(subject.name(), &key, revision, &error);
                if subject == Subject::Configuration {
                    return None;
                }
                Some(String::new())
            }
        };
        Some(StoreEntry { key, document, revision })
    };
    items.into_iter().filter_map(entry).collect()
}

/// Converts a value to a document. API keys in a configuration are hidden from here on.
fn to_document(subject: Subject, value: Vec<u8>) -> Result<String, EntryError> {
    match subject {
        Subject::Configuration => documents::digest_api_keys(&value)
            .map_err(|error| EntryError::InvalidDocument(error.to_string())),
        Subject::Runners | Subject::Crashes => {
            String::from_utf8(value).map_err(|_| EntryError::NotUtf8)
        }
    }
}
