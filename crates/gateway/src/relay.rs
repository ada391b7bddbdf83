//! Forwards the events of a stream to the client as they arrive.

use crate::attempt::AttemptResponse;
use crate::clock::Instant;
use crate::connection::{ClientConnection, ClientDisconnected};
use crate::http::{BodyEnd, BodyPart, Header, ReadError};
use crate::response_memory::EventBuffer;
use crate::stream_origins::OriginRecorder;
use pitchstall_serving::event_runs::{EventAction, EventDeduplicator, RunMismatch, RunPlace};
use pitchstall_serving::event_stream::Event;
use std::time::Duration;
use tokio::time::timeout;

/// State of a stream towards its client, across all runs of the request.
pub struct StreamState {
    /// Drops events that an earlier run has already delivered.
    pub deduplicator: EventDeduplicator,
    /// Whether the head of the response has been written.
    pub is_head_sent: bool,
    /// When events were last forwarded to the client; `None` if none has been forwarded.
    pub last_event_at: Option<Instant>,
    /// Records the runner that writes the first event; `None` if the stream cannot be resumed.
    origin_recorder: Option<OriginRecorder>,
}

impl StreamState {
    /// Creates the state of a stream. `last_event_id` is the last event that the client has, according to its request.
    pub fn new(last_event_id: Option<u64>, origin_recorder: Option<OriginRecorder>) -> Self {
        Self {
            deduplicator: EventDeduplicator::after(last_event_id),
            is_head_sent: false,
            last_event_at: None,
            origin_recorder,
        }
    }
}

/// The events of one run.
#[derive(Debug)]
pub struct RunEvents {
    buffer: EventBuffer,
    place: RunPlace,
    has_events: bool,
}

impl RunEvents {
    /// The events of a run of which nothing has been received.
    pub fn new(buffer: EventBuffer) -> Self {
        Self { buffer, place: RunPlace::default(), has_events: false }
    }

    /// Whether the run has brought no complete event.
    pub fn is_empty(&self) -> bool {
        !self.has_events
    }
}

/// Events that the client receives, and why the run ends after them; `None` if it goes on.
#[derive(Default)]
struct Selection {
    bytes: Vec<u8>,
    mismatch: Option<RunMismatch>,
}

/// How the relay of one run ended.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The response ended as its framing requires, and so did the response to the client.
    Complete,
    /// The response ended with its connection, after a complete event. The response to the client is still open.
    EndUnproven,
    /// The runner ended the response early.
    ConnectionLost(ReadError),
    /// The run does not continue the stream. Nothing of it after the events that do has been forwarded.
    Mismatch(RunMismatch),
    /// No bytes arrived for the maximum pause. The run may still continue.
    Stalled,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The client has disconnected, or did not read the written bytes in time.
    ClientDisconnected,
}

/// Time limits for relaying a run.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Time at which the request's deadline expires.
    pub deadline: Instant,
    /// Maximum time without bytes from the runner before the run counts as stalled.
    pub max_pause: Duration,
}

/// Forwards one run of a stream. Only complete events are forwarded, so that another run can continue the stream.
/// Bytes of an incomplete event stay in `events`, so that relaying a stalled run can be resumed.
pub async fn relay(
    response: &AttemptResponse,
    client: &ClientConnection,
    state: &mut StreamState,
    events: &mut RunEvents,
    limits: RelayLimits,
) -> RelayOutcome {
    let headers = response.client_headers();
    loop {
        let remaining = limits.deadline.saturating_duration_since(Instant::now());
        let result = match timeout(remaining.min(limits.max_pause), response.read_part()).await {
            Ok(result) => result,
            Err(_) if remaining <= limits.max_pause => return RelayOutcome::DeadlineExceeded,
            Err(_) => return RelayOutcome::Stalled,
        };
        response.in_flight.on_progress();
        let forwarded = match result {
            Ok(BodyPart::Bytes(bytes)) => {
                forward(response, &bytes, events, client, state, &headers).await
            }
            Ok(BodyPart::End(end)) => return finish(response, end, events, client, state).await,
            Err(error) => return RelayOutcome::ConnectionLost(error),
        };
        match forwarded {
            Ok(None) => {}
            Ok(Some(mismatch)) => return RelayOutcome::Mismatch(mismatch),
            Err(ClientDisconnected) => return RelayOutcome::ClientDisconnected,
        }
        if let Err(too_long) = events.buffer.check() {
            return RelayOutcome::ConnectionLost(too_long.into());
        }
    }
}

/// Forwards the new ones of the events that `bytes` complete. Returns why the run does not continue the stream; `None` if
/// it does.
async fn forward(
    response: &AttemptResponse,
    bytes: &[u8],
    events: &mut RunEvents,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<Option<RunMismatch>, ClientDisconnected> {
    let complete = events.buffer.push(bytes);
    events.has_events |= !complete.is_empty();
    let selection = select(complete, &mut events.place, &mut state.deduplicator);
    if selection.bytes.is_empty() {
        return Ok(selection.mismatch);
    }
    begin_response(response, client, state, headers)?;
    state.last_event_at = Some(Instant::now());
    client.write_chunk(selection.bytes).await?;
    Ok(selection.mismatch)
}

fn select(
    events: Vec<Event>,
    place: &mut RunPlace,
    deduplicator: &mut EventDeduplicator,
) -> Selection {
    let mut selection = Selection::default();
    for event in events {
        match deduplicator.on_event(place, &event) {
            EventAction::Forward => selection.bytes.extend_from_slice(&event.bytes),
            EventAction::Skip => {}
            EventAction::EndRun(mismatch) => {
                selection.mismatch = Some(mismatch);
                break;
            }
        }
    }
    selection
}

fn begin_response(
    response: &AttemptResponse,
    client: &ClientConnection,
    state: &mut StreamState,
    headers: &[Header],
) -> Result<(), ClientDisconnected> {
    const OK: u16 = 200;
    if !state.is_head_sent {
        // The client may resume the stream at another node as soon as it has received an event.
        state.origin_recorder.iter().for_each(|recorder| recorder.record(&response.record));
        client.begin_stream(OK, headers)?;
        state.is_head_sent = true;
    }
    Ok(())
}

/// Handles the end of the body. If the last event is incomplete, the runner has stopped in the middle of it, even if the
/// framing of the body is complete.
async fn finish(
    response: &AttemptResponse,
    end: BodyEnd,
    events: &RunEvents,
    client: &ClientConnection,
    state: &mut StreamState,
) -> RelayOutcome {
    if events.buffer.has_incomplete_event() {
        return RelayOutcome::ConnectionLost(ReadError::Closed);
    }
    if let Err(mismatch) = state.deduplicator.on_end(events.place) {
        return RelayOutcome::Mismatch(mismatch);
    }
    match end {
        BodyEnd::Framed => complete(response, client, state).await,
        BodyEnd::Unproven => RelayOutcome::EndUnproven,
    }
}

/// Ends the response to the client as complete, after a response of which it is proven that it is whole.
pub async fn complete(
    response: &AttemptResponse,
    client: &ClientConnection,
    state: &mut StreamState,
) -> RelayOutcome {
    let written = async {
        begin_response(response, client, state, &response.client_headers())?;
        client.end_stream().await
    };
    match written.await {
        Ok(()) => RelayOutcome::Complete,
        Err(ClientDisconnected) => RelayOutcome::ClientDisconnected,
    }
}
