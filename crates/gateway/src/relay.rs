//! Forwards a stream's events to the client as they come.

use crate::attempt::Answering;
use crate::clock::Instant;
use crate::connection::{ClientConnection, ClientDisconnected};
use crate::http::Header;
use pitchstall_serving::event_stream::{EventAction, EventDeduplicator, EventSplitter};
use std::time::Duration;
use tokio::time::timeout;

/// Where a stream stands towards its client, over all of its runs.
pub struct StreamState {
    /// Joins the runs.
    pub deduplicator: EventDeduplicator,
    /// Whether the client has the head.
    pub is_head_sent: bool,
    /// When the client got the last event.
    pub last_event_at: Option<Instant>,
}

impl StreamState {
    /// A stream of which the client has what it says it has.
    pub fn new(last_event_id: Option<u64>) -> Self {
        Self {
            deduplicator: EventDeduplicator::after(last_event_id),
            is_head_sent: false,
            last_event_at: None,
        }
    }
}

/// How a run of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// As its framing tells: whole.
    Complete,
    /// The runner broke it off.
    ConnectionLost,
    /// Nothing has come for the longest pause; the run may go on all the same.
    Stalled,
    /// The request's time is up.
    DeadlineExceeded,
    /// The client has gone.
    ClientDisconnected,
}

/// Time limits of a run.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// When the request's time is up.
    pub deadline: Instant,
    /// Longest pause between events before the run counts as silent.
    pub max_pause: Duration,
}

/// Forwards one run of a stream. Only whole events pass, so that another run can follow. What is left
/// of an event stays in `splitter`: a run that was silent can be followed on.
pub async fn relay(
    answering: &Answering,
    client: &ClientConnection,
    state: &mut StreamState,
    splitter: &mut EventSplitter,
    limits: RelayLimits,
) -> RelayOutcome {
    let headers = answering.client_headers();
    loop {
        let remaining = limits.deadline.saturating_duration_since(Instant::now());
        let result = match timeout(remaining.min(limits.max_pause), answering.read()).await {
            Ok(result) => result,
            Err(_) if remaining <= limits.max_pause => return RelayOutcome::DeadlineExceeded,
            Err(_) => return RelayOutcome::Stalled,
        };
        answering.flight.on_progress();
        let forwarded = match result {
            Ok(Some(bytes)) => forward(&bytes, splitter, client, state, &headers).await,
            Ok(None) => return finish(answering, splitter, client, state, &headers).await,
            Err(_) => return RelayOutcome::ConnectionLost,
        };
        if forwarded.is_err() {
            return RelayOutcome::ClientDisconnected;
        }
    }
}

async fn forward(
    bytes: &[u8],
    splitter: &mut EventSplitter,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<(), ClientDisconnected> {
    let mut outgoing_bytes = Vec::new();
    for event in splitter.push(bytes) {
        if state.deduplicator.on_event(&event) == EventAction::Forward {
            outgoing_bytes.extend_from_slice(&event.bytes);
        }
    }
    if outgoing_bytes.is_empty() {
        return Ok(());
    }
    begin_response(client, state, headers)?;
    state.last_event_at = Some(Instant::now());
    client.write_chunk(outgoing_bytes).await
}

fn begin_response(
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<(), ClientDisconnected> {
    const OK: u16 = 200;
    if !state.is_head_sent {
        client.begin_stream(OK, headers)?;
        state.is_head_sent = true;
    }
    Ok(())
}

/// The body has ended. Without a length, the end of the connection is also what a runner that
/// stops in the middle of an event leaves behind.
async fn finish(
    answering: &Answering,
    splitter: &EventSplitter,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> RelayOutcome {
    let incomplete_event = splitter.pending();
    if !incomplete_event.is_empty() && answering.ends_with_connection() {
        return RelayOutcome::ConnectionLost;
    }
    let written = async {
        begin_response(client, state, headers)?;
        if !incomplete_event.is_empty() {
            client.write_chunk(incomplete_event.to_vec()).await?;
        }
        client.end_stream().await
    };
    match written.await {
        Ok(()) => RelayOutcome::Complete,
        Err(ClientDisconnected) => RelayOutcome::ClientDisconnected,
    }
}
