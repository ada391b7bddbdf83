//! Checks whether silent runners can be reached, and whether lost links to runners work again.

use crate::clock::Instant;
use crate::http::Upstream;
use crate::node::{LinkLoss, Node, ProbeVerdict, Unreachability};
use crate::runner_connection::{
    self, loss_of, open_responding_tunnel, peer_name, unreachability, Verification,
};
use crate::tunnel::client::{self, TunnelOutcome};
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::lost_links::LinkProbe;
use pitchstall_serving::runner::{Runner, RunnerRecord};
use rand::seq::IteratorRandom;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time for opening a connection to a runner. Runners are tens of milliseconds away at most. One that takes
/// longer is overloaded, down or cut off, and since nothing has been sent, another runner may be tried.
pub const RUNNER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A probe that took more than this multiple of its timeout was delayed by the node itself, so its failure says
/// nothing about the runner.
const NODE_STALL_FACTOR: u32 = 2;
/// Time without data from any runner, though requests wait, after which the links of this node are in doubt.
const ALL_SILENT_TIMEOUT: Duration = Duration::from_millis(400);
const ALL_SILENT_TIMEOUT_US: u64 = ALL_SILENT_TIMEOUT.as_micros() as u64;
/// Time without data from one runner after which the link to it is in doubt, in microseconds.
const SILENT_LINK_US: u64 = 1_000_000;
/// Maximum number of other runners that are probed when the link to one is lost.
const MAX_OTHERS_PROBED: usize = 32;
/// Time between two rounds of probing lost links, and the maximum number of probes in a round.
const LOST_LINK_ROUND: Duration = Duration::from_millis(50);
const MAX_PROBES_PER_ROUND: usize = 16;

/// Why a runner is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeCause {
    /// Data has not arrived in time. The runner may be busy.
    Silence,
    /// A connection broke before the runner had sent anything on it.
    BrokenConnection,
    /// The link to another runner is lost.
    LinkInDoubt,
}

/// Checks in the background whether a runner can be reached. Does nothing if data has arrived from the runner since
/// `since_us` (microseconds on the node's clock), if it is already proven that nobody reaches the runner, or if another
/// check is under way. A connection that was opened is added to the pool.
pub fn probe(node: &Rc<Node>, runner: &RunnerId, since_us: u64, cause: ProbeCause) {
    let mut fleet = node.fleet.borrow_mut();
    let is_due = fleet.update_suspicion(runner, |suspicion| suspicion.begin_probe(since_us));
    let record = fleet.get(runner).map(|known| known.record.clone());
    drop(fleet);
    if let (Some(true), Some(record)) = (is_due, record) {
        let needs_response = needs_response(node, runner, since_us, cause);
        let node = node.clone();
        ntex::rt::spawn(async move {
            let started_at = Instant::now();
            let verdict = verify(&node, &record, needs_response).await;
            let took_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let runner = record.id.as_str();
            log::info!(target: "verification", runner, verdict:?, took_ms; "verified");
            node.on_probe_verdict(&record.id, verdict);
        });
    }
}

/// Whether a probe must get a response, since a handshake shows little: it needs no process that works. Without another
/// node there is nothing to compare with.
fn needs_response(node: &Node, runner: &RunnerId, since_us: u64, cause: ProbeCause) -> bool {
    let is_in_doubt = match cause {
        ProbeCause::Silence => {
            node.now_us() >= since_us + SILENT_LINK_US || are_all_runners_silent(node)
        }
        ProbeCause::BrokenConnection | ProbeCause::LinkInDoubt => true,
    };
    is_in_doubt && node.may_ask_for_state(runner) && node.known_node_count() > 1
}

fn are_all_runners_silent(node: &Node) -> bool {
    let since_us = node.now_us().saturating_sub(ALL_SILENT_TIMEOUT_US);
    node.links.borrow().has_no_data_since(since_us)
}

/// Checks whether a runner can be reached over this node's link and, if not, whether another node reaches it.
async fn verify(node: &Rc<Node>, record: &RunnerRecord, needs_response: bool) -> ProbeVerdict {
    if node.is_link_lost(&record.id) {
        return verify_through_peer(node, record).await;
    }
    let started_at = Instant::now();
    let connected = Upstream::open(record.address, RUNNER_CONNECT_TIMEOUT).await;
    if started_at.elapsed() > RUNNER_CONNECT_TIMEOUT * NODE_STALL_FACTOR {
        return ProbeVerdict::Inconclusive;
    }
    let error = match connected {
        Ok(connection) if !needs_response => {
            node.pool.put(&record.id, connection, None);
            return ProbeVerdict::Reachable;
        }
        Ok(connection) => {
            verify_response(node, record, connection).await;
            return ProbeVerdict::Reachable;
        }
        Err(error) => error,
    };
    let outcome = client::open(node.clone(), record.id.clone(), None).await;
    if let Some(evidence) = unreachability(node, &error, &outcome) {
        return ProbeVerdict::Unreachable(evidence);
    }
    if let TunnelOutcome::Opened(connection) = outcome {
        on_link_lost(node, &record.id, &peer_name(&connection), loss_of(&error));
        node.pool.put(&record.id, connection, None);
    }
    ProbeVerdict::Reachable
}

