//! A runner turns slow in the middle of a resumable stream, and takes no more connections, as its queue is long.

use crate::client;
use crate::common::{
    cannot_run, free_address, has_trouble, runner_entry, sleep_ms, start_node, start_runner,
    wait_until_ready, write_entry, Folder, Record, Runner,
};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::json;
use std::sync::mpsc::channel;
use std::time::Duration;

const SERVICE: &str = "dispatch-llm";
const ID: &str = "9c41d07be2a35f68";
/// Number of runners, of which one turns slow: share 0.14.
const RUNNERS: usize = 7;
/// Time for which the rule allows two runners to work on a request, milliseconds.
const ALLOWED_MS: u128 = 400;

const MAX_TIME: Duration = Duration::from_secs(8);

/// A request for a stream that may be resumed.
fn request(id: &str) -> String {
    format!(
        "POST /match/2f HTTP/1.1\r\nHost: iroise.example\r\nX-Pitchstall-Request-Id: {id}\r\n\
         X-Pitchstall-Deadline-Ms: 6000\r\nX-Pitchstall-Model: m\r\nX-Pitchstall-Token-Count: 1460,80\r\n\
         X-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{id}:250\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

pub fn run(record: &Record) -> bool {
    let folder = Folder::create();
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{ "name": "call-match", "host": "iroise.example", "path_prefix": "/match/", "kind": "streaming",
            "timeout_ms": 6000, "target_ms": 600, "priority": 0, "service": SERVICE, "max_attempts": 2, "sticky": true,
            "resumable": true, "gap_target_ms": 600 }],
        "services": [{ "name": SERVICE, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
            "engine": { "slots": 64, "kv_tokens": 433612, "kv_bytes": 18432, "link_mbps": 370000.0, "handle_ttl_s": 5.0,
                "swap_s": 2.3, "models": [{ "name": "m" }] } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    }));
    let mut runners: Vec<(String, Runner)> = (0..RUNNERS)
        .map(|number| {
            let (id, address) = (format!("i-7f3a91c{number}"), free_address());
            let runner = start_runner(record, &id, address, "tokens");
            let entry =
                runner_entry(SERVICE, address, "brest-hall", Some("decode"), runner.born, 1);
            write_entry(&store, &id, &entry);
            (id, runner)
        })
        .collect();
    let zones = ["brest-hall", "quimper-hall", "morlaix-hall"];
    let nodes: Vec<_> = zones
        .iter()
        .map(|zone| start_node(&folder, store.address(), &format!("front-{zone}-1"), zone))
        .collect();
    nodes.iter().for_each(wait_until_ready);
    sleep_ms(4_000);
    // Ordinary requests, which give the node its share of the budget for further attempts.
    let earlier: Vec<_> = (0..20)
        .map(|number| {
            let callers = nodes[0].callers;
            std::thread::spawn(move || {
                client::send(callers, &request(&format!("e{number:03}")), MAX_TIME, |_| {})
            })
        })
        .collect();
    earlier.into_iter().for_each(|it| drop(it.join()));
    let (sender, pieces) = channel();
    let (callers, client_record) = (nodes[0].callers, record.clone());
    let client = std::thread::spawn(move || {
        client_record.write(&format!("client sends {ID}, a stream that may be resumed"));
        client::send(callers, &request(ID), MAX_TIME, |body| {
            let _ = sender.send(body.matches("data: piece").count());
        })
    });
    if has_trouble() {
        while pieces.recv().is_ok_and(|count| count < 2) {}
        let running = record.lines_with(&format!(": runs {ID}")).pop();
        let running = running.unwrap_or_else(|| cannot_run("no runner has run the request"));
        let (_, runner) = runners.iter_mut().find(|(id, _)| running.contains(id)).unwrap();
        runner.tell("slow");
        runner.tell("full");
    }
    let answer = client.join().unwrap();
    record.write(&format!(
        "client has {} after {} ms, whole: {}",
        answer.status, answer.after_ms, answer.is_whole
    ));
    sleep_ms(300);
    if std::env::var("KEEP_LOGS").is_ok() {
        let log = std::fs::read_to_string(&nodes[0].log).unwrap_or_default();
        println!("{log}");
    }
    let overlaps = overlaps(record, &runners);
    overlaps.iter().for_each(|(one, other, ms)| {
        record.write(&format!("{one} and {other} worked on the request together for {ms} ms"))
    });
    overlaps.iter().any(|(_, _, ms)| *ms > ALLOWED_MS)
}

/// The pairs of runners that worked on the request at the same time, and for how long.
fn overlaps(record: &Record, runners: &[(String, Runner)]) -> Vec<(String, String, u128)> {
    let runs: Vec<(String, u128, u128)> = runners
        .iter()
        .filter_map(|(id, runner)| {
            let of = |text: &str| {
                record.time_of(&format!("runner {id} born {}: {ID}: {text}", runner.born))
            };
            let started = of("run starts")?;
            Some((id.clone(), started, of("run ends").unwrap_or(record.now_ms())))
        })
        .collect();
    let mut pairs = Vec::new();
    for (index, (one, started, ended)) in runs.iter().enumerate() {
        for (other, other_started, other_ended) in &runs[index + 1..] {
            let ms = ended.min(other_ended).saturating_sub(*started.max(other_started));
            pairs.push((one.clone(), other.clone(), ms));
        }
    }
    pairs
}
