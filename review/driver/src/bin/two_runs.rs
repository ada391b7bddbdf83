//! A model runner turns slow while it writes a stream that may be resumed. Another runner may take the stream over, but
//! the two must not run it at the same time for more than 400 ms.

use pitchstall_platform_standins::http::{response_bytes, serve, Connection, ReceivedRequest};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use review_driver::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const HOST: &str = "llm.example";
const MODELS: &str = "dispatch-llm";
const DESK: &str = "desk-app";
const ZONES: [&str; 2] = ["brest-hall", "quimper-hall"];
/// Time for a token at the usual pace.
const TOKEN: Duration = Duration::from_millis(30);
/// An event carries this many tokens.
const TOKENS_PER_EVENT: u32 = 20;
const EVENTS: u64 = 6;
/// A slow runner works this many times as long.
const SLOWDOWN: u32 = 8;
const PREFILL: Duration = Duration::from_millis(20);
/// The rule: for so long the previous runner may still be at work.
const ALLOWED: Duration = Duration::from_millis(400);
const STREAM: &str = "stream";
const USUAL_REQUESTS: u64 = 30;

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

/// One run of a request, from its first token.
#[derive(Clone)]
struct Run {
    request: String,
    runner: &'static str,
    first_token: Duration,
    end: Option<Duration>,
    events: u64,
}

/// A model runner.
#[derive(Clone)]
struct Engine {
    name: &'static str,
    is_slow: Arc<AtomicBool>,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    handles: Arc<AtomicU64>,
}

impl Engine {
    /// Works for so long at the usual pace; `false` if the connection is closed meanwhile.
    fn work(&self, connection: &mut Connection, usual: Duration) -> bool {
        const STEP: Duration = Duration::from_millis(5);
        let mut left = usual;
        while !left.is_zero() {
            std::thread::sleep(STEP);
            let done = if self.is_slow.load(Ordering::SeqCst) { STEP / SLOWDOWN } else { STEP };
            left = left.saturating_sub(done);
            if connection.is_closed() {
                return false;
            }
        }
        true
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            if !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, connection: &mut Connection, request: &ReceivedRequest) -> bool {
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/report") => {
                let report = json!({"stage": "decode", "models": [], "busy": false, "seq": 0, "queued": 0, "running": 0,
                    "kv_used": 0, "kv_total": 433612, "handles": 0});
                return connection.write(&response_bytes(200, &[], report.to_string().as_bytes()));
            }
            ("GET", "/v1/kv-list") => {
                let list = br#"{"epoch":"e","next_token":0,"held":[]}"#;
                return connection.write(&response_bytes(200, &[], list));
            }
            ("DELETE", _) => return connection.write(&response_bytes(200, &[], b"")),
            ("POST", "/v1/order") => {
                self.record.line(&format!("{} gets an order and answers 409", self.name));
                return connection.write(&response_bytes(409, &[], b""));
            }
            _ => {}
        }
        let id = request.id().unwrap_or_default().to_owned();
        if request.is_prefill() {
            return self.prefill(connection, &id);
        }
        let after: u64 =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.record.line(&format!("{id} reaches {}, after event {after}", self.name));
        if !self.work(connection, TOKEN) {
            self.record
                .line(&format!("{id} at {}: connection closed before the first token", self.name));
            return false;
        }
        let index = self.begin(&id);
        let is_whole = self.stream(connection, &id, after, index);
        self.update(index, |run, now| run.end = Some(now));
        let end = if is_whole { "ends" } else { "stops, its connection is closed" };
        self.record.line(&format!("{id} at {} {end}", self.name));
        is_whole
    }

    fn prefill(&self, connection: &mut Connection, id: &str) -> bool {
        let number = self.handles.fetch_add(1, Ordering::SeqCst);
        let body =
            json!({"kv_handle": format!("h{number}"), "tokens": 1460, "version": 1}).to_string();
        self.work(connection, PREFILL)
            && connection.write(&response_bytes(
                200,
                &[("X-Pitchstall-Request-Id", id)],
                body.as_bytes(),
            ))
    }

    fn begin(&self, id: &str) -> usize {
        self.record.line(&format!("{id} at {}: first token", self.name));
        let first_token = self.record.now();
        let run =
            Run { request: id.to_owned(), runner: self.name, first_token, end: None, events: 0 };
        let mut runs = self.runs.lock().unwrap_or_else(|error| error.into_inner());
        runs.push(run);
        runs.len() - 1
    }

    fn update(&self, index: usize, change: impl FnOnce(&mut Run, Duration)) {
        let now = self.record.now();
        let mut runs = self.runs.lock().unwrap_or_else(|error| error.into_inner());
        change(&mut runs[index], now);
    }

    /// Writes the events after `after`. The head goes out with the first one.
    fn stream(&self, connection: &mut Connection, id: &str, after: u64, index: usize) -> bool {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nX-Pitchstall-Request-Id: {id}\r\nX-Pitchstall-Server-Stamp: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        let mut tokens = TOKENS_PER_EVENT - 1;
        for event in after + 1..=EVENTS {
            if !self.work(connection, TOKEN * tokens) {
                return false;
            }
            tokens = TOKENS_PER_EVENT;
            let text = format!("id: {event}\ndata: {event}\n\n");
            let chunk = format!("{}{:x}\r\n{text}\r\n", std::mem::take(&mut head), text.len());
            if !connection.write(chunk.as_bytes()) {
                return false;
            }
            self.record.line(&format!("{id} at {}: event {event}", self.name));
            self.update(index, |run, _| run.events += 1);
        }
        connection.write(format!("{head}0\r\n\r\n").as_bytes())
    }
}

