//! Nodes whose links to runners are lost while other nodes reach the runners.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use pitchstall_platform_standins::http::{response_bytes, ReceivedRequest};
use pitchstall_platform_standins::proxy::{Link, LinkMode};
use pitchstall_platform_standins::runner::{
    engine_script, event_text, EventStream, Reaction, RunnerStandIn,
};
use pitchstall_platform_standins::store::StoreStandIn;
use pitchstall_platform_standins::store_view::AddressMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{configuration, get, wait_for, Fixture, NodeAddress, RawResponse};
use test_case::test_case;

/// How the links of a node are lost.
#[derive(Clone, Copy)]
enum Loss {
    /// Connections open and stay silent.
    Silent,
    /// Connections are reset.
    Reset,
    /// New connections are refused, and open ones are reset.
    Refused,
}

const STREAM_EVENTS: u64 = 4;

fn script(request: &ReceivedRequest) -> Reaction {
    if request.path().starts_with("/lookup/") || request.path().starts_with("/booking/") {
        return Reaction::Respond { status: 200, body: b"found".to_vec() };
    }
    engine_script(STREAM_EVENTS)(request)
}

/// Two nodes that use the same runners; the first one reaches them only through links of its own.
struct Fleet {
    runners: Vec<RunnerStandIn>,
    links: Vec<Link>,
    cut: Fixture,
    sound: Fixture,
}

impl Fleet {
    fn start() -> Self {
        let roles =
            [("desk", None), ("desk", None), ("llm", Some("prefill")), ("llm", Some("decode"))];
        let start = |number: usize| RunnerStandIn::start(&format!("i-{number}"), script).unwrap();
        let fleet = Self::with_runners((0..roles.len()).map(start).collect(), &roles);
        for node in [&fleet.cut, &fleet.sound] {
            wait_for("all routes to be served", || is_served(node, "before"));
        }
        fleet
    }

    /// A fleet of these runners, each with its service and stage.
    fn with_runners(runners: Vec<RunnerStandIn>, roles: &[(&str, Option<&str>)]) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.put("op/config", &configuration(3));
        let sound = Fixture::start_with_store(store.clone(), "sound");
        let links: Vec<Link> =
            runners.iter().map(|runner| Link::start(runner.address()).unwrap()).collect();
        let pairs = runners.iter().zip(&links);
        let addresses: AddressMap = pairs
            .map(|(runner, link)| (runner.address().to_string(), link.address().to_string()))
            .collect();
        let view = store.serve_view(addresses).unwrap();
        let cut = Fixture::start_at(NodeAddress::new(), store, view, "cut", "", "");
        for (runner, (service, stage)) in runners.iter().zip(roles) {
            sound.add_runner(runner, service, *stage);
        }
        for node in [&cut, &sound] {
            node.wait_until_ready();
        }
        Self { runners, links, cut, sound }
    }

    fn lose_links(&self, loss: Loss) {
        for link in &self.links {
            match loss {
                Loss::Silent => link.set_mode(LinkMode::Silent),
                Loss::Reset => link.set_mode(LinkMode::Resetting),
                Loss::Refused => link.close(),
            }
        }
    }
}

fn request(node: &Fixture, path: &str, id: &str) -> RawResponse {
    let mut client = node.client();
    client.request("POST", path, id, "X-Pitchstall-Deadline-Ms: 1000\r\n", b"work");
    client.read_response()
}

/// Whether a node serves a request that may not be repeated, one that may, and a stream.
fn is_served(node: &Fixture, id: &str) -> bool {
    let is_whole = |route: &str| {
        let response = request(node, &format!("/{route}/1"), &format!("{id}-{route}"));
        response.status == 200 && response.complete
    };
    ["booking", "lookup", "draft"].into_iter().all(is_whole)
}

#[test_case(Loss::Silent; "connections open and stay silent")]
#[test_case(Loss::Reset; "connections are reset")]
#[test_case(Loss::Refused; "connections are refused")]
fn a_node_without_links_to_any_runner_serves_through_other_nodes(loss: Loss) {
    const SERVED_IN_A_ROW: usize = 10;
    let fleet = Fleet::start();
    fleet.lose_links(loss);
    let mut in_a_row = 0;
    let mut sent = 0;
    wait_for("the node without links to serve", || {
        sent += 1;
        let is_served = is_served(&fleet.cut, &format!("cut-{sent}"));
        in_a_row = if is_served { in_a_row + 1 } else { 0 };
        in_a_row == SERVED_IN_A_ROW
    });
    assert!(is_served(&fleet.sound, "sound"));
}

