//! Each check finds a violation in a history that contains one, and none in a correct history.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_platform_standins::runner::event_text;
use pitchstall_soak::checks::{request_body, violations};
use pitchstall_soak::fleet::{response_body, LAST_EVENT};
use pitchstall_soak::history::{Event, Outcome, RequestKind, TimedEvent};
use pitchstall_soak::regions::{id_with_node, is_from_other_zone};
use pitchstall_soak::tenants::{tenant_of, LIMITED};
use test_case::test_case;

const SECOND: u64 = 1_000_000;

fn sent(at: u64, request: &str, kind: RequestKind) -> TimedEvent {
    (at, Event::Sent { request: request.to_owned(), kind, node: 0 })
}

fn ran(at: u64, request: &str, runner: &str) -> TimedEvent {
    let body = request_body(request).into_bytes();
    (at, Event::Ran { request: request.to_owned(), runner: runner.to_owned(), body })
}

fn ended(at: u64, request: &str, outcome: Outcome) -> TimedEvent {
    (at, Event::Ended { request: request.to_owned(), outcome })
}

fn complete(request: &str, status: u16, body: String) -> Outcome {
    Outcome::Complete { status, echoed_id: Some(request.to_owned()), body: body.into_bytes() }
}

fn own_response(request: &str) -> Outcome {
    complete(request, 200, response_body(request))
}

fn stream(ids: impl Iterator<Item = u64>) -> Outcome {
    complete("r", 200, ids.map(event_text).collect())
}

fn broken_promises(events: &[TimedEvent]) -> Vec<&'static str> {
    let mut promises: Vec<_> = violations(events).into_iter().map(|it| it.promise).collect();
    promises.dedup();
    promises
}

fn exchange(kind: RequestKind, outcome: Outcome) -> Vec<TimedEvent> {
    vec![sent(1, "r", kind), ran(2, "r", "i-1"), ended(3, "r", outcome)]
}

#[test_case(RequestKind::Repeatable, own_response("r"); "a response")]
#[test_case(RequestKind::AtMostOnce, Outcome::Disconnected; "a lost connection")]
#[test_case(RequestKind::ResumableStream, stream(0..=LAST_EVENT); "a stream")]
#[test_case(RequestKind::Repeatable, complete("r", 503, String::new()); "a refused repeatable request")]
fn a_correct_history_has_no_violations(kind: RequestKind, outcome: Outcome) {
    assert_eq!(violations(&exchange(kind, outcome)), []);
}

#[test_case(RequestKind::Repeatable, own_response("other"); "another answer")]
#[test_case(RequestKind::Repeatable, complete("r", 200, "answer".to_owned()); "an incomplete response")]
#[test_case(RequestKind::Repeatable, Outcome::Malformed; "not an HTTP response")]
fn a_wrong_response_is_found(kind: RequestKind, outcome: Outcome) {
    assert_eq!(broken_promises(&exchange(kind, outcome)), ["the whole answer to its own request"]);
}

#[test_case(stream(0..LAST_EVENT); "the last event is missing")]
#[test_case(stream((0..=LAST_EVENT).filter(|id| *id != 3)); "another event is missing")]
#[test_case(stream((0..=LAST_EVENT).chain([LAST_EVENT])); "the last event is repeated")]
fn an_incomplete_stream_is_found(outcome: Outcome) {
    assert_eq!(
        broken_promises(&exchange(RequestKind::ResumableStream, outcome)),
        ["a stream whole and in order"]
    );
}

#[test]
fn a_second_run_of_an_at_most_once_request_is_found() {
    let mut events = exchange(RequestKind::AtMostOnce, own_response("r"));
    events.push(ran(9, "r", "i-2"));
    assert_eq!(broken_promises(&events), ["at most once"]);
}

#[test]
fn a_false_refusal_is_found_also_if_the_run_comes_later() {
    let refused = ended(2, "r", complete("r", 503, String::new()));
    let events = [sent(1, "r", RequestKind::AtMostOnce), refused, ran(9, "r", "i-1")];
    assert_eq!(broken_promises(&events), ["a refusal is true"]);
}

