//! Forwards a stream's events to the client as they come.

use crate::attempt::AttemptResponse;
use crate::clock::Instant;
use crate::connection::{ClientConnection, ClientGone};
use crate::http::Header;
use pitchstall_serving::event_stream::{EventAction, EventDeduplicator, EventSplitter};
use std::time::Duration;
use tokio::time::timeout;

/// Where a stream stands towards its client, over all of its runs.
pub struct StreamState {
    /// Joins the runs.
    pub join: EventDeduplicator,
    /// Whether the client has the head.
    pub begun: bool,
    /// When the client got the last event.
    pub last_event_at: Option<Instant>,
}

impl StreamState {
    /// A stream of which the client has what it says it has.
    pub fn new(last_event_id: Option<u64>) -> Self {
        Self { join: EventDeduplicator::after(last_event_id), begun: false, last_event_at: None }
    }
}

/// How a run of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// As its framing tells: whole.
    Complete,
    /// The runner broke it off.
    Broken,
    /// Nothing has come for the longest pause; the run may go on all the same.
    Silent,
    /// The request's time is up.
    OutOfTime,
    /// The client has gone.
    ClientGone,
}

/// Time limits of a run.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// When the request's time is up.
    pub deadline: Instant,
    /// Longest pause between events before the run counts as silent.
    pub pause: Duration,
}

/// Forwards one run of a stream. Only whole events pass, so that another run can follow. What is left
/// of an event stays in `splitter`: a run that was silent can be followed on.
pub async fn relay(
    answering: &AttemptResponse,
    client: &ClientConnection,
    state: &mut StreamState,
    splitter: &mut EventSplitter,
    limits: RelayLimits,
) -> RelayEnd {
    let headers = answering.client_headers();
    loop {
        let left = limits.deadline.saturating_duration_since(Instant::now());
        let read = match timeout(left.min(limits.pause), answering.read_chunk()).await {
            Ok(read) => read,
            Err(_) if left <= limits.pause => return RelayEnd::OutOfTime,
            Err(_) => return RelayEnd::Silent,
        };
        answering.in_flight.on_progress();
        let forwarded = match read {
            Ok(Some(bytes)) => forward(&bytes, splitter, client, state, &headers).await,
            Ok(None) => return end(answering, splitter, client, state, &headers).await,
            Err(_) => return RelayEnd::Broken,
        };
        if forwarded.is_err() {
            return RelayEnd::ClientGone;
        }
    }
}

async fn forward(
    bytes: &[u8],
    splitter: &mut EventSplitter,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<(), ClientGone> {
    let mut ready = Vec::new();
    for event in splitter.push(bytes) {
        if state.join.on_event(&event) == EventAction::Forward {
            ready.extend_from_slice(&event.bytes);
        }
    }
    if ready.is_empty() {
        return Ok(());
    }
    begin(client, state, headers)?;
    state.last_event_at = Some(Instant::now());
    client.write_chunk(ready).await
}

fn begin(
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<(), ClientGone> {
    const OK: u16 = 200;
    if !state.begun {
        client.begin_stream(OK, headers)?;
        state.begun = true;
    }
    Ok(())
}

/// The body has ended. Without a length, the end of the connection is also what a runner that
/// stops in the middle of an event leaves behind.
async fn end(
    answering: &AttemptResponse,
    splitter: &EventSplitter,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> RelayEnd {
    let rest = splitter.pending();
    if !rest.is_empty() && answering.ends_with_connection() {
        return RelayEnd::Broken;
    }
    let written = async {
        begin(client, state, headers)?;
        if !rest.is_empty() {
            client.write_chunk(rest.to_vec()).await?;
        }
        client.end_stream().await
    };
    match written.await {
        Ok(()) => RelayEnd::Complete,
        Err(ClientGone) => RelayEnd::ClientGone,
    }
}
