//! A client that takes a broken stream up at another node.

use crate::run_plan::{RunPlan, PLAN_HEADER};
use crate::stream_judgement::{ReceivedEvent, Try, TryEnd};
use pitchstall_platform_standins::client::PromptRequest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(8);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client gives a stream up after this gap between two events.
const MAX_GAP: Duration = Duration::from_millis(2_400);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// How often a client tries again.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Maximum number of tries, the first one included.
    pub max_tries: usize,
    /// Pause after a try that failed.
    pub pause: Duration,
}

/// A client that tries again some times, at once.
pub const SHORT_PATIENCE: Patience = Patience { max_tries: 6, pause: Duration::from_millis(30) };

/// A stream that a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest<'a> {
    /// Host of its route.
    pub host: &'a str,
    /// API key of the client; `None` if the configuration has no tenants.
    pub key: Option<&'a str>,
    /// Path of its route.
    pub path: &'a str,
    /// Whether the client may take it up again.
    pub is_resumable: bool,
    /// Protocol version of the client, "1.0" or "1.1".
    pub http_version: &'a str,
    /// What its runner does.
    pub plan: RunPlan,
    /// How often the client tries again.
    pub patience: Patience,
    /// Whether a takeup names the try that began the stream, and not only the last event.
    pub names_origin: bool,
}

/// What a client has received.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// Id of the first request.
    pub first_id: String,
    /// Each try with what came of it, in order.
    pub tries: Vec<Try>,
}

/// Asks for a stream at one node after the other until it is complete or must not be tried again. `on_event` is called after
/// each event with the number of the try.
pub fn fetch(
    nodes: &[SocketAddr],
    first: usize,
    request: StreamRequest<'_>,
    on_event: impl FnMut(usize, &ReceivedEvent),
) -> Fetched {
    let mut client = StreamClient::new(nodes, first, request);
    client.read(None, on_event);
    client.into_fetched()
}

/// A client that reads one stream, in one go or with absences between.
pub struct StreamClient<'a> {
    nodes: &'a [SocketAddr],
    first_node: usize,
    request: StreamRequest<'a>,
    /// Id of the try that brought the first event.
    begun_by: Option<String>,
    first_id: Option<String>,
    tries: Vec<Try>,
}

impl<'a> StreamClient<'a> {
    /// A client that has sent nothing yet. Its tries go to one node after the other, from `first_node` on.
    pub fn new(nodes: &'a [SocketAddr], first_node: usize, request: StreamRequest<'a>) -> Self {
        Self { nodes, first_node, request, begun_by: None, first_id: None, tries: Vec::new() }
    }

    /// Reads on until the event `leaves_after` has arrived, then leaves; without one, until the stream is complete. Tries at
    /// one node after the other as long as its patience and the deadline of this call allow. `on_event` is called after each
    /// event with the number of the try.
    pub fn read(
        &mut self,
        leaves_after: Option<u64>,
        mut on_event: impl FnMut(usize, &ReceivedEvent),
    ) {
        let deadline = Instant::now() + DEADLINE;
        for _ in 0..self.request.patience.max_tries {
            let number = self.tries.len();
            let end = self.try_once(deadline, leaves_after, |event| on_event(number, event));
            if !self.may_try_again(end) || Instant::now() >= deadline {
                return;
            }
            std::thread::sleep(self.request.patience.pause);
        }
    }

    /// How the last try ended; `None` before the first one.
    pub fn last_end(&self) -> Option<TryEnd> {
        self.tries.last().map(|it| it.end)
    }

    /// Software version of the first event; `None` before it.
    pub fn version(&self) -> Option<&str> {
        self.events().next().map(|event| event.version.as_str())
    }

    /// What the client has received.
    pub fn into_fetched(self) -> Fetched {
        Fetched { first_id: self.first_id.unwrap_or_default(), tries: self.tries }
    }

    fn events(&self) -> impl Iterator<Item = &ReceivedEvent> {
        self.tries.iter().flat_map(|it| &it.events)
    }

    fn try_once(
        &mut self,
        deadline: Instant,
        leaves_after: Option<u64>,
        on_event: impl FnMut(&ReceivedEvent),
    ) -> TryEnd {
        let node = self.nodes[(self.first_node + self.tries.len()) % self.nodes.len()];
        let id = next_id();
        self.first_id.get_or_insert_with(|| id.clone());
        let last = self.events().last().map(|event| event.number);
        let resumption = self.begun_by.as_deref().zip(last);
        let text = request_text(self.request, &id, deadline, resumption);
        let attempt = one_try(node, &text, deadline, leaves_after, on_event);
        if self.begun_by.is_none() && !attempt.events.is_empty() {
            self.begun_by = Some(id);
        }
        let end = attempt.end;
        self.tries.push(attempt);
        end
    }