#[test]
fn a_run_without_a_request_is_found() {
    assert_eq!(broken_promises(&[ran(1, "r", "i-1")]), ["runners run only what was asked"]);
}

#[test]
fn a_runner_that_sees_a_key_or_no_tenant_is_found() {
    let mut events = exchange(RequestKind::Repeatable, own_response("r"));
    let (request, runner) = ("r".to_owned(), "i-1".to_owned());
    events.push((2, Event::TenantIdentityFault { request, runner }));
    assert_eq!(broken_promises(&events), ["runners are told the tenant and not the key"]);
}

fn report(at: u64, window: u64, count: u64) -> TimedEvent {
    (at, Event::UsageReported { window, counts: format!("{{\"taxis\":{count}}}") })
}

#[test]
fn different_usage_reports_of_one_window_are_found() {
    let identical = [report(1, 7, 3), report(2, 8, 4), report(3, 7, 3)];
    assert_eq!(violations(&identical), []);
    let different = [report(1, 7, 3), report(2, 7, 4)];
    assert_eq!(broken_promises(&different), ["one usage report for a window"]);
}

fn probe(at: u64, request: &str, version: u64, status: u16) -> [TimedEvent; 2] {
    let response = if status == 200 {
        own_response(request)
    } else {
        complete(request, status, String::new())
    };
    [sent(at, request, RequestKind::Probe { version }), ended(at + 1, request, response)]
}

#[test]
fn a_configuration_that_is_late_is_found_unless_the_node_was_disturbed() {
    let configured = (0, Event::Configured { version: 4 });
    let [probe_sent, probe_ended] = probe(9 * SECOND, "r", 4, 404);
    let late = [configured.clone(), probe_sent.clone(), probe_ended.clone()];
    assert_eq!(broken_promises(&late), ["a configuration is in force in time"]);
    let disturbed = (7 * SECOND, Event::Disturbed { node: Some(0) });
    assert_eq!(violations(&[configured, disturbed, probe_sent, probe_ended]), []);
}

#[test]
fn a_configuration_that_reverts_within_one_incarnation_is_found() {
    let started = |at| (at, Event::NodeStarted { node: 0 });
    let [new, new_end] = probe(SECOND, "a", 7, 200);
    let [old, old_end] = probe(2 * SECOND, "b", 4, 200);
    let runs = [ran(SECOND, "a", "i-1"), ran(2 * SECOND, "b", "i-1")];
    let mut events = vec![started(0), new, new_end, old, old_end];
    events.extend(runs);
    assert_eq!(broken_promises(&events), ["a configuration never reverts"]);
    events.insert(3, started(3 * SECOND / 2));
    assert_eq!(violations(&events), []);
}

#[test]
fn work_for_a_draining_runner_is_found() {
    let mut events = vec![(0, Event::Draining { runner: "i-1".to_owned() })];
    events.push(sent(9 * SECOND, "r", RequestKind::Repeatable));
    events.push(ran(9 * SECOND, "r", "i-1"));
    events.push(ended(9 * SECOND + 1, "r", own_response("r")));
    assert_eq!(broken_promises(&events), ["a leaving runner gets no work"]);
}

fn arrived(at_us: u64, request: &str, runner: &str) -> TimedEvent {
    (at_us, Event::Arrived { request: request.to_owned(), runner: runner.to_owned() })
}

