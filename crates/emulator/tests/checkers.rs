//! Each checker finds a history that breaks its promise, and passes one that keeps it.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_coordination::Timestamp;
use pitchstall_emulator::simulation::checks::{check_all, Bounds, Circumstances, Promise};
use pitchstall_emulator::simulation::history::{Event, History};
use pitchstall_protocol::caller::{ResumePoint, TextDigest};
use pitchstall_protocol::engine::{
    AttemptKey, EngineRole, EngineStanding, EngineState, FencingToken, OrderKind, OrderReply,
};
use pitchstall_protocol::error::{ErrorBody, ErrorCode, Execution};
use pitchstall_protocol::ids::{AttemptNumber, Epoch, OrderSequence, Revision};
use pitchstall_protocol::operator::ApplyOutcome;
use pitchstall_protocol::Configuration;
use std::rc::Rc;
use test_case::test_case;

fn violations(promise: Promise, events: Vec<(u64, Event)>) -> usize {
    let mut history = History::default();
    for (at_ms, event) in events {
        history.note(Timestamp::from_millis(at_ms), event);
    }
    let circumstances = Circumstances {
        planned_only: true,
        unreachable: Vec::new(),
        alive_since: vec![("n".into(), Timestamp(0))],
    };
    check_all(&history, Bounds::default(), &circumstances)[&promise].violations.len()
}

fn ordered(epoch: u64, sequence: u64, kind: OrderKind, accepted: bool) -> Event {
    let token = FencingToken { epoch: Epoch(epoch), sequence: OrderSequence(sequence) };
    let standing = EngineStanding {
        role: EngineRole::Mixed,
        model: "m".into(),
        state: EngineState::Ready,
        fence: token,
    };
    let reply = if accepted {
        OrderReply::Accepted { standing }
    } else {
        OrderReply::Stale { fence: token }
    };
    Event::Ordered { engine: "e".into(), node: "n".into(), token, kind, reply }
}

fn raise(epoch: u64) -> Event {
    ordered(epoch, 1, OrderKind::RaiseFence, true)
}

fn role(epoch: u64, sequence: u64, role: EngineRole, accepted: bool) -> Event {
    ordered(epoch, sequence, OrderKind::SetRole { role }, accepted)
}

fn submitted(wish: usize, request: &str, key: Option<&str>) -> Event {
    Event::Submitted {
        wish,
        request: request.into(),
        key: key.map(str::to_owned),
        service: "s".into(),
    }
}

fn failed(wish: usize, request: &str, code: ErrorCode, execution: Execution) -> Event {
    let error = ErrorBody { execution, ..ErrorBody::refused(code, "") };
    Event::Failed { wish, request: request.into(), error }
}

fn finished(wish: usize, request: &str, text: &str) -> Event {
    let (text, expected) = (text.to_owned(), "whole".to_owned());
    Event::Finished { wish, request: request.into(), text, expected }
}

fn started(request: &str, attempt: u64) -> Event {
    let key = AttemptKey { request: request.into(), attempt: AttemptNumber(attempt) };
    Event::Started { engine: "e".into(), key }
}

fn piece(offset: u32) -> Event {
    let point = ResumePoint {
        request: "r".into(),
        attempt: AttemptNumber(1),
        engine: "e".into(),
        offset,
        digest: TextDigest::default(),
    };
    Event::Piece { wish: 0, point, text: String::new() }
}

fn committed(revision: u64, zones: &[&str]) -> Event {
    let mut configuration = Configuration::default();
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let spec = format!("{{\"model\":\"m\",\"zones\":[{}]}}", zones.join(","));
    configuration.services.insert("s".into(), serde_json::from_str(&spec).unwrap());
    Event::Committed {
        revision: Revision(revision),
        change: format!("c{revision}").as_str().into(),
        configuration: Rc::new(configuration),
    }
}

fn moved() -> Event {
    Event::Moved { node: "n".into(), service: "s".into(), to: "z".into() }
}

fn applied(revision: u64) -> Event {
    Event::Applied { node: "n".into(), revision: Revision(revision) }
}

fn begins(change: &str, expected: u64) -> Event {
    Event::ApplyBegins { change: change.into(), expected: Revision(expected) }
}

fn ends(change: &str, outcome: ApplyOutcome) -> Event {
    Event::ApplyEnds { change: change.into(), outcome: Some(outcome) }
}

fn attempted() -> Event {
    let key = AttemptKey { request: "r".into(), attempt: AttemptNumber(1) };
    Event::Attempted { engine: "e".into(), key }
}

const MIXED: EngineRole = EngineRole::Mixed;
const DECODE: EngineRole = EngineRole::Decode;

