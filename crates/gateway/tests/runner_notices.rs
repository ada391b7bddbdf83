//! Runners that say in their answers that they leave, or that they want rest.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, refusal_with_notice, signed_response_with_notice, EventStream, NoticeHeaders,
    Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{get, runner_entry, wait_for, Fixture, RawAnswer};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";

const LEAVING: NoticeHeaders = NoticeHeaders { leaving: true, retry_after: None, limit: None };
/// Longer than any of these tests.
const LONG_REST: NoticeHeaders =
    NoticeHeaders { leaving: false, retry_after: Some("120"), limit: None };

fn answering(text: &'static str) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    move |_| Reaction::Respond { status: 200, body: text.as_bytes().to_vec() }
}

fn ask(node: &Fixture, path: &str, id: &str) -> RawAnswer {
    let mut client = node.client();
    client.request("POST", path, id, PROMPT, b"{}");
    client.read_answer()
}

/// Requests enough that a runner which is a candidate gets some.
fn ask_often(node: &Fixture, path: &str) {
    for number in 0..12 {
        ask(node, path, &format!("id-{number}"));
    }
}

/// A runner that turns each request to write an answer away and asks for rest.
fn resting_writer() -> RunnerStandIn {
    let script = |request: &ReceivedRequest| match request.method.as_str() {
        "POST" => Reaction::Raw(refusal_with_notice(request, LONG_REST)),
        _ => engine_script(3)(request),
    };
    RunnerStandIn::start("w-1", script).unwrap()
}

/// Two runners of the service without prompts, one of which does what a script says.
fn node_with_one_that(
    script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
) -> (Fixture, RunnerStandIn) {
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let other = RunnerStandIn::start("i-2", answering("other")).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None), (&other, "desk", None)]);
    (node, one)
}

/// The store has not heard of it: the entry says `ready` all the time. One request is enough for the node to know.
#[test]
fn a_runner_that_says_that_it_leaves_gets_no_more_requests() {
    let whole = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, LEAVING, b"whole"))
    };
    let failure = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 500, LEAVING, b"failure"))
    };
    let declined = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LEAVING));
    let broken_off = |request: &ReceivedRequest| {
        let bytes = signed_response_with_notice(request, 200, LEAVING, b"broken off");
        Reaction::RawThenReset(bytes[..bytes.len() - 1].to_vec())
    };
    let unsigned = |request: &ReceivedRequest| {
        let bytes = signed_response_with_notice(request, 200, LEAVING, b"unsigned");
        let text = String::from_utf8(bytes).unwrap();
        Reaction::Raw(text.replace("x-pitchstall-server-stamp", "x-other").into_bytes())
    };
    type Script = fn(&ReceivedRequest) -> Reaction;
    let answers: [(&str, Script); 5] = [
        ("whole", whole),
        ("a failure of its own", failure),
        ("turned away", declined),
        ("broken off", broken_off),
        ("unsigned", unsigned),
    ];
    for (kind, script) in answers {
        let (node, leaving) = node_with_one_that(script);
        ask_often(&node, "/lookup/1");
        assert_eq!(leaving.requests().len(), 1, "{kind}");
    }
}

/// It turns one request away and says for how long it wants none.
#[test]
fn a_runner_that_asks_for_rest_gets_no_request_before_its_end() {
    let script = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LONG_REST));
    let (node, resting) = node_with_one_that(script);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(600) {
        assert_eq!(ask(&node, "/lookup/1", "id").status, 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(resting.requests().len(), 1);
}

/// Prompts are being read when the runner that is to write some of them turns another request away and asks for
/// rest: none of them goes to it.
#[test]
fn a_prompt_that_has_been_read_is_not_written_by_a_runner_that_wants_rest() {
    let resting = resting_writer();
    let posts_at = |runner: &RunnerStandIn| {
        let requests = runner.requests();
        requests.into_iter().filter(|request| request.method == "POST").count()
    };
    let awaited = resting.clone();
    let reader = RunnerStandIn::start("r-1", move |request: &ReceivedRequest| {
        if request.path().starts_with("/summary/held") {
            wait_for("the other runner to ask for rest", || posts_at(&awaited) > 0);
            std::thread::sleep(Duration::from_millis(50));
        }
        engine_script(3)(request)
    });
    let stream = |request: &ReceivedRequest| {
        let pause = Duration::from_millis(50);
        Reaction::Stream(EventStream { pause, ..EventStream::for_request(request, 3) })
    };
    let other = RunnerStandIn::start("w-2", stream).unwrap();
    let node = Fixture::with_runners(&[
        (&reader.unwrap(), "llm", Some("prefill")),
        (&resting, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
    ]);
    std::thread::scope(|scope| {
        for number in 0..6 {
            let node = &node;
            scope.spawn(move || ask(node, "/summary/held", &format!("id-held-{number}")));
        }
        std::thread::sleep(Duration::from_millis(100));
        let mut number = 0;
        wait_for("a request for the runner that asks for rest", || {
            number += 1;
            let (node, id) = (&node, format!("id-quick-{number}"));
            scope.spawn(move || ask(node, "/summary/quick", &id));
            std::thread::sleep(Duration::from_millis(20));
            posts_at(&resting) > 0
        });
    });
    assert_eq!(posts_at(&resting), 1);
}

/// Its entry is written again, lapses and is back, as long as the store has not heard that it leaves.
#[test]
fn an_entry_that_says_ready_takes_no_word_back() {
    let script = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, LEAVING, b"leaving"))
    };
    let (node, leaving) = node_with_one_that(script);
    ask_often(&node, "/lookup/1");
    assert_eq!(leaving.requests().len(), 1);
    let mut entry = runner_entry(&leaving, "desk", "north", "ready");
    entry["slots"] = 16.into();
    node.store.put("servers/i-1", &entry);
    std::thread::sleep(Duration::from_millis(200));
    ask_often(&node, "/lookup/1");
    node.store.remove("servers/i-1");
    std::thread::sleep(Duration::from_millis(200));
    node.store.put("servers/i-1", &entry);
    std::thread::sleep(Duration::from_millis(200));
    ask_often(&node, "/lookup/1");
    assert_eq!(leaving.requests().len(), 1);
}

