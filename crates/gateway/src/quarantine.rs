//! Writes crashes, and the requests that were in progress at them, to the store, and handles
//! messages of other nodes about them.
//!
//! Crashes in the store outlive every node and reach nodes that cannot reach each other. Messages
//! between nodes are faster. [`pitchstall_serving::quarantine`] decides which crashes count and
//! when a request is quarantined. [`crate::watcher`] watches the entries in the store.

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::crash_messages::{Crash, CrashMessage, SuspectPart};
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::request_identity::Suspect;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a call that the store did not accept. It is much shorter than `bounds.contact_ms`,
/// the fault-free time after which a node counts as in contact.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Delay before the entries of cleared requests are removed, so that one call removes many of them.
/// The delay does not affect these requests.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_000);
/// Maximum delay before a node reports proven parts after another node has reported a crash under them.
const MAX_PROVEN_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks for expired crashes, which are kept for a day.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Handles another node's message about crashed runners or a cleared request.
pub fn on_message(node: &Rc<Node>, message: CrashMessage) {
    match message {
        CrashMessage::Crashed { runner, requests, parts } => {
            let of_part =
                |part: SuspectPart| Suspect { identity: part.identity, depth: Some(part.depth) };
            let requests = requests.into_iter().map(Suspect::request);
            let suspects: Vec<Suspect> = requests.chain(parts.into_iter().map(of_part)).collect();
            on_crash_reported(node, &runner, &suspects);
        }
        CrashMessage::Proven { parts } => node.on_parts_proven(&parts),
        CrashMessage::Cleared { request } => {
            node.quarantine.borrow_mut().on_cleared_by_peer(request);
            node.report_blame("told");
        }
    }
}

fn on_crash_reported(node: &Rc<Node>, runner: &RunnerId, suspects: &[Suspect]) {
    let (at_ms, now_us) = (node.wall_ms(), node.now_us());
    for suspect in suspects {
        let crash = Crash { request: suspect.identity, runner: runner.clone() };
        let was_proven = node.is_proven(suspect);
        let mut quarantine = node.quarantine.borrow_mut();
        quarantine.describe(*suspect, was_proven);
        quarantine.on_reported(&crash, at_ms, now_us);
    }
    node.report_blame("told");
    node.quarantine_changed.notify_one();
    let proven: Vec<Suspect> = suspects.iter().filter(|it| node.is_proven(it)).copied().collect();
    if proven.is_empty() {
        return;
    }
    // Many nodes know the same parts. The first one that reports them spares the others.
    let delay = rand::rng().random_range(Duration::ZERO..MAX_PROVEN_REPORT_DELAY);
    let node = node.clone();
    ntex::rt::spawn(async move {
        sleep(delay).await;
        node.report_proven(&proven);
    });
}

/// Writes pending crashes to the store and removes cleared and expired ones, until the task is
/// dropped.
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

/// Waits until a write or removal is due, or may be because the quarantine has changed. `remove_at`
/// is when the pending removals are due; it is set here when the first one is found.
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
        // The caller checks what is due after either outcome, which may be nothing.
        let _ = timeout(remaining, node.quarantine_changed.notified()).await;
    }
}

/// Writes the crashes that are due. Returns `false` if the store did not accept the call.
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

/// Removes the entries whose delay has passed. Returns `false` if the store did not accept the
/// call.
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
        log::info!(target: "crash", status:?; "crash entries not updated in the store");
    }
    status == Some(StoreStatus::Done)
}
