//! Finds out whether a response that only the end of its connection delimits is whole.
//!
//! A process that ends, for whatever reason, has its connections closed in the same way as a process that has sent a whole
//! response. Only the runner itself can tell the two apart: if it still responds after the end of the connection, it has
//! closed the connection itself.

use crate::http::{OpenResponse, Upstream};
use crate::node::Node;
use crate::runner_connection::{self, ask_for_state, return_after_state_response};
use pitchstall_platform_adapter::headers;
use pitchstall_serving::runner::RunnerRecord;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Maximum time for the proof. A runner that is busy with long prompts may take some hundred milliseconds to respond.
const MAX_PROOF_TIME: Duration = Duration::from_millis(1_000);

/// Maximum time of this for a response on a connection that was idle before.
const MAX_IDLE_CONNECTION_TIME: Duration = Duration::from_millis(300);
/// Maximum number of new connections on which the runner is asked, since one with too many connections resets new ones.
const MAX_QUESTIONS: usize = 3;
const PAUSE_BETWEEN_QUESTIONS: Duration = Duration::from_millis(50);

/// Why it is not proven that a response is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDoubt {
    /// The runner can no longer be reached.
    RunnerGone,
    /// Another process responds at the runner's address.
    RunnerReplaced,
    /// The runner does not respond in time.
    NoResponse,
}

impl EndDoubt {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::RunnerGone => "runner_gone",
            Self::RunnerReplaced => "runner_replaced",
            Self::NoResponse => "no_response",
        }
    }
}

/// Proves that a response which has ended with its connection is whole: the runner, in the same life, still responds. Takes
/// at most `time_remaining`. A runner that must not be asked for its state has to accept a connection instead.
pub async fn prove(
    node: &Rc<Node>,
    record: &RunnerRecord,
    time_remaining: Duration,
) -> Result<(), EndDoubt> {
    let proof = prove_by_response(node, record);
    let result = timeout(time_remaining.min(MAX_PROOF_TIME), proof).await;
    result.unwrap_or(Err(EndDoubt::NoResponse))
}

async fn prove_by_response(node: &Rc<Node>, record: &RunnerRecord) -> Result<(), EndDoubt> {
    if !node.may_ask_for_state(&record.id) {
        let connection = open(node, record).await?;
        node.pool.put(&record.id, connection, None);
        return Ok(());
    }
    if let Some(pooled) = node.pool.take(&record.id, |_| true) {
        // The runner may have closed an idle connection for its age, or the connection may have gone silent.
        let question = ask_for_state(pooled.connection, record);
        if let Ok(Some(response)) = timeout(MAX_IDLE_CONNECTION_TIME, question).await {
            return judge(node, record, response);
        }
    }
    for _ in 0..MAX_QUESTIONS {
        let connection = open(node, record).await?;
        if let Some(response) = ask_for_state(connection, record).await {
            return judge(node, record, response);
        }
        sleep(PAUSE_BETWEEN_QUESTIONS).await;
    }
    Err(EndDoubt::NoResponse)
}

async fn open(node: &Rc<Node>, record: &RunnerRecord) -> Result<Upstream, EndDoubt> {
    runner_connection::open(node, record, &None).await.map_err(|_| EndDoubt::RunnerGone)
}

/// Judges a response of the process at the runner's address. Its connection is returned to the pool.
fn judge(node: &Rc<Node>, record: &RunnerRecord, response: OpenResponse) -> Result<(), EndDoubt> {
    if headers::is_misdirected(response.head.status) {
        return Err(EndDoubt::RunnerReplaced);
    }
    return_after_state_response(node, record, response);
    Ok(())
}