/// A fault of the store does not excuse a node that sends work to a runner which announced that it
/// is leaving; a restart of the node does.
#[test]
fn work_for_a_runner_that_announced_leaving_is_found() {
    let reported = Event::LeavingReported { request: "a".to_owned(), runner: "i-1".to_owned() };
    let exchange = |at_us, request: &str| {
        let response = own_response(request);
        [
            sent(at_us, request, RequestKind::Repeatable),
            ran(at_us, request, "i-1"),
            ended(at_us + 1, request, response),
        ]
    };
    let mut events = vec![(SECOND / 2, Event::Disturbed { node: None }), (SECOND, reported)];
    events.extend(exchange(SECOND, "a"));
    events.extend(exchange(2 * SECOND, "b"));
    events.push(arrived(2 * SECOND, "b", "i-1"));
    assert_eq!(violations(&events), [], "within the drain bound");
    events.extend(exchange(4 * SECOND, "c"));
    events.push(arrived(4 * SECOND, "c", "i-1"));
    assert_eq!(broken_promises(&events), ["a runner that says that it leaves gets no work"]);
    events.push((3 * SECOND, Event::NodeStarted { node: 0 }));
    assert_eq!(violations(&events), []);
}

#[test]
fn a_third_request_during_a_pause_is_found() {
    let backoff = |backoff_us| {
        let (request, runner) = ("a".to_owned(), "i-1".to_owned());
        (0, Event::BackoffRequested { request, runner, backoff_us })
    };
    let mut events = vec![sent(0, "a", RequestKind::Repeatable), backoff(2 * SECOND)];
    for (number, at_us) in [SECOND / 4, SECOND, SECOND + 1, 3 * SECOND].into_iter().enumerate() {
        let request = format!("r-{number}");
        events.push(sent(at_us, &request, RequestKind::Repeatable));
        events.push(arrived(at_us, &request, "i-1"));
    }
    assert_eq!(violations(&events), [], "two during the pause, others before and after");
    events.push(sent(SECOND, "third", RequestKind::Repeatable));
    events.push(arrived(SECOND + 2, "third", "i-1"));
    assert_eq!(broken_promises(&events), ["a runner that asks for rest gets it"]);
}

/// A runner that has begun to crash declines request "a" of node 0, asks for a pause of two seconds, and gets three requests
/// from `arrivals_us` on. Its next incarnation starts after one second.
fn pause_of_a_crashing_runner(arrivals_us: u64) -> Vec<TimedEvent> {
    let (request, runner) = ("a".to_owned(), "i-1".to_owned());
    let crashed = Event::RunnerCrashed { runner: runner.clone(), cause: None };
    let started = Event::RunnerStarted { runner: runner.clone() };
    let asked = Event::BackoffRequested { request, runner, backoff_us: 2 * SECOND };
    let mut events =
        vec![(0, crashed), sent(1, "a", RequestKind::Repeatable), (2, asked), (SECOND, started)];
    for (number, at_us) in (arrivals_us..arrivals_us + 3).enumerate() {
        let request = format!("r-{number}");
        events.push(sent(at_us, &request, RequestKind::Repeatable));
        events.push(arrived(at_us, &request, "i-1"));
    }
    events.sort_by_key(|(at_us, _)| *at_us);
    events
}

#[test]
fn a_pause_that_a_crashing_runner_asked_for_does_not_bind_its_next_incarnation() {
    assert_eq!(violations(&pause_of_a_crashing_runner(SECOND + 1)), []);
}

#[test]
fn requests_during_the_pause_of_a_crashing_runner_are_found_until_its_next_incarnation_starts() {
    let found = broken_promises(&pause_of_a_crashing_runner(SECOND - 10));
    assert_eq!(found, ["a runner that asks for rest gets it"]);
}

#[test]
fn a_broken_pause_names_the_requests_and_their_times() {
    let found = violations(&pause_of_a_crashing_runner(SECOND - 10));
    let detail = "3 from node 0 at i-1, which asked for rest in a at 2 us: \
                  r-0 at 999990 us, r-1 at 999991 us, r-2 at 999992 us";
    assert_eq!(found[0].detail, detail);
}