/// All runners rest for longer than a request may wait: it is refused at once, and that is true.
#[test]
fn a_request_is_refused_at_once_while_all_its_runners_rest() {
    let rest = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LONG_REST));
    let one = RunnerStandIn::start("i-1", rest).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(ask(&node, "/booking/1", "id-first").status, 503);
    for number in 0..20 {
        let answer = ask(&node, "/booking/1", &format!("id-{number}"));
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(one.requests().len(), 1);
    let metrics = get(node.health, "/metrics").text();
    assert!(metrics.contains("pitchstall_unwanted_attempts_total 0"));
    assert!(metrics.contains("pitchstall_runner_notices_total{notice=\"rest\"} 1"));
}

/// The rest ends within the time that a request waits: it is held that long, and served.
#[test]
fn a_request_waits_for_the_end_of_a_short_rest() {
    let has_declined = AtomicBool::new(false);
    let short = NoticeHeaders { leaving: false, retry_after: Some("0.2"), limit: None };
    let script = move |request: &ReceivedRequest| match has_declined.swap(true, Ordering::SeqCst) {
        false => Reaction::Raw(refusal_with_notice(request, short)),
        true => Reaction::Respond { status: 200, body: b"served".to_vec() },
    };
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let declined = std::thread::scope(|scope| {
        let declined = scope.spawn(|| ask(&node, "/booking/1", "id-declined"));
        wait_for("the runner to ask for rest", || !one.requests().is_empty());
        std::thread::sleep(Duration::from_millis(20));
        assert_eq!(ask(&node, "/booking/1", "id-held").text(), "served");
        declined.join().unwrap()
    });
    assert_eq!(declined.status, 503, "the runner that has turned it away is the only one");
    let waited = one.requests();
    assert_eq!(waited.len(), 2);
}

/// The address belongs to another runner now, which says that it leaves: the one that is meant does not.
#[test]
fn what_another_runner_says_at_the_address_is_not_believed() {
    let is_other = Arc::new(AtomicBool::new(true));
    let other = is_other.clone();
    let script = move |request: &ReceivedRequest| {
        if !other.load(Ordering::SeqCst) {
            return Reaction::Respond { status: 200, body: b"meant".to_vec() };
        }
        let id = request.header("x-pitchstall-request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 421 Status\r\nx-pitchstall-request-id: {id}\r\n\
             x-pitchstall-instance-id: another\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"
        );
        Reaction::Raw(head.into_bytes())
    };
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(ask(&node, "/booking/1", "id-1").status, 503);
    is_other.store(false, Ordering::SeqCst);
    let mut entry = runner_entry(&one, "desk", "north", "ready");
    entry["slots"] = 16.into();
    node.store.put("servers/i-1", &entry);
    wait_for("the runner to be used again", || ask(&node, "/booking/1", "id-2").text() == "meant");
}

/// Another node chooses for this one, and has not heard what the runner has said to it.
#[test]
fn what_a_scheduler_chooses_is_not_sent_to_a_runner_that_wants_none() {
    let resting = resting_writer();
    let stream = |request: &ReceivedRequest| Reaction::Stream(EventStream::for_request(request, 3));
    let other = RunnerStandIn::start("w-2", stream).unwrap();
    let first = Fixture::with_runners(&[
        (&resting, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
    ]);
    let nodes = [first.start_beside("node-2"), first.start_beside("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    let was_told = |node: &Fixture| {
        let metrics = get(node.health, "/metrics").text();
        !metrics.contains("pitchstall_placements_told_total 0")
    };
    wait_for("two nodes to be told by the third", || {
        nodes.iter().for_each(|node| ask_often(node, "/summary/1"));
        nodes.iter().filter(|node| was_told(node)).count() == 2
    });
    nodes.iter().for_each(|node| ask_often(node, "/summary/1"));
    let posts = resting.requests().into_iter().filter(|request| request.method == "POST");
    assert!(posts.count() <= nodes.len(), "one for each node that it has told");
}
