//! Most nodes freeze, and a runner says right after that it leaves. The node that is left must not send to that runner
//! later than `drain_ms` after the store has taken the word.

use pitchstall_platform_standins::documents::{
    configuration, runner_key, RouteDocument, RouteKind, RunnerDocument, ServiceDocument,
};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use review_driver::*;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HOST: &str = "desk.example";
const SERVICE: &str = "desk-app";
const ZONES: [&str; 3] = ["brest-hall", "quimper-hall", "morlaix-hall"];
const NODES: [(&str, &str); 7] = [
    ("front-brest-hall-1", "brest-hall"),
    ("front-brest-hall-2", "brest-hall"),
    ("front-brest-hall-3", "brest-hall"),
    ("front-quimper-hall-1", "quimper-hall"),
    ("front-quimper-hall-2", "quimper-hall"),
    ("front-morlaix-hall-1", "morlaix-hall"),
    ("front-morlaix-hall-2", "morlaix-hall"),
];
/// The nodes that freeze. The first two are those that read the store for their zone, and so for front-brest-hall-1.
const FROZEN: [&str; 5] = [
    "front-brest-hall-2",
    "front-brest-hall-3",
    "front-quimper-hall-1",
    "front-quimper-hall-2",
    "front-morlaix-hall-2",
];
/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 4;

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

fn signal(node: &NodeProcess, name: &str) -> bool {
    Command::new("kill")
        .args([name, &node.pid().to_string()])
        .status()
        .is_ok_and(|status| status.success())
}

fn run() -> Option<i32> {
    let places = Places::from_arguments()?;
    let record = Record::create(&places.case).ok()?;
    let store = StoreStandIn::start().ok()?;
    put_configuration(
        &store,
        &configuration(
            1,
            &[RouteDocument {
                name: "fare",
                host: HOST,
                kind: RouteKind::Repeatable,
                service: SERVICE,
                timeout_ms: 1_000,
                max_attempts: 2,
            }],
            &[ServiceDocument { name: SERVICE, has_engines: false, max_connections: 100 }],
            &[],
        ),
    );
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut runners = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{}", number + 1);
        let (seen, lines, name) = (arrivals.clone(), record.clone(), id.clone());
        let runner = RunnerStandIn::start(&id, move |request| {
            // Requests for the runner's state are health checks, which the rule doesn't count.
            let Some(request_id) = request.id() else {
                return Reaction::Respond { status: 404, body: Vec::new() };
            };
            lines.line(&format!("{name} runs {request_id}"));
            if let Ok(mut seen) = seen.lock() {
                seen.push((name.clone(), request_id.to_owned(), lines.now()));
            }
            Reaction::Respond { status: 200, body: b"confirmed\n".to_vec() }
        })
        .ok()?;
        put_runner(&store, &id, SERVICE, runner.address(), zone, None);
        runners.push(runner);
    }
    let mut nodes = Vec::new();
    for (name, zone) in NODES {
        nodes.push(start_node(&places, name, zone, &ZONES, store.address()).ok()?);
    }
    if !wait_until_ready(&nodes.iter().collect::<Vec<_>>()) {
        record.line("the nodes did not become ready");
        return None;
    }
    record.line("all nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| spawn_client(client, &nodes[0], &record, &stop)).collect();
    std::thread::sleep(Duration::from_secs(6));
    if places.trouble {
        for node in nodes.iter().filter(|node| FROZEN.contains(&node.name.as_str())) {
            if !signal(node, "-STOP") {
                return None;
            }
            record.line(&format!("{} freezes", node.name));
        }
    }
    std::thread::sleep(Duration::from_millis(100));
    let leaving = &runners[0];
    let entry = RunnerDocument {
        service: SERVICE,
        address: leaving.address(),
        zone: ZONES[0],
        is_draining: true,
        stage: None,
        born_ms: None,
    };
    store.put(&runner_key(leaving.id()), &entry.to_json());
    let acknowledged = record.now();
    record.line("the store has taken that i-1 is draining");
    std::thread::sleep(Duration::from_secs(6));
    for node in &nodes[1..] {
        signal(node, "-CONT");
    }
    record.line("the nodes go on");
    stop.store(true, Ordering::SeqCst);
    let answered: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let arrivals = arrivals.lock().ok()?;
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(runner, _, at)| runner == "i-1" && *at > acknowledged + DRAIN)
        .collect();
    for (_, id, at) in &late {
        let after = at.saturating_sub(acknowledged).as_millis();
        record.line(&format!("late: {id} reached i-1 {after} ms after the acknowledgement"));
    }
    let last = late
        .iter()
        .map(|(_, _, at)| at.saturating_sub(acknowledged).as_millis())
        .max()
        .unwrap_or_default();
    record.line(&format!(
        "{answered} answers, {} runs; {} requests reached i-1 later than {} ms after the store's acknowledgement, the last one after {last} ms",
        arrivals.len(),
        late.len(),
        DRAIN.as_millis()
    ));
    println!("{} late requests, the last one after {last} ms", late.len());
    if answered == 0 {
        return None;
    }
    Some(if late.is_empty() { HELD } else { BROKEN })
}

/// Sends a request every 50 ms over one kept connection to a node; returns the number of whole answers.
fn spawn_client(
    client: usize,
    node: &NodeProcess,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<usize> {
    let (address, record, stop) = (node.callers, record.clone(), stop.clone());
    std::thread::spawn(move || {
        let mut answered = 0;
        let mut connection = Client::connect(address).ok();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("c{client}-{number}");
            record.line(&format!("client {client} sends {id} to front-brest-hall-1"));
            let answer = match &mut connection {
                Some(open) => open.exchange(
                    &request("GET", HOST, "/fare/1", &id, 1_000, "", b""),
                    Duration::from_millis(1_500),
                ),
                None => Answer::Closed { bytes: 0 },
            };
            match answer {
                Answer::Whole { status, .. } => {
                    answered += usize::from(status == 200);
                    record.line(&format!("client {client} gets {status} for {id}"));
                }
                other => {
                    record.line(&format!("client {client} gets {other:?} for {id}"));
                    connection = Client::connect(address).ok();
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        answered
    })
}