#[test]
fn a_pause_that_the_next_incarnation_asked_for_itself_is_checked() {
    let mut events = pause_of_a_crashing_runner(2 * SECOND);
    let (request, runner) = ("b".to_owned(), "i-1".to_owned());
    let asked = Event::BackoffRequested { request, runner, backoff_us: 2 * SECOND };
    events.push(sent(SECOND + 1, "b", RequestKind::Repeatable));
    events.push((SECOND + 2, asked));
    events.sort_by_key(|(at_us, _)| *at_us);
    assert_eq!(broken_promises(&events), ["a runner that asks for rest gets it"]);
}

#[test]
fn a_request_that_a_planned_stop_cuts_is_found() {
    let stop = (9 * SECOND, Event::PlannedStop { node: 0 });
    let cut = [
        sent(9 * SECOND - 1, "r", RequestKind::Repeatable),
        ran(9 * SECOND - 1, "r", "i-1"),
        stop,
        ended(9 * SECOND + 5, "r", Outcome::Disconnected),
    ];
    assert_eq!(broken_promises(&cut), ["a planned stop cuts nothing"]);
}

/// Guards against blaming a planned stop for streams that a runner aborted. With seed 18, a runner
/// aborted four streams just after planned stops, when the new processes had no retry budget yet. A
/// stream that another runner has resumed must still be completed by the node.
#[test]
fn a_stream_aborted_by_its_runner_is_not_blamed_on_the_planned_stop() {
    let aborted = (9 * SECOND, Event::StreamAborted { request: "r".to_owned() });
    let stop = (9 * SECOND, Event::PlannedStop { node: 0 });
    let begun =
        [sent(9 * SECOND - 1, "r", RequestKind::Repeatable), ran(9 * SECOND - 1, "r", "i-1")];
    let cut = ended(9 * SECOND + 5, "r", Outcome::Disconnected);
    let by_runner = [&begun[..], &[aborted.clone(), stop.clone(), cut.clone()]].concat();
    assert_eq!(broken_promises(&by_runner), Vec::<&str>::new());
    let again = ran(9 * SECOND + 1, "r", "i-2");
    let by_stop = [&begun[..], &[aborted, stop, again, cut]].concat();
    assert_eq!(broken_promises(&by_stop), ["a planned stop cuts nothing"]);
}

#[test]
fn a_stream_that_a_node_ends_though_its_runner_goes_on_is_found() {
    let begun = [
        sent(9 * SECOND, "r", RequestKind::ResumableStream),
        ran(9 * SECOND + 1, "r", "i-1"),
        ran(10 * SECOND + 1, "r", "i-2"),
    ];
    let cut = ended(10 * SECOND + 5, "r", Outcome::Disconnected);
    let by_node = [&begun[..], std::slice::from_ref(&cut)].concat();
    assert_eq!(broken_promises(&by_node), ["a stream whose runner goes on is whole"]);
    let aborted = (10 * SECOND + 2, Event::StreamAborted { request: "r".to_owned() });
    let by_runner = [&begun[..], &[aborted, cut]].concat();
    assert_eq!(broken_promises(&by_runner), Vec::<&str>::new());
    let late = ended(14 * SECOND, "r", Outcome::Disconnected);
    let by_deadline = [&begun[..], &[late]].concat();
    assert_eq!(broken_promises(&by_deadline), Vec::<&str>::new());
}

#[test]
fn a_fencing_token_of_two_holders_is_found() {
    let order = |at, holder: &str| {
        let (runner, holder) = ("i-1".to_owned(), holder.to_owned());
        (at, Event::OrderReceived { runner, holder, fence: 7 })
    };
    assert_eq!(broken_promises(&[order(1, "a"), order(2, "b")]), ["orders of one holder"]);
    assert_eq!(violations(&[order(1, "a"), order(2, "a")]), []);
}

fn crashed_runner(at: u64, request: &str) -> [TimedEvent; 2] {
    let (runner, cause) = (format!("i-{at}"), Some((request.to_owned(), 0)));
    let crashed = (at + 1, Event::RunnerCrashed { runner, cause });
    [sent(at, request, RequestKind::Poison { number: 0 }), crashed]
}

