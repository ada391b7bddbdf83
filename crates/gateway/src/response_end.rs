//! Finds out whether a response that only the end of its connection delimits is whole.
//!
//! A process that ends, for whatever reason, has its connections closed in the same way as a process that has sent a whole
//! response. Only the runner itself can tell the two apart: if it still responds after the end of the connection, it has
//! closed the connection itself.

use crate::http::{OpenResponse, Upstream};
use crate::node::Node;
use crate::runner_connection::{self, ask_for_state, return_after_state_response};
use crate::runner_limits;
use pitchstall_serving::framing_habit::HeadDamage;
use pitchstall_serving::runner::RunnerRecord;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Maximum time for the proof where another run may take the place of this one.
const MAX_PROOF_TIME_IF_REPEATABLE: Duration = Duration::from_millis(1_000);
/// Time for the first question; each further one has twice the time of the last. A runner that is busy with long prompts may
/// take some hundred milliseconds to respond, and a single question may be lost.
const FIRST_QUESTION_TIME: Duration = Duration::from_millis(300);
/// Pause after a question that brought no response, which grows in the same way. A runner with too many connections resets
/// new ones.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Why it is not proven that a response is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDoubt {
    /// The runner can no longer be reached.
    RunnerGone,
    /// Another process responds at the runner's address.
    RunnerReplaced,
    /// The runner does not respond in time.
    NoResponse,
    /// The response is empty. A runner that ends it after its head, or whose head has lost its last lines, responds as well.
    EmptyBody,
    /// The head has lost lines, as other responses of the runner have shown meanwhile.
    DamagedHead(HeadDamage),
}

impl EndDoubt {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::RunnerGone => "runner_gone",
            Self::RunnerReplaced => "runner_replaced",
            Self::NoResponse => "no_response",
            Self::EmptyBody => "empty_body",
            Self::DamagedHead(damage) => damage.name(),
        }
    }
}

/// A response that has ended with its connection.
#[derive(Clone, Copy)]
pub struct UnprovenResponse<'a> {
    /// Id of the request that it answers.
    pub request: &'a str,
    /// The runner that has sent it.
    pub record: &'a RunnerRecord,
    /// Whether another run may take the place of this one.
    pub is_repeatable: bool,
    /// Time that the request has left.
    pub time_remaining: Duration,
}

/// Proves that a response which has ended with its connection is whole: the same process still responds. The runner is asked
/// again and again until the time is over, since its silence shows nothing.
pub async fn prove(node: &Rc<Node>, unproven: UnprovenResponse<'_>) -> Result<(), EndDoubt> {
    let max_time = match unproven.is_repeatable {
        true => unproven.time_remaining.min(MAX_PROOF_TIME_IF_REPEATABLE),
        false => unproven.time_remaining,
    };
    let proof = prove_by_response(node, unproven);
    timeout(max_time, proof).await.unwrap_or(Err(EndDoubt::NoResponse))
}

async fn prove_by_response(
    node: &Rc<Node>,
    unproven: UnprovenResponse<'_>,
) -> Result<(), EndDoubt> {
    let mut question_time = FIRST_QUESTION_TIME;
    let mut pause = FIRST_PAUSE;
    loop {
        if let Some(response) = ask(node, unproven, question_time).await? {
            if let Some(verdict) = judge(node, unproven.record, response) {
                return verdict;
            }
        }
        sleep(pause).await;
        question_time *= 2;
        pause *= 2;
    }
}

/// Asks the runner for its state once, on an idle connection if there is one. `None` if there is no response in time, or if
/// the runner's limit leaves no room for the question.
async fn ask(
    node: &Rc<Node>,
    unproven: UnprovenResponse<'_>,
    question_time: Duration,
) -> Result<Option<OpenResponse>, EndDoubt> {
    let UnprovenResponse { request, record, .. } = unproven;
    if node.fleet.borrow().get(&record.id).is_some_and(|runner| runner.is_misdirected()) {
        return Err(EndDoubt::RunnerReplaced);
    }
    if runner_limits::request_permit(node, request, &record.id).await.is_none() {
        return Ok(None);
    }
    let connection = match node.pool.take(&record.id, |_| true) {
        Some(pooled) => pooled.connection,
        None => open(node, record).await?,
    };
    Ok(timeout(question_time, ask_for_state(connection, record)).await.ok().flatten())
}

async fn open(node: &Rc<Node>, record: &RunnerRecord) -> Result<Upstream, EndDoubt> {
    runner_connection::open(node, record, &None).await.map_err(|_| EndDoubt::RunnerGone)
}

/// Judges a response of the process at the runner's address, and returns its connection to the pool. `None` if it answers
/// another request than the question, which has no id.
fn judge(
    node: &Rc<Node>,
    record: &RunnerRecord,
    response: OpenResponse,
) -> Option<Result<(), EndDoubt>> {
    let metadata = node.on_response_head(&record.id, &response.head);
    if metadata.request_id.as_deref().is_some_and(|named| !named.is_empty()) {
        return None;
    }
    if metadata.is_misdirected {
        return Some(Err(EndDoubt::RunnerReplaced));
    }
    return_after_state_response(node, record, response);
    Some(Ok(()))
}