/// Runners that hold each request until they are released, and respond to those that arrive later.
fn holding_runners(count: usize, is_released: &Arc<AtomicBool>) -> Vec<RunnerStandIn> {
    let start = |number: usize| {
        let is_released = is_released.clone();
        let script = move |request: &ReceivedRequest| match is_released.load(Ordering::SeqCst) {
            true => script(request),
            false => Reaction::Silent,
        };
        RunnerStandIn::start(&format!("i-{number}"), script).unwrap()
    };
    (0..count).map(start).collect()
}

/// Sends the same request `/booking/held` once for each runner over the cut node and loses all links while each runner
/// holds one.
fn lose_links_under_held_requests(fleet: &Fleet) {
    let is_held = |runner: &RunnerStandIn| !runner.requests().is_empty();
    std::thread::scope(|scope| {
        for number in 0..fleet.runners.len() {
            let cut = &fleet.cut;
            scope.spawn(move || request(cut, "/booking/held", &format!("held-{number}")));
        }
        wait_for("each runner to hold a request", || fleet.runners.iter().all(is_held));
        fleet.lose_links(Loss::Refused);
    });
}

#[test]
fn a_refused_link_does_not_quarantine_the_requests_that_were_open_on_it() {
    const RUNNERS: usize = 4;
    let is_released = Arc::new(AtomicBool::new(false));
    let fleet =
        Fleet::with_runners(holding_runners(RUNNERS, &is_released), &[("desk", None); RUNNERS]);
    lose_links_under_held_requests(&fleet);
    is_released.store(true, Ordering::SeqCst);
    // Other nodes are told of a crash within milliseconds.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(request(&fleet.sound, "/booking/held", "again").status, 200);
}

#[test]
fn a_request_that_ends_runners_is_quarantined_though_the_links_to_them_seemed_lost_before() {
    const RUNNERS: usize = 4;
    const ENDED: usize = 3;
    let is_released = Arc::new(AtomicBool::new(false));
    let fleet =
        Fleet::with_runners(holding_runners(RUNNERS, &is_released), &[("desk", None); RUNNERS]);
    lose_links_under_held_requests(&fleet);
    wait_for("links to count as lost", || lost_links(&fleet.cut) > RUNNERS - ENDED);
    is_released.store(true, Ordering::SeqCst);
    for runner in fleet.runners.iter().take(ENDED) {
        runner.crash();
        fleet.sound.store.remove(&format!("servers/{}", runner.id()));
    }
    wait_for("the request to be quarantined", || metric(&fleet.cut, "quarantines_total") > 0);
    assert_eq!(request(&fleet.cut, "/booking/held", "again").status, 503);
}

