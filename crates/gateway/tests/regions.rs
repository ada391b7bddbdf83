//! Requests of a node whose schedulers are in its own region and in another. Other nodes are played
//! by sockets.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{EventStream, Reaction, RunnerStandIn};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use support::{configuration, get, wait_for, Fixture};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
/// `north` and `coast` are one region, `south` is another.
const REGIONS: &str = "[node.regions]\nnorth = \"up\"\ncoast = \"up\"\nsouth = \"down\"\n";

fn writer(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| Reaction::Stream(EventStream::for_request(request, 3)))
        .unwrap()
}

fn metric(node: &Fixture, name: &str) -> Option<u64> {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next().unwrap().parse().ok()
}

fn is_served(node: &Fixture, id: &str) -> bool {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, PROMPT, b"{}");
    let answer = client.read_answer();
    answer.status == 200 && answer.complete
}

/// A stronger node than any, so that it is the scheduler of its region.
struct Scheduler {
    name: &'static str,
    zone: &'static str,
    socket: UdpSocket,
}

impl Scheduler {
    fn new(name: &'static str, zone: &'static str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        Self { name, zone, socket }
    }

    /// Waits until a request that it placed is over.
    fn wait_for_end(&self, asked: &Value) {
        loop {
            let word = self.next("progress").expect("the word that the request is over");
            assert_eq!(word["i"], asked["i"]);
            if word["g"] == "e" {
                return;
            }
        }
    }

    fn send(&self, node: &Fixture, word: &Value) {
        self.socket.send_to(word.to_string().as_bytes(), node.peers).unwrap();
    }

    fn introduce(&self, node: &Fixture, sequence: u64) {
        let address = self.socket.local_addr().unwrap().to_string();
        let member = json!({ "a": address, "z": self.zone, "p": 60_000 });
        let digest =
            json!({ "node": self.name, "incarnation": 1, "sequence": sequence, "member": member });
        self.send(node, &json!({ "digest": digest }));
    }

    /// The next word of a kind, if one comes soon.
    fn next(&self, kind: &str) -> Option<Value> {
        let until = Instant::now() + Duration::from_secs(3);
        let mut buffer = vec![0; 60_000];
        while Instant::now() < until {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let word: Value = serde_json::from_slice(&buffer[..length]).unwrap();
            if let Some(found) = word.get(kind) {
                return Some(found.clone());
            }
        }
        None
    }
}

/// How many prompts a runner was sent; it is asked for the list of its cache too.
fn prompts(runner: &RunnerStandIn) -> usize {
    runner.requests().iter().filter(|request| request.method == "POST").count()
}

/// A node with one runner in its own region and one in the other, and a scheduler of each.
fn node(own: &RunnerStandIn, other: &RunnerStandIn) -> (Fixture, Scheduler, Scheduler) {
    let node = Fixture::start_told(REGIONS);
    node.store.put("op/config", &configuration(3));
    node.put_runner_in("coast", own, "llm", Some("decode"), "ready");
    node.put_runner_in("south", other, "llm", Some("decode"), "ready");
    node.wait_until_ready();
    let near = Scheduler::new("near", "coast");
    let far = Scheduler::new("far", "south");
    near.introduce(&node, 1);
    far.introduce(&node, 1);
    std::thread::sleep(Duration::from_millis(50));
    (node, near, far)
}

fn plan(runner: &RunnerStandIn) -> Value {
    json!({ "d": { "r": runner.id(), "u": 1, "l": 0, "k": 1, "e": 1, "m": 1 } })
}

#[test]
fn a_question_goes_to_the_own_region_and_then_where_that_one_says() {
    let (own, other) = (writer("i-1"), writer("i-2"));
    let (node, near, far) = node(&own, &other);
    std::thread::scope(|scope| {
        let served = scope.spawn(|| is_served(&node, "id"));
        let asked = near.next("ask").unwrap();
        assert_eq!((&asked["h"]["r"], &asked["w"]), (&json!("up"), &json!(false)));
        let elsewhere = json!({ "r": "down", "w": "w" });
        near.send(&node, &json!({ "place": { "i": asked["i"], "p": null, "o": elsewhere } }));
        let asked = far.next("ask").unwrap();
        assert_eq!((&asked["h"]["r"], &asked["w"]), (&json!("down"), &json!(true)));
        // A question to another region is not given up as soon as one to the next machine.
        std::thread::sleep(Duration::from_millis(30));
        far.send(&node, &json!({ "place": { "i": asked["i"], "p": plan(&other) } }));
        far.wait_for_end(&asked);
        assert!(served.join().unwrap());
    });
    assert_eq!((prompts(&own), prompts(&other)), (0, 1));
    let left = metric(&node, "pitchstall_left_region_total{reason=\"long_wait\"}");
    assert_eq!(left, Some(1));
    assert!(metric(&node, "pitchstall_far_bytes_total{word=\"question\"}").unwrap() > 0);
}

#[test]
fn a_question_that_was_given_up_leaves_nothing_set_aside_in_either_region() {
    let (own, other) = (writer("i-1"), writer("i-2"));
    let (node, near, far) = node(&own, &other);
    std::thread::scope(|scope| {
        let served = scope.spawn(|| is_served(&node, "id"));
        let asked = near.next("ask").unwrap();
        let elsewhere = json!({ "r": "down", "w": "w" });
        near.send(&node, &json!({ "place": { "i": asked["i"], "p": null, "o": elsewhere } }));
        let asked = far.next("ask").unwrap();
        assert!(served.join().unwrap(), "by what the node knows itself");
        far.wait_for_end(&asked);
        // That word may have overtaken the question: the answer is told again.
        far.send(&node, &json!({ "place": { "i": asked["i"], "p": plan(&other) } }));
        far.wait_for_end(&asked);
    });
    assert_eq!((prompts(&own), prompts(&other)), (1, 0));
}

#[test]
fn a_region_without_a_runner_for_it_is_left() {
    let (own, other) = (writer("i-1"), writer("i-2"));
    let node = Fixture::start_told(REGIONS);
    node.store.put("op/config", &configuration(3));
    node.put_runner_in("south", &other, "llm", Some("decode"), "ready");
    node.wait_until_ready();
    assert!(is_served(&node, "id"));
    assert_eq!(prompts(&other), 1);
    node.put_runner_in("coast", &own, "llm", Some("decode"), "ready");
    wait_for("its own region's runner to be used", || {
        assert!(is_served(&node, "id"));
        prompts(&own) > 0
    });
    let left = metric(&node, "pitchstall_left_region_total{reason=\"no_runner\"}");
    assert!(left.is_some_and(|left| left >= 1), "{left:?}");
}
