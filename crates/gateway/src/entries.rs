//! Takes the store's entries into what the node believes, and into the copy that it hands on.

use crate::node::Node;
use crate::refused_entries::EntryFault;
use pitchstall_platform_adapter::documents::{self, ParsedConfiguration, RefusedTenant};
use pitchstall_platform_adapter::store::{self, Item, CONFIGURATION_KEY};
use pitchstall_serving::ids::RunnerName;
use pitchstall_serving::quarantine::{Crash, CrashRecord};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_replica::{StoreEntry, StoreUpdate, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use std::collections::HashSet;
use std::rc::Rc;

/// Takes in an update, from the store or from another node.
pub fn take_update(node: &Rc<Node>, subject: Subject, update: &StoreUpdate) {
    let era_before = node.copies.borrow().get(subject).known_to().unwrap_or_default().era();
    let came_back = era_before.is_known() && era_before < update.era;
    node.update_copy(subject, update);
    match subject {
        Subject::Configuration => {
            update.entries.iter().for_each(|entry| take_configuration(node, entry));
        }
        Subject::Runners if update.is_snapshot => take_all_runners(node, update),
        Subject::Runners => {
            for entry in &update.entries {
                take_runner(node, entry, update.revision_of(entry));
            }
        }
        Subject::Crashes if update.is_snapshot => {
            let crashes: Vec<_> =
                update.entries.iter().filter_map(|entry| crash_of(node, entry)).collect();
            match came_back {
                true => node.on_crashes_came_back(&crashes),
                false => node.quarantine.borrow_mut().on_store_snapshot(&crashes),
            }
        }
        Subject::Crashes => update.entries.iter().for_each(|entry| take_end(node, entry)),
    }
}

fn take_configuration(node: &Node, entry: &StoreEntry) {
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
            let fault = EntryFault::Document(error.to_string());
            node.on_refused_entry(
                Subject::Configuration.name(),
                &entry.key,
                entry.revision,
                &fault,
            );
        }
    }
}

fn take_runner(node: &Rc<Node>, entry: &StoreEntry, revision: StoreRevision) {
    if let Some(record) = read_record(node, entry, revision) {
        return node.put_runner(record);
    }
    let Some(name) = documents::parse_runner_key(&entry.key) else { return };
    // An entry that cannot be used has not lapsed: somebody has written it.
    let lapses_until_us = node.lapses_until_us().filter(|_| entry.is_tombstone());
    node.remove_runner(&name, revision, lapses_until_us);
}

/// All runners' entries. Those that cannot be used name no runner, and cost the others nothing.
fn take_all_runners(node: &Rc<Node>, update: &StoreUpdate) {
    let records: Vec<RunnerRecord> = update
        .entries
        .iter()
        .filter_map(|entry| read_record(node, entry, update.revision_of(entry)))
        .collect();
    // Known now if any of them tells it, also one that comes after those that do not.
    let tells_starts = node.tells_starts.get();
    let (used, refused): (Vec<_>, Vec<_>) = records
        .into_iter()
        .partition(|record| record.id.started_at_ms().is_some() || !tells_starts);
    let used_names: HashSet<RunnerName> = used.iter().map(|record| record.id.name()).collect();
    for record in refused {
        let name = record.id.name();
        let key = documents::runner_key(&name);
        let revision = record.revision.number();
        node.on_refused_entry(Subject::Runners.name(), &key, revision, &EntryFault::NoStart);
    }
    node.replace_runners(used, update.known_to(), node.lapses_until_us());
    let unusable = update.entries.iter().filter(|entry| !entry.is_tombstone());
    for entry in unusable {
        let name = documents::parse_runner_key(&entry.key);
        if let Some(name) = name.filter(|name| !used_names.contains(name)) {
            node.remove_runner(&name, update.revision_of(entry), None);
        }
    }
}

fn take_end(node: &Node, entry: &StoreEntry) {
    if let Some((crash, record)) = crash_of(node, entry) {
        let change = node.quarantine.borrow_mut().on_stored(&crash, record);
        node.log_crash(&crash, change, "store");
    } else if let Some(crash) = store::parse_crash_key(&entry.key) {
        node.quarantine.borrow_mut().on_removed(&crash);
    }
}

/// The crash that an entry tells; `None` if it was removed or cannot be read.
fn crash_of(node: &Node, entry: &StoreEntry) -> Option<(Crash, CrashRecord)> {
    let document = entry.document.as_deref()?;
    let fault = match (store::parse_crash_key(&entry.key), serde_json::from_str(document)) {
        (Some(crash), Ok(record)) => return Some((crash, record)),
        (None, _) => EntryFault::Key,
        (_, Err(error)) => EntryFault::Document(error.to_string()),
    };
    node.on_refused_entry(Subject::Crashes.name(), &entry.key, entry.revision, &fault);
    None
}

/// The runner that an entry names; `None` if it was removed or names none.
fn read_record(node: &Node, entry: &StoreEntry, revision: StoreRevision) -> Option<RunnerRecord> {
    let document = entry.document.as_deref()?;
    let record = match documents::parse_runner(&entry.key, document.as_bytes(), revision) {
        Ok(record) => record,
        Err(error) => {
            let fault = EntryFault::Document(error.to_string());
            node.on_refused_entry(Subject::Runners.name(), &entry.key, entry.revision, &fault);
            return None;
        }
    };
    if record.id.started_at_ms().is_some() {
        node.tells_starts.set(true);
    } else if node.tells_starts.get() {
        let fault = EntryFault::NoStart;
        node.on_refused_entry(Subject::Runners.name(), &entry.key, entry.revision, &fault);
        return None;
    }
    Some(record)
}

/// The store's items as entries, in the form in which they are handed on to other nodes. A configuration
/// that cannot be read is left out: the one before it stays in force, here and where it is handed on.
pub fn entries_of(node: &Node, subject: Subject, items: Vec<Item>) -> Vec<StoreEntry> {
    let entry = |item: Item| {
        let Item { key, value, revision } = item;
        let document = match value.map(|value| document_of(subject, value)).transpose() {
            Ok(document) => document,
            Err(fault) => {
                node.on_refused_entry(subject.name(), &key, revision, &fault);
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

/// A value as a document; keys in a configuration are hidden from here on.
fn document_of(subject: Subject, value: Vec<u8>) -> Result<String, EntryFault> {
    match subject {
        Subject::Configuration => documents::digest_api_keys(&value)
            .map_err(|error| EntryFault::Document(error.to_string())),
        Subject::Runners | Subject::Crashes => {
            String::from_utf8(value).map_err(|_| EntryFault::NoText)
        }
    }
}
