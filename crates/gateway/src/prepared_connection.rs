//! Prepares a connection to the runner of an attempt, and counts the attempt at the runner.

use crate::http::Upstream;
use crate::node::Node;
use crate::response_memory::ResponseReservation;
use crate::runner_connection::{self, AllowedZones, RunnerUnreachable};
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord};
use std::rc::Rc;
use std::time::Duration;

/// Counts an attempt as in flight at its runner until the guard is dropped.
pub struct InFlightGuard {
    node: Rc<Node>,
    runner: RunnerId,
    demand: AttemptDemand,
}

impl InFlightGuard {
    fn new(node: &Rc<Node>, choice: &RunnerChoice) -> Self {
        node.fleet.borrow_mut().on_sent(&choice.runner, choice.demand);
        Self { node: node.clone(), runner: choice.runner.clone(), demand: choice.demand }
    }

    /// Reserves memory for what is held of the response.
    pub fn reserve_response(&self) -> ResponseReservation {
        self.node.reserve_response()
    }

    /// What the attempt demands of the runner, as far as it is still outstanding.
    pub fn demand(&self) -> AttemptDemand {
        self.demand
    }

    /// Records that data has been received from the runner.
    pub fn on_progress(&self) {
        self.node.on_progress(&self.runner);
    }

    /// Records that the runner has finished the prefill, so that only the decode counts as load.
    pub fn on_prefilled(&mut self) {
        self.node.fleet.borrow_mut().on_prefilled(&self.runner, self.demand);
        self.demand.prefill_tokens = 0;
        self.demand.overdue_tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.fleet.borrow_mut().on_ended(&self.runner, self.demand);
    }
}

/// A connection to a runner on which nothing of this request has been sent yet.
pub struct PreparedConnection {
    pub(crate) connection: Upstream,
    pub(crate) record: RunnerRecord,
    pub(crate) in_flight: InFlightGuard,
    /// How long a pooled connection was idle; `None` for a new connection.
    pub(crate) idle: Option<Duration>,
}

impl PreparedConnection {
    /// The registry record of the runner, as of when the connection was prepared.
    pub fn record(&self) -> &RunnerRecord {
        &self.record
    }
}

/// Why no connection to a chosen runner is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrepareError {
    /// The runner accepts no requests of this node at the moment, or is leaving.
    Withheld,
    /// The runner cannot be reached through any node, or this node's connection limit for it is used up.
    Unreachable,
}

/// Which connection an attempt needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionNeed {
    /// Whether it must be a new connection on which the runner has responded, since an earlier
    /// attempt of the request has been lost and this node's links may be the reason.
    pub is_verified: bool,
    /// Whether it must be a new connection, since something with the request's id has been sent to the runner before: on a
    /// kept connection, a surplus response to that would name the request too.
    pub is_new: bool,
    /// The zones in which a node that the connection leads through may be.
    pub zones: AllowedZones,
}

impl ConnectionNeed {
    /// Whether a connection leads through no node outside of the allowed zones.
    fn allows(&self, node: &Node, connection: &Upstream) -> bool {
        let (Some(zones), Some(peer)) = (&self.zones, connection.peer()) else { return true };
        node.members.borrow().zone_of(peer).is_some_and(|zone| zones.contains(zone))
    }
}

/// Takes a pooled connection to the chosen runner or opens a new one. Fails if the runner accepts
/// no requests of this node or cannot be reached.
pub async fn prepare(
    node: &Rc<Node>,
    choice: &RunnerChoice,
    need: &ConnectionNeed,
) -> Result<PreparedConnection, PrepareError> {
    let record = record_accepting_work(node, &choice.runner)?;
    if attempts_in_flight(node, &choice.runner) >= node.max_connections_per_runner(&record.service)
    {
        log::info!(target: "attempt", runner = choice.runner.as_str(); "runner not used: connection limit for one runner reached");
        return Err(PrepareError::Unreachable);
    }
    let in_flight = InFlightGuard::new(node, choice);
    let pooled = match need.is_verified || need.is_new {
        true => None,
        false => node.pool.take(&record.id, |connection| need.allows(node, connection)),
    };
    if let Some(pooled) = pooled {
        let idle = Some(pooled.idle_for);
        return Ok(PreparedConnection { connection: pooled.connection, record, in_flight, idle });
    }
    let connection = match need.is_verified {
        true => runner_connection::open_verified(node, &record, &need.zones).await,
        false => runner_connection::open(node, &record, &need.zones).await,
    };
    let connection = connection.map_err(|_: RunnerUnreachable| PrepareError::Unreachable)?;
    // The runner may have started to leave, or may have requested a rest, while the connection was
    // being opened.
    let record = record_accepting_work(node, &choice.runner)?;
    Ok(PreparedConnection { connection, record, in_flight, idle: None })
}

fn attempts_in_flight(node: &Node, runner: &RunnerId) -> u32 {
    node.fleet.borrow().get(runner).map_or(0, |runner| runner.in_flight)
}

fn record_accepting_work(node: &Node, runner: &RunnerId) -> Result<RunnerRecord, PrepareError> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let accepting = fleet.get(runner).filter(|runner| runner.accepts_work_from_this_node(now_us));
    accepting.map(|runner| runner.record.clone()).ok_or(PrepareError::Withheld)
}
