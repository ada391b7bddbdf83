//! Runners of two software versions, which write their version into each event, and clients that take streams up.

use super::{configuration, Fixture, RawResponse};
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, event_text_of_version, EventStream, LongPause, Reaction, RunnerStandIn,
};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

pub const LAST_EVENT: u64 = 5;
/// Target time of the route of these tests.
pub const ROUTE_TARGET: Duration = Duration::from_millis(2_000);
/// The last event that a client receives before it or its stream is interrupted.
pub const INTERRUPTED_AFTER: u64 = 1;
/// Enough streams for a node that does not regard versions to mix them.
pub const STREAMS: usize = 8;

/// What a runner does after [`INTERRUPTED_AFTER`] in a stream that it begins.
#[derive(Clone, Copy)]
pub enum Interruption {
    /// The connection ends inside an event.
    Cut,
    /// The runner pauses for longer than a node waits before it looks for another one, and goes on.
    Pause,
    /// None; each event takes a while, so that a client can leave in between.
    Slow,
}

pub fn is_run(request: &ReceivedRequest) -> bool {
    request.method == "POST" && request.path() == "/summary/1"
}

pub fn runner(id: &str, version: &'static str, interruption: Interruption) -> RunnerStandIn {
    let begun = Mutex::new(HashSet::new());
    let script = move |request: &ReceivedRequest| {
        if !is_run(request) {
            return engine_script(LAST_EVENT)(request);
        }
        let mut begun = begun.lock().unwrap();
        match request.header("resumes") {
            // A full runner: another one has to go on with the stream.
            Some(stream) if begun.contains(stream) => return Reaction::Decline,
            _ => begun.insert(request.id().unwrap_or_default().to_owned()),
        };
        let mut stream = EventStream::for_request(request, LAST_EVENT);
        stream.version = Some(version);
        let begins = request.header("last-event-id").is_none();
        match interruption {
            Interruption::Cut if begins => stream.cut_after_event = Some(INTERRUPTED_AFTER),
            Interruption::Pause if begins => {
                let length = Duration::from_millis(2_500);
                stream.long_pause = Some(LongPause { before_event: INTERRUPTED_AFTER + 1, length });
            }
            Interruption::Slow => stream.pause = Duration::from_millis(40),
            Interruption::Cut | Interruption::Pause => {}
        }
        Reaction::Stream(stream)
    };
    RunnerStandIn::start(id, script).unwrap()
}

pub struct Runners {
    pub old: Vec<RunnerStandIn>,
    pub new: Vec<RunnerStandIn>,
}

impl Runners {
    pub fn start(interruption: Interruption) -> Self {
        let of_version = |version: &'static str| {
            let number = 0..2;
            number.map(|it| runner(&format!("i-{it}-{version}"), version, interruption)).collect()
        };
        Self { old: of_version("v1"), new: of_version("v2") }
    }

    pub fn add_to(&self, node: &Fixture) {
        self.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
        self.new.iter().for_each(|runner| node.add_runner_of_version(runner, "v2"));
    }

    pub fn runs_after(&self, event: u64) -> usize {
        let requests = self.old.iter().chain(&self.new).flat_map(RunnerStandIn::requests);
        let after = event.to_string();
        let is_resumed =
            |it: &ReceivedRequest| is_run(it) && it.header("last-event-id") == Some(&after);
        requests.filter(is_resumed).count()
    }
}

/// Extra attempts that suffice for all streams of a test.
pub const RETRY_SLACK: &str = "retry_slack = 400.0\n";

/// A node without runners.
pub fn start_node() -> Fixture {
    let node = Fixture::start_with(RETRY_SLACK);
    node.store.put("op/config", &configuration(3));
    node
}

/// A node with two runners of each version.
pub fn node_with(runners: &Runners) -> Fixture {
    let node = start_node();
    runners.add_to(&node);
    node.wait_until_ready();
    node
}

/// A further node, which knows all runners and the other nodes.
pub fn peer_of(node: &Fixture, name: &str) -> Fixture {
    let peer = node.start_peer_with(name, RETRY_SLACK);
    peer.wait_until_ready();
    wait_for_digests();
    peer
}

/// Nodes send a digest each second.
pub fn wait_for_digests() {
    std::thread::sleep(Duration::from_millis(1_200));
}

/// Whether all events of a stream come from one version, and none is missing.
pub fn is_of_one_version(text: &str) -> bool {
    let whole = |version| -> String {
        (0..=LAST_EVENT).map(|id| event_text_of_version(id, version)).collect()
    };
    text == whole("v1") || text == whole("v2")
}

pub fn stream(node: &Fixture, id: &str, extra: &str) -> RawResponse {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, extra, id.as_bytes());
    client.read_response()
}

/// The part of a stream that a client receives before it leaves: whole events up to [`INTERRUPTED_AFTER`].
pub fn begin_and_leave(node: &Fixture, id: &str) -> String {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, "", id.as_bytes());
    client.wait_for_text(&format!("id: {INTERRUPTED_AFTER}\ndata: token {INTERRUPTED_AFTER} of v"));
    let version = if client.has_received("of v1") { "v1" } else { "v2" };
    (0..=INTERRUPTED_AFTER).map(|id| event_text_of_version(id, version)).collect()
}

/// Takes up a stream that was interrupted after [`INTERRUPTED_AFTER`].
pub fn take_up(node: &Fixture, stream_id: &str, id: &str) -> RawResponse {
    let extra = format!("Last-Event-Id: {INTERRUPTED_AFTER}\r\nResumes: {stream_id}\r\n");
    stream(node, id, &extra)
}

/// Takes up a stream as clients do: a refusal is followed by another try.
pub fn take_up_persistently(node: &Fixture, stream_id: &str) -> String {
    const MAX_TRIES: u64 = 4;
    let take_up_once = |number: u64| {
        std::thread::sleep(Duration::from_millis(number * 250));
        take_up(node, stream_id, &format!("{stream_id}-again-{number}"))
    };
    let mut tries = (0..MAX_TRIES).map(take_up_once);
    let rest = tries.find(|response| response.status == 200);
    rest.map(|response| response.text()).unwrap_or_default()
}

/// Begins streams and leaves each of them. Returns what the clients have received.
pub fn begin_streams(node: &Fixture) -> Vec<String> {
    (0..STREAMS).map(|number| begin_and_leave(node, &format!("id-{number}"))).collect()
}

/// Takes up the streams of [`begin_streams`], in turn at the nodes. Returns those that are not whole, or of two
/// versions.
pub fn broken_takeups(begun: Vec<String>, nodes: &[&Fixture]) -> Vec<String> {
    let take_up_one = |(number, first): (usize, String)| {
        let node = nodes[number % nodes.len()];
        let rest = take_up_persistently(node, &format!("id-{number}"));
        format!("{first}{rest}")
    };
    let texts = begun.into_iter().enumerate().map(take_up_one);
    texts.filter(|text| !is_of_one_version(text)).collect()
}
