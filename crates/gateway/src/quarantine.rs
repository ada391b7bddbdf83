//! Keeps the requests under which runners ended in the store, and takes in other nodes' words on them.
//!
//! The store is what lasts: it outlives every node, and reaches nodes that cannot reach each other.
//! Words are sooner there. What is counted and when a request reaches no runner any more is decided in
//! [`pitchstall_serving::quarantine`]; the store is followed by [`crate::watcher`].

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::quarantine::{Crash, CrashMessage};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Limit of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a call that the store did not take: a small part of the time after which nodes count
/// as in touch with it again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time for which entries of requests that were cleared wait to be removed, so that one call removes many:
/// sound requests lose nothing by it.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_000);
/// Between two looks for crashes that are to be forgotten: they are kept for a day.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Takes in another node's word.
pub fn on_message(node: &Node, message: CrashMessage) {
    let now_us = node.now_us();
    match message {
        CrashMessage::Ended { runner, requests } => {
            for request in requests {
                let crash = Crash { request, runner: runner.clone() };
                let change =
                    node.quarantine.borrow_mut().on_reported(&crash, node.wall_ms(), now_us);
                node.log_crash(&crash, change, "told");
            }
            node.quarantine_changed.notify_one();
        }
        CrashMessage::Cleared { request } => {
            node.quarantine.borrow_mut().on_cleared_by_peer(request);
        }
    }
}

/// Writes to the store what is to be written, until the task is dropped.
pub async fn persist_crashes(node: Rc<Node>) {
    let mut client = PlatformClient::default();
    let mut remove_at = None;
    loop {
        wait_until_due(&node, &mut remove_at).await;
        if node.authority.fence().is_some() {
            node.quarantine.borrow_mut().schedule_removals(node.wall_ms());
        }
        let is_written = match write_due(&node, &mut client).await {
            true => remove_due(&node, &mut client, &mut remove_at).await,
            false => false,
        };
        if !is_written {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits until something is to be written or removed, or may be. `remove_at` is when what is to be removed
/// now has waited long enough.
async fn wait_until_due(node: &Node, remove_at: &mut Option<Instant>) {
    let (next_us, has_removals) = {
        let quarantine = node.quarantine.borrow();
        (quarantine.next_write_us(), !quarantine.due_removals().is_empty())
    };
    let until_write = next_us.map_or(EXPIRY_CHECK_INTERVAL, |next_us| {
        Duration::from_micros(next_us.saturating_sub(node.now_us()))
    });
    let until_removal = if has_removals {
        let at = *remove_at.get_or_insert_with(|| Instant::now() + REMOVAL_DELAY);
        at.saturating_duration_since(Instant::now())
    } else {
        EXPIRY_CHECK_INTERVAL
    };
    let remaining = until_write.min(until_removal);
    if !remaining.is_zero() {
        // Something else may be due sooner by then, or nothing.
        let _ = timeout(remaining, node.quarantine_changed.notified()).await;
    }
}

/// Writes what is due; returns whether the store has taken it.
async fn write_due(node: &Node, client: &mut PlatformClient) -> bool {
    let crashes = node.quarantine.borrow().due_writes(node.now_us());
    if !crashes.is_empty() {
        if !is_written(node, client, &store::write_crashes(&crashes)).await {
            return false;
        }
        node.quarantine.borrow_mut().on_written(&crashes);
    }
    true
}

/// Removes what has waited long enough; returns whether the store has taken it.
async fn remove_due(
    node: &Node,
    client: &mut PlatformClient,
    remove_at: &mut Option<Instant>,
) -> bool {
    if remove_at.is_none_or(|at| Instant::now() < at) {
        return true;
    }
    let removals = node.quarantine.borrow().due_removals();
    if !removals.is_empty() {
        if !is_written(node, client, &store::remove_crashes(&removals)).await {
            return false;
        }
        node.quarantine.borrow_mut().on_removals_written(&removals);
    }
    *remove_at = None;
    true
}

async fn is_written(node: &Node, client: &mut PlatformClient, call: &PlatformCall) -> bool {
    let response = node.call_store(client, call, STORE_TIMEOUT).await;
    let status = response.map(|response| response.status);
    if status != Some(StoreStatus::Done) {
        log::info!(target: "crash", status:?; "not written");
    }
    status == Some(StoreStatus::Done)
}
