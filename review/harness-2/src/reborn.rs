//! A runner crashes behind a cut in the middle of an answer without a length, and starts again under its former id.

use crate::client;
use crate::common::{
    cannot_run, free_address, has_trouble, runner_entry, sleep_ms, start_node, start_runner,
    wait_until_ready, write_entry, CuttableLink, Folder, Record, Runner,
};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;

const SERVICE: &str = "dispatch-llm";
/// Number of runners, of which one is cut off: share 0.2.
const RUNNERS: usize = 5;
/// How a runner answers: a stream of six pieces without a length.
const SCRIPT: &str = "unframed-stream";
const PIECES: usize = 6;
/// Length of the cut, milliseconds. The pages' default for `srv_cut` is 5 s.
const CUT_MS: u64 = 1_500;

/// A runner that nodes reach over a link that can be cut.
struct RunnerWithLink {
    id: String,
    address: SocketAddr,
    link: CuttableLink,
    runner: Runner,
}

impl RunnerWithLink {
    fn start(record: &Record, store: &StoreStandIn, id: String) -> Self {
        let address = free_address();
        let runner = start_runner(record, &id, address, SCRIPT);
        let started = Self { id, address, link: CuttableLink::start(address), runner };
        started.write_entry(store);
        started
    }

    fn write_entry(&self, store: &StoreStandIn) {
        let entry = runner_entry(
            SERVICE,
            self.link.address,
            "brest-hall",
            Some("decode"),
            self.runner.born,
            1,
        );
        write_entry(store, &self.id, &entry);
    }

    /// The runner is partitioned, crashes behind the cut and starts again under its former id. Its entry names the new
    /// start before the cut is over, so that the nodes know of it.
    fn crash_behind_cut(&mut self, record: &Record, store: &StoreStandIn) {
        self.link.set_cut(true);
        record.write(&format!("runner {} is partitioned", self.id));
        sleep_ms(50);
        self.runner.process.kill();
        record.write("its process is killed behind the cut");
        sleep_ms(300);
        // For comparison: with a new id, nodes are told so by 421.
        if std::env::var("NEW_ID").as_deref() == Ok("1") {
            store.remove(&format!("servers/{}", self.id));
            self.id.push('n');
        }
        self.runner = start_runner(record, &self.id, self.address, SCRIPT);
        record.write(&format!("it starts again as {}, born {}", self.id, self.runner.born));
        sleep_ms(CUT_MS - 650);
        self.write_entry(store);
        record.write("its entry in the store names the new start");
        sleep_ms(300);
        self.link.set_cut(false);
        record.write("the cut is over");
    }
}

pub fn run(record: &Record) -> bool {
    let folder = Folder::create();
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{ "name": "hospital-booking", "host": "iroise.example", "path_prefix": "/booking/", "kind": "streaming",
            "timeout_ms": 4000, "target_ms": 600, "priority": 1, "service": SERVICE, "max_attempts": 1, "sticky": true,
            "resumable": false, "gap_target_ms": 300 }],
        "services": [{ "name": SERVICE, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
            "engine": { "slots": 64, "kv_tokens": 433612, "kv_bytes": 18432, "link_mbps": 370000.0, "handle_ttl_s": 5.0,
                "swap_s": 2.3, "models": [{ "name": "m" }] } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    }));
    let mut runners: Vec<RunnerWithLink> = (0..RUNNERS)
        .map(|number| RunnerWithLink::start(record, &store, format!("i-7f3a91c{number}")))
        .collect();
    let zones = ["brest-hall", "quimper-hall", "morlaix-hall"];
    let nodes: Vec<_> = zones
        .iter()
        .map(|zone| start_node(&folder, store.address(), &format!("front-{zone}-1"), zone))
        .collect();
    nodes.iter().for_each(wait_until_ready);
    sleep_ms(4_000);
    let (sender, pieces) = channel();
    let (callers, client_record) = (nodes[0].callers, record.clone());
    let client = std::thread::spawn(move || {
        let request = "POST /booking/2f HTTP/1.1\r\nHost: iroise.example\r\nX-Pitchstall-Request-Id: 9c41d07be2a35f68\r\n\
            X-Pitchstall-Deadline-Ms: 4000\r\nX-Pitchstall-Model: m\r\nX-Pitchstall-Token-Count: 1460,80\r\n\
            X-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 2\r\n\r\n{}";
        client_record.write(
            "client sends 9c41d07be2a35f68, a stream that may not be resumed, deadline 4000 ms",
        );
        client::send(callers, request, Duration::from_millis(6_000), |body| {
            let _ = sender.send(body.matches("data: piece").count());
        })
    });
    if has_trouble() {
        while pieces.recv().is_ok_and(|count| count < 3) {}
        let running = record
            .lines_with(": runs ")
            .pop()
            .unwrap_or_else(|| cannot_run("no runner has run the request"));
        let runner = runners.iter_mut().find(|it| running.contains(&it.id)).unwrap();
        runner.crash_behind_cut(record, &store);
    }
    let answer = client.join().unwrap();
    let received = answer.body.matches("data: piece").count();
    let end = if answer.is_whole { "complete" } else { "broken off" };
    record.write(&format!(
        "client has {} after {} ms: {received} of {PIECES} pieces, the answer appears {end}",
        answer.status, answer.after_ms
    ));
    if std::env::var("KEEP_LOGS").is_ok() {
        for node in &nodes {
            println!("{}", std::fs::read_to_string(&node.log).unwrap_or_default());
        }
    }
    answer.is_whole && answer.status == 200 && received < PIECES
}
