//! Takes the store's entries into what the node believes, and into the copy that it hands on.

use crate::node::Node;
use pitchstall_platform_adapter::documents::{self, ReadConfiguration, RefusedTenant};
use pitchstall_platform_adapter::store::{self, CONFIGURATION_KEY};
use pitchstall_serving::quarantine::{Crash, CrashRecord};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_copy::{StoreEntry, StoreUpdate, Subject};
use std::rc::Rc;

/// Takes in an update, from the store or from another node.
pub fn take_update(node: &Rc<Node>, subject: Subject, update: &StoreUpdate) {
    node.update_copy(subject, update);
    match subject {
        Subject::Configuration => {
            update.entries.iter().for_each(|entry| take_configuration(node, entry));
        }
        Subject::Runners if update.whole => {
            let records = update.entries.iter().filter_map(record_of).collect();
            node.replace_runners(records, update.known_to, node.lapses_until_us());
        }
        Subject::Runners => update.entries.iter().for_each(|entry| take_runner(node, entry)),
        Subject::Crashes if update.whole => {
            let crashes: Vec<_> = update.entries.iter().filter_map(crash_of).collect();
            node.quarantine.borrow_mut().on_all_stored(&crashes);
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
        Ok(ReadConfiguration { configuration, refused }) => {
            for RefusedTenant { tenant, cause } in refused {
                let (tenant, error) = (tenant.as_str(), cause.to_string());
                log::error!(target: "configuration", version = configuration.version, tenant, error; "tenant refused");
            }
            node.adopt_configuration(configuration);
        }
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "configuration", revision = entry.revision, error; "unreadable");
        }
    }
}

fn take_runner(node: &Rc<Node>, entry: &StoreEntry) {
    match (&entry.document, documents::runner_of_key(&entry.key)) {
        (Some(_), _) => {
            if let Some(record) = record_of(entry) {
                node.put_runner(record);
            }
        }
        (None, Some(id)) => node.remove_runner(&id, entry.revision, node.lapses_until_us()),
        (None, None) => {}
    }
}

fn take_end(node: &Node, entry: &StoreEntry) {
    if let Some((crash, record)) = crash_of(entry) {
        let change = node.quarantine.borrow_mut().on_stored(&crash, record);
        node.log_crash(&crash, change, "store");
    } else if let Some(crash) = store::crash_of_key(&entry.key) {
        node.quarantine.borrow_mut().on_removed(&crash);
    }
}

/// The crash that an entry tells; `None` if it was removed or cannot be read.
fn crash_of(entry: &StoreEntry) -> Option<(Crash, CrashRecord)> {
    let document = entry.document.as_deref()?;
    match (store::crash_of_key(&entry.key), serde_json::from_str(document)) {
        (Some(crash), Ok(record)) => Some((crash, record)),
        (_, record) => {
            let error = record.err().map_or("its key".to_owned(), |error| error.to_string());
            log::warn!(target: "crash", key = entry.key.as_str(), error; "unreadable entry");
            None
        }
    }
}

fn record_of(entry: &StoreEntry) -> Option<RunnerRecord> {
    let document = entry.document.as_deref()?;
    match documents::parse_runner(&entry.key, document.as_bytes(), entry.revision) {
        Ok(record) => Some(record),
        Err(error) => {
            let (key, error) = (entry.key.as_str(), error.to_string());
            log::warn!(target: "fleet", key, error; "unreadable entry");
            None
        }
    }
}
