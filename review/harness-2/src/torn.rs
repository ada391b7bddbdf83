//! A faulty runner sends more after a whole answer: the beginning of its last answer once more, late, in the place where the
//! next answer is due.

use crate::client;
use crate::common::{
    free_address, has_trouble, runner_entry, sleep_ms, start_node, start_runner, wait_until_ready,
    write_entry, Folder, Record,
};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SERVICE: &str = "desk-app";
const CLIENTS: usize = 8;
const DURATION: Duration = Duration::from_secs(12);

pub fn run(record: &Record) -> bool {
    let folder = Folder::create();
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{ "name": "tablet-ping", "host": "iroise.example", "path_prefix": "/ping/", "kind": "non_idempotent",
            "timeout_ms": 1000, "target_ms": 100, "priority": 2, "service": SERVICE, "max_attempts": 1, "sticky": false,
            "resumable": false }],
        "services": [{ "name": SERVICE, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    }));
    let zones = ["brest-hall", "quimper-hall", "morlaix-hall"];
    // One of three runners is faulty: share 0.33.
    let runners: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (id, address) = (format!("i-desk{number}"), free_address());
            let script = if number == 0 && has_trouble() { "plain:torn-surplus" } else { "plain" };
            let runner = start_runner(record, &id, address, script);
            write_entry(&store, &id, &runner_entry(SERVICE, address, zone, None, runner.born, 1));
            runner
        })
        .collect();
    let nodes: Vec<_> = zones
        .iter()
        .map(|zone| start_node(&folder, store.address(), &format!("front-{zone}-1"), zone))
        .collect();
    nodes.iter().for_each(wait_until_ready);
    sleep_ms(4_000);
    let until = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS).map(|client| {
        let (callers, record) = (nodes[client % nodes.len()].callers, record.clone());
        std::thread::spawn(move || {
            for number in 0_u64.. {
                if Instant::now() > until {
                    return;
                }
                let id = format!("{client:04x}{number:04x}");
                let request = format!(
                    "POST /ping/2f HTTP/1.1\r\nHost: iroise.example\r\nX-Pitchstall-Request-Id: {id}\r\n\
                     X-Pitchstall-Deadline-Ms: 1000\r\nContent-Length: 2\r\n\r\n{{}}"
                );
                record.write(&format!("client sends {id}, not repeatable"));
                let answer = client::send(callers, &request, Duration::from_millis(1_500), |_| {});
                record.write(&format!("client has {} for {id} after {} ms: {}", answer.status, answer.after_ms, answer.body));
                // Clients pause after an answer, and honour the time that they are told after a refusal.
                let pause = (client as u64 * 37 + number * 53) % 90;
                sleep_ms(if answer.status == 200 { pause } else { 250 + pause });
            }
        })
    }).collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for line in record.lines_with(": runs ") {
        if let Some(id) = line.split(": runs ").nth(1).and_then(|rest| rest.split(' ').next()) {
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    // The status 503 promises that a request has not run and never will.
    let answered = |status: u16, id: &str| {
        record.lines_with(&format!("client has {status} for {id} ")).first().cloned()
    };
    let refused: Vec<_> = runs.keys().filter(|id| answered(503, id).is_some()).cloned().collect();
    let twice: Vec<_> =
        runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id.clone()).collect();
    // A success belongs to a request that a runner has run, and comes with the body of that run.
    let successes = record.lines_with("client has 200 for ");
    let ids = successes.iter().filter_map(|line| {
        let id = line.split(' ').nth(4)?;
        let is_right = runs.contains_key(id) && line.ends_with(&format!("answer to {id}"));
        (!is_right).then(|| id.to_owned())
    });
    let mixed: Vec<String> = ids.collect();
    let spoiled = record.lines_with("comes late").len();
    let rejected = record.lines_with("rejects ").len();
    record.write(&format!(
        "{} requests ran, {rejected} rejections, {spoiled} answers spoiled",
        runs.len()
    ));
    record.write(&format!("ran and answered 503 (REFUSED): {refused:?}"));
    record.write(&format!("ran twice (TWICE): {twice:?}"));
    record.write(&format!("answered 200 though not run, or with another body (MIXED): {mixed:?}"));
    drop(runners);
    if has_trouble() && spoiled == 0 {
        crate::common::cannot_run("no answer was spoiled");
    }
    !twice.is_empty() || !refused.is_empty() || !mixed.is_empty()
}