#[test_case(Promise::NoConflictingOrders, vec![(0, raise(1)), (1, role(1, 2, MIXED, true)), (2, role(1, 2, DECODE, true))]; "two orders under one token")]
#[test_case(Promise::NoConflictingOrders, vec![(0, raise(1)), (1, role(1, 3, MIXED, true)), (2, role(1, 2, DECODE, true))]; "an order taken after a later one")]
#[test_case(Promise::NoConflictingOrders, vec![(0, role(1, 2, MIXED, true))]; "an order without a fence")]
#[test_case(Promise::StaleOrdersHaveNoEffect, vec![(0, raise(2)), (1, role(1, 2, MIXED, true))]; "an order of an earlier epoch")]
#[test_case(Promise::PlannedChangesCutNothing, vec![(0, submitted(0, "r", None)), (1, Event::EngineChanged { engine: "e".into() }), (2, failed(0, "r", ErrorCode::EngineFailed, Execution::Partial))]; "a request cut by a role change")]
#[test_case(Promise::PlannedStopsCutNothing, vec![(0, submitted(0, "n.1", None)), (1, Event::NodeLeaves { node: "n".into() }), (2, failed(0, "n.1", ErrorCode::EngineFailed, Execution::Unknown))]; "a request cut by a stop")]
#[test_case(Promise::EveryRequestIsAnswered, vec![(0, submitted(0, "r", None))]; "a request without an answer")]
#[test_case(Promise::AnswersAreWhole, vec![(0, finished(0, "r", "who"))]; "a part of an answer")]
#[test_case(Promise::AnswersAreWhole, vec![(0, piece(1)), (1, piece(3))]; "a token left out")]
#[test_case(Promise::NotRunIsTrue, vec![(0, failed(0, "r", ErrorCode::Overloaded, Execution::NotRun)), (1, started("r", 1))]; "a refused request that runs later")]
#[test_case(Promise::NotRunIsTrue, vec![(0, submitted(0, "r", Some("k"))), (1, started("r", 1)), (2, submitted(1, "q", Some("k"))), (3, failed(1, "q", ErrorCode::Overloaded, Execution::NotRun))]; "a refusal of a key that ran")]
#[test_case(Promise::AtMostOnce, vec![(0, submitted(0, "r", Some("k"))), (1, submitted(1, "q", Some("k"))), (2, started("r", 1)), (3, started("q", 1))]; "a key that ran twice")]
#[test_case(Promise::AtMostOnce, vec![(0, submitted(0, "r", Some("k"))), (1, finished(0, "r", "whole")), (2, submitted(1, "q", Some("k"))), (3, failed(1, "q", ErrorCode::Overloaded, Execution::NotRun))]; "a refusal after the answer")]
#[test_case(Promise::LeavingGetsNoWork, vec![(0, Event::EngineLeaves { engine: "e".into() }), (3_001, attempted())]; "work after the bound")]
#[test_case(Promise::ConfigurationNeverReverts, vec![(0, committed(1, &[])), (1, committed(2, &[])), (2, applied(2)), (3, applied(1))]; "a node that goes back")]
#[test_case(Promise::ConfigurationNeverReverts, vec![(0, committed(1, &[])), (1, begins("x", 1)), (2, ends("x", ApplyOutcome::Committed { revision: Revision(2) }))]; "a change said to be committed that is not")]
#[test_case(Promise::ConfigurationNeverReverts, vec![(0, committed(1, &[])), (1, begins("x", 1)), (2, ends("x", ApplyOutcome::Conflict { current: Revision(1) }))]; "a conflict with nothing")]
#[test_case(Promise::ConfigurationSpreads, vec![(0, committed(1, &[])), (9_000, moved())]; "a node that never hears")]
#[test_case(Promise::NoDataToForbiddenZones, vec![(0, committed(1, &["z"])), (1, committed(2, &[])), (9_000, moved())]; "a prompt sent after the bound")]
fn a_broken_promise_is_found(promise: Promise, events: Vec<(u64, Event)>) {
    assert!(violations(promise, events) > 0);
}

#[test_case(Promise::NoConflictingOrders, vec![(0, raise(1)), (1, role(1, 2, MIXED, true)), (2, raise(2)), (3, role(2, 2, DECODE, true))]; "orders in turn")]
#[test_case(Promise::StaleOrdersHaveNoEffect, vec![(0, raise(2)), (1, role(1, 2, MIXED, false))]; "a stale order refused")]
#[test_case(Promise::AtMostOnce, vec![(0, submitted(0, "r", Some("k"))), (1, submitted(1, "q", Some("k"))), (2, started("r", 1)), (3, finished(0, "r", "whole")), (4, finished(1, "q", "whole"))]; "an answer and its replay")]
#[test_case(Promise::LeavingGetsNoWork, vec![(0, Event::EngineLeaves { engine: "e".into() }), (2_999, attempted())]; "work within the bound")]
#[test_case(Promise::ConfigurationSpreads, vec![(0, committed(1, &[])), (7_999, applied(1)), (9_000, moved())]; "a node that hears in time")]
#[test_case(Promise::NoDataToForbiddenZones, vec![(0, committed(1, &["z"])), (1, committed(2, &[])), (7_000, moved())]; "a prompt sent within the bound")]
fn a_promise_that_is_kept_passes(promise: Promise, events: Vec<(u64, Event)>) {
    assert_eq!(violations(promise, events), 0);
}