#[test_case(&[1, 2, 3, 4, 5, 6, 30, 31, 32], false; "within the contact bound, and three later")]
#[test_case(&[1, 2, 3, 30, 31, 32, 33], true; "four later")]
fn a_poison_request_that_keeps_crashing_runners_is_found(seconds: &[u64], is_broken: bool) {
    let ids: Vec<String> = seconds.iter().map(|second| format!("d-{second}")).collect();
    let ends = seconds.iter().zip(&ids).flat_map(|(at, id)| crashed_runner(at * SECOND, id));
    let found = broken_promises(&ends.collect::<Vec<_>>());
    assert_eq!(!found.is_empty(), is_broken, "{found:?}");
}

#[test]
fn poison_repeats_from_a_disturbed_node_are_excused() {
    let seconds = [1, 2, 3, 30, 31, 32, 33];
    let ids: Vec<String> = seconds.iter().map(|second| format!("d-{second}")).collect();
    let ends = seconds.iter().zip(&ids).flat_map(|(at, id)| crashed_runner(at * SECOND, id));
    let mut events: Vec<TimedEvent> = ends.collect();
    events.push((29 * SECOND, Event::Disturbed { node: Some(0) }));
    assert_eq!(broken_promises(&events), [] as [&str; 0]);
}

const MAX_UNITS: u64 = 10;

fn tenant_limit() -> TimedEvent {
    let (tenant, window_us) = ("couriers", 2 * SECOND);
    (0, Event::TenantLimitSet { tenant, window_us, max_units: MAX_UNITS })
}

fn charged(at: u64, request: &str, units: u64) -> TimedEvent {
    (at, Event::Charged { request: request.to_owned(), tenant: "couriers", units })
}

fn charges(times: impl Iterator<Item = u64>) -> Vec<TimedEvent> {
    let charge = |at| charged(at, &format!("couriers-{at}"), 1);
    [tenant_limit()].into_iter().chain(times.map(charge)).collect()
}

#[test_case((0..10).map(|it| it * 1_000).collect(), false; "the whole limit at once")]
#[test_case((0..11).map(|it| it * 1_000).collect(), true; "one above the limit")]
#[test_case((0..40).map(|it| it * SECOND / 5).collect(), false; "the whole limit, sustained")]
#[test_case((0..40).map(|it| it * SECOND / 6).collect(), true; "slightly above the limit, sustained")]
fn a_tenant_that_exceeds_its_limit_is_found(times: Vec<u64>, is_broken: bool) {
    let found = broken_promises(&charges(times.into_iter()));
    assert_eq!(found == ["no tenant runs more than it may"], is_broken, "{found:?}");
}

#[test]
fn a_run_counts_by_its_units() {
    let many = [tenant_limit(), charged(1, "couriers-1", 6), charged(2, "couriers-2", 5)];
    assert_eq!(broken_promises(&many), ["no tenant runs more than it may"]);
}

#[test]
fn runs_delayed_by_a_faulty_link_count_only_in_windows_in_which_they_were_sent() {
    let id = |number: u64| format!("couriers-{number}");
    let sent = |number| sent(number * SECOND / 2, &id(number), RequestKind::Repeatable);
    let delayed = (0..12).map(sent);
    let released = (0..12).map(|number| charged(6 * SECOND + number, &id(number), 1));
    let mut events: Vec<TimedEvent> = [tenant_limit()].into_iter().chain(delayed).collect();
    events.push((6 * SECOND - 1, Event::RunnerLinkDisturbed));
    events.extend(released.clone());
    assert_eq!(violations(&events), []);
    let not_delayed: Vec<TimedEvent> = [tenant_limit()].into_iter().chain(released).collect();
    assert_eq!(broken_promises(&not_delayed), ["no tenant runs more than it may"]);
}