fn route(name: &str, kind: &str, target_ms: u64, timeout_ms: u64, service: &str) -> Value {
    let is_stream = kind == "streaming";
    json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": timeout_ms,
        "target_ms": target_ms, "priority": 1, "service": service, "max_attempts": 2, "sticky": is_stream,
        "resumable": is_stream, "gap_target_ms": 600})
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [
            route("handover", "streaming", 800, 6_000, MODELS),
            route("check", "streaming", 3_000, 6_000, MODELS),
            route("fare", "idempotent", 100, 1_000, DESK),
        ],
        "services": [
            {"name": MODELS, "health_path": "/health", "max_conns": 360,
             "engine": {"slots": 64, "kv_tokens": 433612, "handle_ttl_s": 5.0}},
            {"name": DESK, "health_path": "/health", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

fn prompt(id: &str, route: &str, deadline_ms: u64) -> Vec<u8> {
    const HEADERS: &str = "X-Pitchstall-Model: m\r\nX-Pitchstall-Token-Count: 1460,120\r\n\
                           X-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
    request("POST", HOST, &format!("/{route}/1"), id, deadline_ms, HEADERS, id.as_bytes())
}

/// Sends the usual traffic of streams and waits for its answers.
fn send_usual_traffic(node: SocketAddr, record: &Record) {
    let send = |number: u64| {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20 * number));
            let id = format!("usual-{number}");
            let mut client = Client::connect(node).ok()?;
            Some(client.exchange(&prompt(&id, "handover", 6_000), Duration::from_secs(8)))
        })
    };
    let threads: Vec<_> = (0..USUAL_REQUESTS).map(send).collect();
    let answers = threads.into_iter().filter_map(|thread| thread.join().ok().flatten());
    let whole =
        answers.filter(|answer| matches!(answer, Answer::Whole { status: 200, .. })).count();
    record.line(&format!("usual traffic: {whole} of {USUAL_REQUESTS} answers are whole"));
}

/// Sends short requests to the desk's runner until it is told to stop.
fn send_short_requests(node: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = stop.clone();
    std::thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(mut client) = Client::connect(node) {
                let id = format!("fare-{number}");
                client.exchange(
                    &request("GET", HOST, "/fare/1", &id, 1_000, "", b""),
                    Duration::from_secs(1),
                );
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    })
}

fn describe(answer: &Answer) -> String {
    match answer {
        Answer::Whole { status, body, .. } => {
            format!("{status}, {} events", String::from_utf8_lossy(body).matches("id:").count())
        }
        other => format!("{other:?}"),
    }
}

