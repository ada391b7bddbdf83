//! The program of a runner that is a process of its own: it serves each request as the request plans it.
//!
//! A stream and a plain answer have the same body, a list of events, so that one judgement applies to both.

use crate::run_plan::{Framing, RunEnd, RunPlan, PLAN_HEADER};
use nix::sys::signal::{raise, Signal};
use pitchstall_platform_standins::http::{serve, Connection, ReceivedRequest};
use pitchstall_platform_standins::runner::{
    misdirected_response, state_response, stream_head_of_version,
};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of the last event of each stream.
pub const LAST_EVENT: u64 = 11;
const EVENT_GAP: Duration = Duration::from_millis(25);
const LONG_PAUSE: Duration = Duration::from_millis(2_500);
/// Time for the last bytes to leave the process before it ends.
const BEFORE_END: Duration = Duration::from_millis(5);
static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

/// Who the runner is.
#[derive(Clone)]
pub struct Identity {
    /// Id in the registry.
    pub id: String,
    /// Software version.
    pub version: String,
}

/// Writes the runner's address to standard output, then serves until standard input ends, as it does when the process that
/// started the runner ends.
pub fn run(identity: Identity) -> std::io::Result<()> {
    let address = start(identity)?;
    let mut output = std::io::stdout();
    writeln!(output, "{address}")?;
    output.flush()?;
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

/// Serves on threads of this process and returns the address. Fails if the runner cannot listen.
pub fn start(identity: Identity) -> std::io::Result<SocketAddr> {
    serve(move |connection| serve_connection(connection, &identity))
}

fn serve_connection(mut connection: Connection, identity: &Identity) {
    while let Some(request) = connection.read_request() {
        match respond(connection, &request, identity) {
            Some(kept) => connection = kept,
            None => return,
        }
    }
}

fn respond(
    mut connection: Connection,
    request: &ReceivedRequest,
    identity: &Identity,
) -> Option<Connection> {
    if request.expected_runner().is_some_and(|expected| expected != identity.id) {
        let response = misdirected_response(request, &identity.id);
        return connection.write(&response).then_some(connection);
    }
    let plan = request.header(PLAN_HEADER).and_then(|text| text.parse::<RunPlan>().ok());
    let Some(plan) = plan else {
        let response = state_response(request, &identity.id);
        return connection.write(&response).then_some(connection);
    };
    write_stream(connection, request, identity, plan)
}

fn write_stream(
    mut connection: Connection,
    request: &ReceivedRequest,
    identity: &Identity,
    plan: RunPlan,
) -> Option<Connection> {
    let resumed_after = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let first = resumed_after.map_or(0, |id| id + 1);
    let end = if resumed_after.is_none() { plan.end } else { RunEnd::Whole };
    let run = format!("{}/{}", identity.id, NEXT_RUN.fetch_add(1, Ordering::SeqCst));
    let event_text =
        |number: u64| format!("id: {number}\ndata: {run} {} {number}\n\n", identity.version);
    let length: usize = (first..=LAST_EVENT).map(|number| event_text(number).len()).sum();
    connection.write(&head(request, plan.framing, length)).then_some(())?;
    for number in first..=LAST_EVENT {
        let text = event_text(number);
        write_event(&mut connection, plan, &text).then_some(())?;
        if number != plan.after {
            continue;
        }
        let half = &text[..text.len() / 2];
        match end {
            RunEnd::Whole => {}
            RunEnd::Pause => std::thread::sleep(LONG_PAUSE),
            RunEnd::Close => return None,
            RunEnd::CloseInside => {
                connection.write(&framed(plan.framing, half));
                return None;
            }
            RunEnd::Reset => {
                connection.reset();
                return None;
            }
            RunEnd::KillInside => {
                connection.write(&framed(plan.framing, half));
                end_process(Signal::SIGKILL);
            }
            RunEnd::Kill => end_process(Signal::SIGKILL),
            RunEnd::Stop => end_process(Signal::SIGSTOP),
            RunEnd::Exit => {
                std::thread::sleep(BEFORE_END);
                std::process::exit(0)
            }
        }
    }
    match plan.framing {
        Framing::Chunked => connection.write(b"0\r\n\r\n").then_some(connection),
        Framing::Length => Some(connection),
        Framing::Unframed | Framing::Http10 => None,
    }
}

/// Writes an event after the gap between two events, or its second part after half of the gap; `false` if the node has
/// closed the connection.
fn write_event(connection: &mut Connection, plan: RunPlan, text: &str) -> bool {
    if !plan.is_split {
        std::thread::sleep(EVENT_GAP);
        return connection.write(&framed(plan.framing, text));
    }
    let (first, second) = text.split_at(text.len() / 2);
    [first, second].into_iter().all(|part| {
        std::thread::sleep(EVENT_GAP / 2);
        connection.write(&framed(plan.framing, part))
    })
}

fn end_process(signal: Signal) {
    std::thread::sleep(BEFORE_END);
    let _ = raise(signal);
}

fn head(request: &ReceivedRequest, framing: Framing, length: usize) -> Vec<u8> {
    let (version, lines) = match framing {
        Framing::Chunked => ("1.1", "transfer-encoding: chunked\r\n".to_owned()),
        Framing::Length => ("1.1", format!("content-length: {length}\r\n")),
        Framing::Unframed => ("1.1", "connection: close\r\n".to_owned()),
        Framing::Http10 => ("1.0", String::new()),
    };
    stream_head_of_version(request, version, &lines)
}

fn framed(framing: Framing, text: &str) -> Vec<u8> {
    match framing {
        Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()).into_bytes(),
        _ => text.as_bytes().to_vec(),
    }
}