#[test]
fn a_refusal_below_the_limit_is_found_unless_the_node_was_disturbed() {
    let refused = |request: &str| {
        let response = complete(request, 429, String::new());
        vec![
            sent(9 * SECOND, request, RequestKind::Repeatable),
            ended(9 * SECOND + 1, request, response),
        ]
    };
    assert_eq!(broken_promises(&refused("cranes-1")), ["a tenant below its limit is not refused"]);
    assert_eq!(violations(&refused("couriers-1")), [], "this tenant exceeds its limit");
    let disturbed = vec![(8 * SECOND, Event::Disturbed { node: Some(0) })];
    assert_eq!(violations(&[disturbed, refused("cranes-1")].concat()), []);
}

/// Thirty requests at node 0 while the regions are cut off from each other, of which the given
/// number is not served.
fn requests_during_region_cut(unserved: usize, sent_after: u64) -> Vec<TimedEvent> {
    let mut events = vec![(0, Event::RegionsCut { begins: true })];
    for number in 0..30 {
        let (request, at) = (format!("r-{number}-n0"), sent_after + number as u64);
        let response =
            if number < unserved { Outcome::Disconnected } else { own_response(&request) };
        let times = [sent(at, &request, RequestKind::Repeatable), ran(at, &request, "i-1")];
        events.extend(times);
        events.push(ended(at + 1, &request, response));
    }
    events.push((20 * SECOND, Event::RegionsCut { begins: false }));
    events
}

#[test_case(3, 6 * SECOND, false; "runners fail now and then")]
#[test_case(13, 6 * SECOND, true; "four in ten are not served")]
#[test_case(13, SECOND, false; "before nodes had time to notice")]
#[test_case(13, 19 * SECOND, false; "when the cut is about to end")]
fn a_region_that_does_not_serve_its_clients_is_found(unserved: usize, at: u64, is_broken: bool) {
    let found = broken_promises(&requests_during_region_cut(unserved, at));
    assert_eq!(found == ["a region that is cut off serves its callers"], is_broken, "{found:?}");
}

#[test]
fn a_late_response_does_not_count_as_served_in_a_region_that_is_cut_off() {
    let late: Vec<TimedEvent> = requests_during_region_cut(0, 6 * SECOND)
        .into_iter()
        .map(|(at, event)| match event {
            Event::Ended { .. } => (at + 2 * SECOND, event),
            other => (at, other),
        })
        .collect();
    assert_eq!(broken_promises(&late), ["a region that is cut off serves its callers"]);
}

#[test]
fn a_region_with_a_crashed_runner_is_not_checked() {
    let mut events = requests_during_region_cut(13, 6 * SECOND);
    events.insert(1, (5 * SECOND, Event::RunnerCrashed { runner: "i-9".to_owned(), cause: None }));
    assert_eq!(violations(&events), []);
}

#[test]
fn a_request_id_contains_the_tenant_and_the_node() {
    let id = id_with_node("couriers-17", 3);
    assert_eq!(tenant_of(&id), LIMITED[0]);
    assert!(is_from_other_zone(&id, "east") && !is_from_other_zone(&id, "west"));
    assert!(!is_from_other_zone("r-17", "east"));
    assert_eq!(tenant_of("r-17").limit, None);
}

/// A runner reports a limit of two requests per second and receives requests from a node to which
/// it has reported it, if `reported`.
fn arrivals_under_reported_limit(
    reported: bool,
    disturbed: bool,
    arrivals: u64,
) -> Vec<TimedEvent> {
    let text = str::to_owned;
    let named = Event::LimitChanged { runner: text("i-1"), milli_requests_per_s: Some(2_000) };
    let mut events = vec![(1, named)];
    if reported {
        events.push(sent(1, "told", RequestKind::Repeatable));
        events.push(ran(2, "told", "i-1"));
        events.push((3, Event::LimitReported { request: text("told"), runner: text("i-1") }));
        events.push(ended(4, "told", own_response("told")));
    }
    if disturbed {
        events.push((4 * SECOND, Event::Disturbed { node: Some(0) }));
    }
    for number in 0..arrivals {
        let request = format!("r-{number}");
        let at = 4 * SECOND + number * SECOND / 10;
        events.push(sent(at, &request, RequestKind::Repeatable));
        events.push((at + 1, Event::Arrived { request: request.clone(), runner: text("i-1") }));
        events.push(ran(at + 1, &request, "i-1"));
        events.push(ended(at + 2, &request, own_response(&request)));
    }
    events
}