/// The longest time for which two runners ran the request together.
fn longest_overlap(runs: &[Run], request: &str, now: Duration) -> Duration {
    let of_request: Vec<&Run> = runs.iter().filter(|run| run.request == request).collect();
    let mut longest = Duration::ZERO;
    for first in &of_request {
        for second in of_request
            .iter()
            .filter(|it| it.runner != first.runner && it.first_token >= first.first_token)
        {
            let end = first.end.unwrap_or(now).min(second.end.unwrap_or(now));
            longest = longest.max(end.saturating_sub(second.first_token));
        }
    }
    longest
}

fn run() -> Option<i32> {
    let places = Places::from_arguments()?;
    let record = Record::create(&places.record).ok()?;
    let store = StoreStandIn::start().ok()?;
    put_configuration(&store, &configuration());
    let (runs, handles) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicU64::new(1)));
    let mut engines = Vec::new();
    let placed = [
        ("reader", ZONES[0], "prefill"),
        ("writer-a", ZONES[0], "decode"),
        ("writer-b", ZONES[1], "decode"),
    ];
    for (name, zone, stage) in placed {
        let (record, runs, handles) = (record.clone(), runs.clone(), handles.clone());
        let engine = Engine { name, is_slow: Arc::default(), record, runs, handles };
        let served = engine.clone();
        let address = serve(move |connection| served.serve(connection)).ok()?;
        put_runner(&store, name, MODELS, address, zone, Some(stage));
        engines.push(engine);
    }
    let confirm =
        |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"confirmed\n".to_vec() };
    let desk = RunnerStandIn::start("desk", confirm).ok()?;
    put_runner(&store, desk.id(), DESK, desk.address(), ZONES[0], None);
    let node = start_node(&places, "front-1", ZONES[0], &ZONES, store.address()).ok()?;
    let other = start_node(&places, "front-2", ZONES[1], &ZONES, store.address()).ok()?;
    if !wait_until_ready(&[&node, &other]) {
        record.line("the nodes did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    send_usual_traffic(node.callers, &record);
    let stop = Arc::new(AtomicBool::new(false));
    let short_requests = send_short_requests(node.callers, &stop);
    let mut client = Client::connect(node.callers).ok()?;
    record.line("a client sends stream");
    client.send(&prompt(STREAM, "handover", 6_000));
    let writer = wait_for_second_event(&record, &runs)?;
    let writer = engines.iter().find(|engine| engine.name == writer)?;
    if places.trouble {
        writer.is_slow.store(true, Ordering::SeqCst);
        record.line(&format!("{} turns slow: it works {SLOWDOWN} times as long", writer.name));
    }
    std::thread::sleep(Duration::from_millis(60));
    let check = send_check(node.callers, &record);
    let answer = client.read_answer(Duration::from_secs(8));
    record.line(&format!("the client of stream gets {}", describe(&answer)));
    let checked = check.join().ok()??;
    record.line(&format!("the client of check gets {}", describe(&checked)));
    stop.store(true, Ordering::SeqCst);
    let _ = short_requests.join();
    std::thread::sleep(Duration::from_millis(300));
    let runs = runs.lock().ok()?;
    let longest = longest_overlap(&runs, STREAM, record.now());
    let text = format!("two runners ran stream at the same time for {} ms", longest.as_millis());
    record.line(&text);
    println!("{text}");
    Some(if longest > ALLOWED { BROKEN } else { HELD })
}

/// A client's later try of another request, with what is left of its time.
fn send_check(node: SocketAddr, record: &Record) -> JoinHandle<Option<Answer>> {
    record.line("a client sends check, with 3000 ms left");
    std::thread::spawn(move || {
        let mut client = Client::connect(node).ok()?;
        Some(client.exchange(&prompt("check", "check", 3_000), Duration::from_secs(5)))
    })
}

/// The runner that has written the second event of the stream; `None` if none has in time.
fn wait_for_second_event(record: &Record, runs: &Mutex<Vec<Run>>) -> Option<&'static str> {
    let end = record.now() + Duration::from_secs(4);
    while record.now() < end {
        let found = runs
            .lock()
            .ok()?
            .iter()
            .find(|run| run.request == STREAM && run.events >= 2)
            .map(|run| run.runner);
        if found.is_some() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}