/// Checks whether a connected runner responds and, if not, whether it responds through another node. A runner that
/// responds through no node either is busy.
async fn verify_response(node: &Rc<Node>, record: &RunnerRecord, connection: Upstream) {
    let usable = match runner_connection::verify(connection, record).await {
        Verification::Usable(connection) => Some(connection),
        Verification::Responded => None,
        Verification::NoResponse => open_responding_tunnel(node, record, &None).await,
    };
    if let Some(connection) = usable {
        node.pool.put(&record.id, connection, None);
    }
}

async fn verify_through_peer(node: &Rc<Node>, record: &RunnerRecord) -> ProbeVerdict {
    match client::open(node.clone(), record.id.clone(), None).await {
        TunnelOutcome::Opened(connection) => {
            node.pool.put(&record.id, connection, None);
            ProbeVerdict::Reachable
        }
        TunnelOutcome::RunnerUnreachable { is_refused } => {
            ProbeVerdict::Unreachable(Unreachability::Confirmed { has_terminated: is_refused })
        }
        TunnelOutcome::Unknown => ProbeVerdict::Inconclusive,
    }
}

/// Records that the link to a runner is lost, since `peer` reaches it. The first loss after a while raises doubt about the
/// other links, which are probed at once.
pub fn on_link_lost(node: &Rc<Node>, runner: &RunnerId, peer: &str, loss: LinkLoss) {
    let now_us = node.now_us();
    let were_in_doubt = node.links.borrow().are_others_in_doubt(now_us);
    if node.on_link_lost(runner, peer, loss) && !were_in_doubt {
        for other in runners_to_doubt(node) {
            probe(node, &other, now_us, ProbeCause::LinkInDoubt);
        }
    }
}

/// Runners whose links are probed when another one is lost: those with requests of this node, and a sample of the rest.
fn runners_to_doubt(node: &Node) -> Vec<RunnerId> {
    let fleet = node.fleet.borrow();
    let id = |runner: &Runner| runner.record.id.clone();
    let (busy, idle): (Vec<&Runner>, Vec<&Runner>) =
        fleet.iter().partition(|runner| runner.in_flight > 0);
    let idle = idle.into_iter().sample(&mut rand::rng(), MAX_OTHERS_PROBED);
    busy.into_iter().chain(idle).take(MAX_OTHERS_PROBED).map(id).collect()
}

/// Probes a runner after `after`, and then at intervals that double each time; earlier if no runner at all sends data.
/// Never completes; the caller drops it when the runner responds.
pub async fn probe_while_silent(node: &Rc<Node>, runner: &RunnerId, after: Duration) {
    let mut interval = after;
    loop {
        let since_us = node.now_us();
        if interval > ALL_SILENT_TIMEOUT {
            sleep(ALL_SILENT_TIMEOUT).await;
            if are_all_runners_silent(node) {
                probe(node, runner, since_us, ProbeCause::Silence);
            }
            sleep(interval - ALL_SILENT_TIMEOUT).await;
        } else {
            sleep(interval).await;
        }
        probe(node, runner, since_us, ProbeCause::Silence);
        interval *= 2;
    }
}

/// Completes when it is proven that a runner cannot be reached, if that was not known before, or, for a connection over
/// this node's own link, when that link is lost. That another request has waited in vain is no proof.
pub async fn wait_until_unavailable(node: &Node, runner: &RunnerId, uses_own_link: bool) {
    let is_unavailable = || {
        let is_unreachable = node.fleet.borrow().get(runner).is_some_and(Runner::is_unreachable);
        is_unreachable || (uses_own_link && node.is_link_lost(runner))
    };
    if is_unavailable() {
        std::future::pending::<()>().await;
    }
    loop {
        let changed = node.suspicion_changed.notified();
        if is_unavailable() {
            return;
        }
        changed.await;
    }
}

/// Probes lost links until the task is dropped, so that requests return to a link as soon as it works again.
pub async fn probe_lost_links(node: Rc<Node>) {
    loop {
        let changed = node.suspicion_changed.notified();
        if node.links.borrow().count() == 0 {
            changed.await;
            continue;
        }
        sleep(LOST_LINK_ROUND).await;
        let due = node.links.borrow_mut().take_due(MAX_PROBES_PER_ROUND, node.now_us());
        for runner in due {
            let record = node.fleet.borrow().get(&runner).map(|known| known.record.clone());
            if let Some(record) = record {
                ntex::rt::spawn(probe_lost_link(node.clone(), record));
            }
        }
    }
}

async fn probe_lost_link(node: Rc<Node>, record: RunnerRecord) {
    let connected = Upstream::open(record.address, RUNNER_CONNECT_TIMEOUT).await;
    let Ok(connection) = connected else {
        return node.on_link_probed(&record.id, LinkProbe::Failed);
    };
    let verification = match node.may_ask_for_state(&record.id) {
        true => runner_connection::verify(connection, &record).await,
        false => Verification::Usable(connection),
    };
    let (usable, probe) = match verification {
        Verification::Usable(connection) => (Some(connection), LinkProbe::Responded),
        Verification::Responded => (None, LinkProbe::Responded),
        Verification::NoResponse => (None, LinkProbe::Failed),
    };
    node.on_link_probed(&record.id, probe);
    if let Some(connection) = usable.filter(|_| !node.is_link_lost(&record.id)) {
        node.pool.put(&record.id, connection, None);
    }
}