#[test_case(true, false, 18, true; "more than one and a half times the limit and five")]
#[test_case(true, false, 17, false; "exactly one and a half times the limit and five")]
#[test_case(false, false, 18, false; "from a node that has not received the limit")]
#[test_case(true, true, 18, false; "from a node that was disturbed")]
fn a_runner_that_receives_more_than_its_reported_limit_is_found(
    reported: bool,
    disturbed: bool,
    arrivals: u64,
    breaks: bool,
) {
    let expected = if breaks { vec!["a runner gets no more than it names"] } else { vec![] };
    assert_eq!(
        broken_promises(&arrivals_under_reported_limit(reported, disturbed, arrivals)),
        expected
    );
}

#[test]
fn a_limit_that_is_no_longer_reported_is_not_checked() {
    let mut events = arrivals_under_reported_limit(true, false, 30);
    let over = Event::LimitChanged { runner: "i-1".to_owned(), milli_requests_per_s: None };
    events.insert(5, (3 * SECOND, over));
    assert_eq!(broken_promises(&events), Vec::<&str>::new());
}

/// Node 0 has no links for 20 s. `unserved` of 30 requests to it are refused, all of 30 to node 1 are served.
fn requests_without_links(unserved: usize, sent_after: u64) -> Vec<TimedEvent> {
    let mut events = vec![(0, Event::NodeLinksCut { node: 0, begins: true })];
    for number in 0..60 {
        let (request, node) = (format!("r-{number}"), number % 2);
        let is_refused = node == 0 && number / 2 < unserved;
        let outcome = match is_refused {
            true => complete(&request, 503, String::new()),
            false => own_response(&request),
        };
        let at = sent_after + number as u64;
        let kind = RequestKind::Repeatable;
        events.push((at, Event::Sent { request: request.clone(), kind, node }));
        if !is_refused {
            events.push(ran(at, &request, "i-1"));
        }
        events.push(ended(at + 1, &request, outcome));
    }
    events.push((20 * SECOND, Event::NodeLinksCut { node: 0, begins: false }));
    events
}

#[test_case(12, 6 * SECOND, true; "four in ten are not served")]
#[test_case(11, 6 * SECOND, false; "as few as the bound tolerates")]
#[test_case(30, 3 * SECOND, false; "before the bounds apply")]
fn a_node_without_links_that_does_not_serve_is_found(unserved: usize, at: u64, is_broken: bool) {
    let found = broken_promises(&requests_without_links(unserved, at));
    assert_eq!(
        found == ["a node without links to runners serves its callers"],
        is_broken,
        "{found:?}"
    );
}

#[test_case(2 * SECOND, true; "sent after the later version was shown")]
#[test_case(SECOND / 2, false; "sent before, answered after")]
fn an_old_version_counts_by_when_the_request_was_sent(sent_at: u64, is_broken: bool) {
    let probe = |request: &str, version: u64, from: u64, to: u64| {
        let kind = RequestKind::Probe { version };
        let body = response_body(request);
        [
            sent(from, request, kind),
            ran(from, request, "i-1"),
            ended(to, request, complete(request, 200, body)),
        ]
    };
    let mut events = vec![(0, Event::NodeStarted { node: 0 })];
    events.extend(probe("new", 5, SECOND - 1, SECOND));
    events.extend(probe("old", 3, sent_at, 3 * SECOND));
    events.sort_by_key(|(at, _)| *at);
    let found = broken_promises(&events);
    assert_eq!(found.contains(&"a configuration never reverts"), is_broken, "{found:?}");
}