    fn may_try_again(&self, end: TryEnd) -> bool {
        match end {
            TryEnd::Complete | TryEnd::Left => false,
            TryEnd::Status(503) => true,
            TryEnd::Broken | TryEnd::Status(_) => self.request.is_resumable,
        }
    }
}

/// An id that no other request has.
fn next_id() -> String {
    let process = u64::from(std::process::id()) << 32;
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst) + process)
}

fn request_text(
    request: StreamRequest<'_>,
    id: &str,
    deadline: Instant,
    resumption: Option<(&str, u64)>,
) -> String {
    let StreamRequest { host, key, path, http_version, plan, names_origin, .. } = request;
    let last_event = match resumption {
        Some((_, last_event)) if !names_origin => format!("Last-Event-Id: {last_event}\r\n"),
        _ => String::new(),
    };
    let prompt = PromptRequest {
        http_version,
        host,
        path: &format!("{path}{id}"),
        id,
        key,
        deadline_ms: deadline.saturating_duration_since(Instant::now()).as_millis(),
        resumption: resumption.filter(|_| names_origin),
        header_lines: &format!("{PLAN_HEADER}: {plan}\r\n{last_event}"),
    };
    prompt.to_text()
}

fn one_try(
    node: SocketAddr,
    request: &str,
    deadline: Instant,
    leaves_after: Option<u64>,
    mut on_event: impl FnMut(&ReceivedEvent),
) -> Try {
    let mut events = Vec::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT) else {
        return Try { events, end: TryEnd::Broken };
    };
    let is_sent =
        stream.set_read_timeout(Some(MAX_GAP)).and_then(|()| stream.write_all(request.as_bytes()));
    if is_sent.is_err() {
        return Try { events, end: TryEnd::Broken };
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let received = stream.read(&mut buffer);
        let is_closed = matches!(received, Ok(0));
        let length = received.as_ref().copied().unwrap_or(0);
        bytes.extend_from_slice(&buffer[..length]);
        let response = Response::parse(&bytes, is_closed);
        for event in response.events.iter().skip(events.len()) {
            on_event(event);
        }
        events = response.events;
        let last = events.last().map(|event| event.number);
        match response.end {
            None if leaves_after.is_some_and(|number| last >= Some(number)) => {
                return Try { events, end: TryEnd::Left }
            }
            Some(end) => return Try { events, end },
            None if length == 0 || Instant::now() >= deadline => {
                return Try { events, end: TryEnd::Broken }
            }
            None => {}
        }
    }
}

/// What has arrived of a response so far.
struct Response {
    events: Vec<ReceivedEvent>,
    end: Option<TryEnd>,
}

impl Response {
    fn parse(bytes: &[u8], is_closed: bool) -> Self {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let Ok(httparse::Status::Complete(head_bytes)) = response.parse(bytes) else {
            return Self { events: Vec::new(), end: None };
        };
        let status = response.code.unwrap_or_default();
        if !(200..300).contains(&status) {
            return Self { events: Vec::new(), end: Some(TryEnd::Status(status)) };
        }
        let value = |name: &str| {
            let header = response.headers.iter().find(|it| it.name.eq_ignore_ascii_case(name));
            header.map(|it| String::from_utf8_lossy(it.value).into_owned())
        };
        let body = &bytes[head_bytes..];
        let length = value("content-length").and_then(|text| text.parse::<usize>().ok());
        let (content, is_complete) = match (value("transfer-encoding"), length) {
            (Some(_), _) => decode_chunks(body),
            (None, Some(length)) => (body.to_vec(), body.len() >= length),
            (None, None) => (body.to_vec(), is_closed),
        };
        Self { events: events_of(&content), end: is_complete.then_some(TryEnd::Complete) }
    }
}

/// The content of the chunks that are complete, and whether the last one has arrived.
fn decode_chunks(mut body: &[u8]) -> (Vec<u8>, bool) {
    let mut content = Vec::new();
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(body) {
        if size == 0 {
            return (content, true);
        }
        let end = start + size as usize;
        let Some(chunk) = body.get(start..end) else { break };
        content.extend_from_slice(chunk);
        body = body.get(end + b"\r\n".len()..).unwrap_or_default();
    }
    (content, false)
}

fn events_of(content: &[u8]) -> Vec<ReceivedEvent> {
    let text = String::from_utf8_lossy(content);
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    complete.split("\n\n").filter_map(event_of).collect()
}

fn event_of(text: &str) -> Option<ReceivedEvent> {
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    let mut words = data.split(' ');
    let (run, version) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(ReceivedEvent { number: words.next()?.parse().ok()?, run, version })
}
