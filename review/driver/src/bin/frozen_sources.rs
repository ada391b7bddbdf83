//! Three of eight nodes freeze, and right after that a runner leaves: its entry goes, and it serves on for a while. A node
//! that is not frozen must not send to that runner later than `drain_ms` after the store has taken that.

use pitchstall_platform_standins::documents::{
    configuration, runner_key, RouteDocument, RouteKind, ServiceDocument,
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
const ZONES: [&str; 3] = ["ate", "callao", "surco"];
const NODES: [(&str, &str); 8] = [
    ("front-ate-1", "ate"),
    ("front-ate-2", "ate"),
    ("front-ate-3", "ate"),
    ("front-callao-1", "callao"),
    ("front-callao-2", "callao"),
    ("front-callao-3", "callao"),
    ("front-surco-1", "surco"),
    ("front-surco-2", "surco"),
];
/// The node that the clients use. By its name it doesn't read the store itself, but follows the other two of its zone.
const FOLLOWER: &str = "front-ate-2";
/// The nodes that freeze: those that the follower asks first.
const FROZEN: [&str; 3] = ["front-ate-1", "front-ate-3", "front-surco-1"];
/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 4;

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

fn is_frozen(node: &NodeProcess) -> bool {
    FROZEN.contains(&node.name.as_str())
}

fn signal(node: &NodeProcess, name: &str) -> bool {
    Command::new("kill")
        .args([name, &node.pid().to_string()])
        .status()
        .is_ok_and(|status| status.success())
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
    let follower = nodes.iter().find(|node| node.name == FOLLOWER)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| spawn_client(client, follower, &record, &stop)).collect();
    std::thread::sleep(Duration::from_secs(6));
    if places.trouble {
        for node in nodes.iter().filter(|node| is_frozen(node)) {
            if !signal(node, "-STOP") {
                return None;
            }
            record.line(&format!("{} freezes", node.name));
        }
    }
    std::thread::sleep(Duration::from_millis(100));
    let leaving = &runners[0];
    store.remove(&runner_key(leaving.id()));
    let acknowledged = record.now();
    record.line("the store has taken that the entry of i-1 is gone; i-1 serves on");
    std::thread::sleep(Duration::from_secs(6));
    for node in nodes.iter().filter(|node| is_frozen(node)) {
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
            record.line(&format!("client {client} sends {id} to {FOLLOWER}"));
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