/// The value of one of a node's metrics; 0 if the node has not set it.
fn metric(node: &Fixture, name: &str) -> usize {
    let metrics = get(node.health, "/metrics").text();
    let prefix = format!("pitchstall_{name} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    value.map_or(0, |value| value.parse::<f64>().unwrap() as usize)
}

/// Number of links that a node has lost, by its metrics.
fn lost_links(node: &Fixture) -> usize {
    metric(node, "links_lost")
}

/// Loses all links of the cut node and waits until it serves through the other one.
fn serve_through_other_node(fleet: &Fleet, loss: Loss) {
    fleet.lose_links(loss);
    let mut sent = 0;
    wait_for("the node without links to serve", || {
        sent += 1;
        is_served(&fleet.cut, &format!("cut-{sent}")) && lost_links(&fleet.cut) > 0
    });
}

#[test]
fn a_link_that_works_again_is_used_again() {
    let fleet = Fleet::start();
    serve_through_other_node(&fleet, Loss::Silent);
    fleet.links.iter().for_each(|link| link.set_mode(LinkMode::Passing));
    wait_for("all links to be restored", || lost_links(&fleet.cut) == 0);
    let carried = || {
        let metrics = get(fleet.sound.health, "/metrics").text();
        let line =
            metrics.lines().find(|line| line.starts_with("pitchstall_tunnels_carried_total"));
        line.map(str::to_owned)
    };
    let before = carried();
    assert!(is_served(&fleet.cut, "after"));
    assert_eq!(carried(), before);
}

/// A runner that responds to the first state question after `is_late` is set so late that the node no longer waits.
fn runner_late_with_one_state(is_late: &Arc<AtomicBool>) -> RunnerStandIn {
    const LATE_BY: Duration = Duration::from_millis(1_500);
    let is_late = is_late.clone();
    let script = move |request: &ReceivedRequest| {
        if request.path() != "/v1/report" {
            return Reaction::Respond { status: 200, body: b"found".to_vec() };
        }
        if is_late.swap(false, Ordering::SeqCst) {
            std::thread::sleep(LATE_BY);
        }
        Reaction::Raw(response_bytes(400, &[("x-pitchstall-not-executed", "1")], b""))
    };
    RunnerStandIn::start("i-0", script).unwrap()
}

/// Guards against requests on a connection whose runner still owes the response to a probe.
#[test]
fn a_connection_on_which_a_probe_has_waited_in_vain_gets_no_request() {
    // Another question than a probe's may be the late one; then nothing is owed on a probe's connection.
    const FLEETS: usize = 6;
    for _ in 0..FLEETS {
        assert_eq!(bookings_after_a_late_probe(), BOOKINGS);
    }
}

const BOOKINGS: usize = 10;

/// Sends bookings after a link was restored, while the late response to one state question is owed. Returns how many were
/// served.
fn bookings_after_a_late_probe() -> usize {
    const TIME_FOR_PROBES: Duration = Duration::from_millis(400);
    let is_late = Arc::new(AtomicBool::new(false));
    let fleet = Fleet::with_runners(vec![runner_late_with_one_state(&is_late)], &[("desk", None)]);
    let is_booked = |id: &str| request(&fleet.cut, "/booking/1", id).status == 200;
    wait_for("the route to be served", || is_booked("before"));
    fleet.lose_links(Loss::Silent);
    wait_for("the link to be lost", || is_booked("cut") && lost_links(&fleet.cut) > 0);
    is_late.store(true, Ordering::SeqCst);
    fleet.links.iter().for_each(|link| link.set_mode(LinkMode::Passing));
    wait_for("the link to be restored", || lost_links(&fleet.cut) == 0);
    std::thread::sleep(TIME_FOR_PROBES);
    (0..BOOKINGS).filter(|number| is_booked(&format!("after-{number}"))).count()
}

#[test]
fn a_client_that_leaves_ends_the_run_behind_another_node() {
    let is_held = Arc::new(AtomicBool::new(false));
    let held = is_held.clone();
    let holding = move |request: &ReceivedRequest| match request.path().ends_with("/held") {
        true => {
            held.store(true, Ordering::SeqCst);
            Reaction::Silent
        }
        false => script(request),
    };
    let runner = RunnerStandIn::start("i-0", holding).unwrap();
    let fleet = Fleet::with_runners(vec![runner], &[("desk", None)]);
    fleet.lose_links(Loss::Refused);
    wait_for("a served request", || request(&fleet.cut, "/booking/1", "first").status == 200);
    let before = fleet.runners[0].closed_early();
    let mut client = fleet.cut.client();
    client.request("POST", "/booking/held", "held", "X-Pitchstall-Deadline-Ms: 9000\r\n", b"work");
    wait_for("the request to be held", || is_held.load(Ordering::SeqCst));
    drop(client);
    wait_for("the run to be ended", || fleet.runners[0].closed_early() > before);
}

#[test_case(b"{\"tunnel\":\"i-9\",\"from\":\"cut\"}\n", "unknown_runner"; "a runner that is not in the registry")]
#[test_case(b"{\"tunnel\":\"i-0\",\"from\":\"stranger\"}\n", "unknown_node"; "a node that is not known")]
fn a_tunnel_that_must_not_be_opened_is_declined(query: &[u8], reason: &str) {
    use std::io::{Read, Write};
    let runner = RunnerStandIn::start("i-0", script).unwrap();
    let fleet = Fleet::with_runners(vec![runner], &[("desk", None)]);
    let mut stream = std::net::TcpStream::connect(fleet.sound.peers).unwrap();
    stream.write_all(query).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert_eq!(reply, format!("{{\"declined\":\"{reason}\"}}\n"));
    assert!(fleet.runners[0].requests().is_empty());
}

/// Sends requests until the node has retry tokens. It earns none while those of a previous process may still be pooled.
fn earn_retries(node: &Fixture) {
    const POOLED_TOKEN_TTL: Duration = Duration::from_secs(5);
    std::thread::sleep(POOLED_TOKEN_TTL);
    for number in 0..10 {
        request(node, "/draft/1", &format!("earn-{number}"));
    }
}

#[test]
fn a_stream_that_is_half_done_when_the_links_are_lost_arrives_whole() {
    let events = |request: &ReceivedRequest| match request.path().starts_with("/summary/") {
        true if !request.is_prefill() => Reaction::Stream(EventStream {
            pause: Duration::from_millis(30),
            ..EventStream::for_request(request, 40)
        }),
        _ => script(request),
    };
    let start = |number: usize| RunnerStandIn::start(&format!("i-{number}"), events).unwrap();
    let decode = ("llm", Some("decode"));
    let fleet = Fleet::with_runners((0..2).map(start).collect(), &[decode, decode]);
    earn_retries(&fleet.cut);
    let mut client = fleet.cut.client();
    client.request("POST", "/summary/1", "whole", "X-Pitchstall-Deadline-Ms: 9000\r\n", b"{}");
    client.wait_for_text("token 10\n");
    fleet.lose_links(Loss::Reset);
    let response = client.read_response();
    let expected: String = (0..=40).map(event_text).collect();
    assert!(response.complete);
    assert_eq!(response.text(), expected);
}

/// The node that holds the authority over the fleet, by the store.
fn authority_holder(fleet: &Fleet) -> Option<String> {
    let value = fleet.sound.store.value("pitchstall/authority")?;
    Some(String::from_utf8_lossy(&value).into_owned())
}

/// A fleet in which the node whose links will be lost holds the authority. Which node gains it is random.
fn fleet_led_by_cut_node() -> Fleet {
    loop {
        let fleet = Fleet::start();
        wait_for("a holder", || authority_holder(&fleet).is_some());
        if authority_holder(&fleet).as_deref() == Some("cut") {
            return fleet;
        }
    }
}

#[test]
fn a_node_that_cannot_order_runners_hands_the_authority_over() {
    let fleet = fleet_led_by_cut_node();
    serve_through_other_node(&fleet, Loss::Silent);
    wait_for("another holder", || authority_holder(&fleet).as_deref() == Some("sound"));
}

/// Both nodes are in zone `north`, the runner is in zone `south`.
#[test]
fn a_request_passes_no_node_in_a_zone_that_the_policy_forbids() {
    const FORBIDS_OWN_ZONE: &str = "#{ zones: zones.filter(|other| other != zone) }";
    let file = std::env::temp_dir().join(format!("pitchstall-{}-tunnel.rhai", std::process::id()));
    std::fs::write(&file, FORBIDS_OWN_ZONE).unwrap();
    let policy = format!("[policy]\nprogram = \"{}\"\n", file.display());
    let runner = RunnerStandIn::start("i-0", script).unwrap();
    let link = Link::start(runner.address()).unwrap();
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &configuration(3));
    let view = AddressMap::default();
    view.insert(runner.address().to_string(), link.address().to_string());
    let view = store.serve_view(view).unwrap();
    let sound = Fixture::start_with_store(store.clone(), "sound");
    let cut = Fixture::start_at(NodeAddress::new(), store, view, "cut", "", &policy);
    sound.put_runner_in("south", &runner, "desk", None, "ready");
    sound.wait_until_ready();
    cut.wait_until_ready();
    assert_eq!(request(&cut, "/booking/1", "own-link").status, 200);
    link.close();
    let before = runner.requests().len();
    for number in 0..5 {
        assert_ne!(request(&cut, "/booking/1", &format!("forbidden-{number}")).status, 200);
    }
    assert_eq!(runner.requests().len(), before);
    std::fs::remove_file(file).unwrap();
}
