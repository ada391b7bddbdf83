//! A runner states a very long time for which it keeps idle connections open. Requests that it has run must still be
//! answered.

use pitchstall_platform_standins::documents::{
    configuration, RouteDocument, RouteKind, ServiceDocument,
};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use review_driver::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const HOST: &str = "desk.example";
const SERVICE: &str = "desk-app";
const ZONES: [&str; 2] = ["brest-hall", "quimper-hall"];
const USUAL_SECONDS: u64 = 60;
/// The largest number that a signed number of 64 bits holds, as a program states it that never closes an idle connection.
const VERY_LONG_SECONDS: u64 = i64::MAX as u64;
/// The rule allows three.
const ALLOWED: usize = 3;
const CONNECTIONS: usize = 8;

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

fn run() -> Option<i32> {
    let places = Places::from_arguments()?;
    let record = Record::create(&places.record).ok()?;
    let store = StoreStandIn::start().ok()?;
    put_configuration(
        &store,
        &configuration(
            1,
            &[RouteDocument {
                name: "ping",
                host: HOST,
                kind: RouteKind::AtMostOnce,
                service: SERVICE,
                timeout_ms: 1_000,
                max_attempts: 1,
            }],
            &[ServiceDocument { name: SERVICE, has_engines: false, max_connections: 100 }],
            &[],
        ),
    );
    let (runs, states_long) = (Runs::default(), Arc::new(AtomicBool::new(false)));
    let (seen, lines, is_long) = (runs.clone(), record.clone(), states_long.clone());
    let runner = RunnerStandIn::start("i-1", move |request| {
        let Some(id) = request.id() else { return Reaction::Respond { status: 404, body: Vec::new() } };
        let seconds = if is_long.load(Ordering::SeqCst) { VERY_LONG_SECONDS } else { USUAL_SECONDS };
        lines.line(&format!("i-1 runs {id} and answers 200 with Keep-Alive: timeout={seconds}"));
        seen.add(id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Pitchstall-Request-Id: {id}\r\nX-Pitchstall-Server-Stamp: stamp\r\n\
             Keep-Alive: timeout={seconds}\r\nContent-Length: 10\r\n\r\nconfirmed\n"
        );
        Reaction::Raw(answer.into_bytes())
    })
    .ok()?;
    put_runner(&store, runner.id(), SERVICE, runner.address(), ZONES[0], None);
    let mut node = start_node(&places, "front-1", ZONES[0], &ZONES, store.address()).ok()?;
    let other = start_node(&places, "front-2", ZONES[1], &ZONES, store.address()).ok()?;
    if !wait_until_ready(&[&node, &other]) {
        record.line("the nodes did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(1));
    // Each connection is kept after a first answer.
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let mut client = Client::connect(node.callers).ok()?;
        let answer = send(&mut client, &record, &format!("first-{number}"));
        if !matches!(answer, Answer::Whole { status: 200, .. }) {
            return None;
        }
        connections.push(client);
    }
    if places.trouble {
        states_long.store(true, Ordering::SeqCst);
    }
    let mut lost = 0;
    for (number, client) in connections.iter_mut().enumerate() {
        let id = format!("second-{number}");
        let answer = send(client, &record, &id);
        lost += usize::from(matches!(answer, Answer::Closed { .. }) && runs.has(&id));
    }
    record.line(&format!("the node's process runs: {}", node.is_running()));
    for line in node.log_lines(&places, "overflow") {
        record.line(&format!("log of front-1: {line}"));
    }
    let text = format!("{lost} requests on kept connections ran, and their connections were closed without an answer");
    record.line(&text);
    println!("{text}");
    Some(if lost > ALLOWED { BROKEN } else { HELD })
}

fn send(client: &mut Client, record: &Record, id: &str) -> Answer {
    record.line(&format!("a client sends {id}"));
    let answer = client.exchange(
        &request("POST", HOST, "/ping/1", id, 1_000, "", b"position"),
        Duration::from_secs(3),
    );
    let text = match &answer {
        Answer::Whole { status, .. } => status.to_string(),
        other => format!("{other:?}"),
    };
    record.line(&format!("the client of {id} gets {text}"));
    answer
}
