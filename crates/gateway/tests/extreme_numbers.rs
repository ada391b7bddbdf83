//! Numbers of runners, clients, operators and other nodes that no computation can hold. Each request gets its response,
//! and no task of the node panics. Tests are built with checks for overflows, so that one that wraps is found too.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_gateway::peer_messages::PeerMessage;
use pitchstall_gateway::settings::Settings;
use pitchstall_platform_standins::runner::{EventStream, Reaction, RunnerStandIn};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::path::Path;
use std::sync::{Mutex, Once};
use support::{configuration, get, json_response, route, runner_entry, serves, wait_for, Fixture};
use test_case::test_case;

/// Panics of any thread of this process, by their message and place.
static PANICS: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn record_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            // A failed assertion of another test is no panic of a node.
            if panic.location().is_none_or(|place| !place.file().contains("tests/")) {
                PANICS.lock().unwrap().push(panic.to_string());
            }
        }));
    });
}

fn assert_no_panics() {
    let panics = PANICS.lock().unwrap().clone();
    assert!(panics.is_empty(), "{} panics, the first: {}", panics.len(), panics[0]);
}

/// Runners of the service `llm`: one that prefills, one that decodes, and reports its load as `load`.
fn llm_runners(headers: &'static str) -> (RunnerStandIn, RunnerStandIn) {
    let prefill = RunnerStandIn::start("i-prefill", |request| match request.target.as_str() {
        "/v1/report" => json_response(
            r#"{"stage":"prefill","busy":false,"seq":18446744073709551615,"queued":18446744073709551615}"#,
        ),
        "/v1/kv-list" => json_response(
            r#"{"epoch":"e","next_token":18446744073709551615,"held":[["a","1",18446744073709551615,"b"],["c","2",18446744073709551615,"d"]]}"#,
        ),
        _ => json_response(r#"{"kv_handle":"handle"}"#),
    });
    let decode = RunnerStandIn::start("i-decode", move |request| {
        if headers.is_empty() {
            return Reaction::Stream(EventStream::for_request(request, 2));
        }
        let id = request.id().unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-pitchstall-request-id: {id}\r\nx-pitchstall-server-stamp: stamp\r\n{headers}\
             content-length: 25\r\n\r\nid: 0\ndata: token 0\n\nid:1\n"
        );
        Reaction::Raw(response.into_bytes())
    });
    (prefill.unwrap(), decode.unwrap())
}

/// A runner that states in each response how long it keeps idle connections open.
fn runner_with_keep_alive(timeout: &'static str) -> RunnerStandIn {
    let runner = RunnerStandIn::start("i-desk", move |request| {
        let id = request.id().unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-pitchstall-request-id: {id}\r\nx-pitchstall-server-stamp: stamp\r\n\
             keep-alive: timeout={timeout}\r\ncontent-length: 6\r\n\r\nbooked"
        );
        Reaction::Raw(response.into_bytes())
    });
    runner.unwrap()
}

#[test_case("0"; "zero")]
#[test_case("-1"; "minus one")]
#[test_case("-9223372036854775808"; "smallest signed 64 bit number")]
#[test_case("1e308"; "a large float")]
#[test_case("86401"; "more than a day")]
#[test_case("263524915338707881"; "the smallest whose product with 70 overflows")]
#[test_case("9223372036854775807"; "largest signed 64 bit number")]
#[test_case("18446744073709551615"; "largest 64 bit number")]
#[test_case("18446744073709551616"; "more than 64 bits")]
fn an_extreme_keep_alive_does_not_lose_responses(timeout: &'static str) {
    let runner = runner_with_keep_alive(timeout);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for number in 0..3 {
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"a booking");
        let response = client.read_response();
        assert_eq!((response.status, response.body), (200, b"booked".to_vec()));
    }
}

#[test_case("x-pitchstall-deadline-ms: 18446744073709551615"; "deadline")]
#[test_case("x-pitchstall-deadline-ms: 0"; "no time at all")]
#[test_case("x-pitchstall-deadline-ms: -1"; "negative deadline")]
#[test_case("x-pitchstall-token-count: 18446744073709551615,18446744073709551615"; "token counts")]
#[test_case("x-pitchstall-token-count: -1,-1"; "negative token counts")]
#[test_case("x-pitchstall-prefix-hash: ffffffffffffffff:18446744073709551615,1:18446744073709551615,2:18446744073709551615"; "tokens of parts")]
#[test_case("x-pitchstall-prefix-hash: 1:0,2:0"; "empty parts")]
#[test_case("last-event-id: 18446744073709551615"; "event id")]
fn an_extreme_number_of_a_client_is_answered(header: &str) {
    record_panics();
    let (prefill, decode) = llm_runners("");
    let desk = RunnerStandIn::start("i-desk", |_| Reaction::Respond {
        status: 200,
        body: b"done".to_vec(),
    });
    let desk = desk.unwrap();
    let node = Fixture::with_runners(&[
        (&desk, "desk", None),
        (&prefill, "llm", Some("prefill")),
        (&decode, "llm", Some("decode")),
    ]);
    for (number, path) in
        ["/booking/1", "/draft/1", "/summary/1", "/draft/2"].into_iter().enumerate()
    {
        let mut client = node.client();
        client.request(
            "POST",
            path,
            &format!("id-{number}"),
            &format!("{header}\r\n"),
            b"a prompt",
        );
        assert!(client.read_response().status >= 200, "{path}");
    }
    assert_no_panics();
}

#[test_case("x-pitchstall-load-report: 4294967295,4294967295,4294967295\r\n"; "load")]
#[test_case("retry-after: 1e308\r\n"; "rest that only a refusal can state")]
#[test_case("server-limit: 1e308\r\n"; "large limit")]
#[test_case("server-limit: 18446744073709551615\r\n"; "limit of 64 bits")]
#[test_case("server-limit: -1\r\n"; "negative limit")]
#[test_case("server-limit: 5e-324\r\n"; "smallest limit")]
fn an_extreme_number_of_a_runner_does_not_lose_responses(headers: &'static str) {
    record_panics();
    let (prefill, decode) = llm_runners(headers);
    let node = Fixture::with_runners(&[
        (&prefill, "llm", Some("prefill")),
        (&decode, "llm", Some("decode")),
    ]);
    for number in 0..3 {
        let mut client = node.client();
        client.request("POST", "/draft/1", &format!("id-{number}"), "", b"a prompt");
        assert!(client.read_response().status >= 200);
    }
    assert_no_panics();
}

#[test_case("1e308")]
#[test_case("18446744073709551615"; "largest 64 bit number")]
#[test_case("-1"; "negative")]
#[test_case("0"; "zero")]
fn an_extreme_rest_of_a_runner_is_survived(seconds: &'static str) {
    record_panics();
    let runner = RunnerStandIn::start("i-desk", move |request| {
        let id = request.id().unwrap_or_default();
        let response = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-pitchstall-request-id: {id}\r\nx-pitchstall-not-executed: 1\r\n\
             retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
        );
        Reaction::Raw(response.into_bytes())
    });
    let runner = runner.unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    for number in 0..3 {
        let mut client = node.client();
        client.request("GET", "/lookup/1", &format!("id-{number}"), "", b"");
        assert_eq!(client.read_response().status, 503);
    }
    assert_no_panics();
}

/// A configuration whose numbers are all extreme, but for the route `probe`.
fn extreme_configuration(version: u64, large: u64, small: u32, float: f64) -> Value {
    let extreme_route = |name: &str, kind: &str, service: &str| {
        let mut extreme = route(name, kind, service);
        extreme["timeout_ms"] = large.into();
        extreme["target_ms"] = large.into();
        extreme["gap_target_ms"] = large.into();
        extreme["priority"] = u8::MAX.into();
        extreme["max_attempts"] = small.into();
        extreme["resumable"] = (kind == "streaming").into();
        let split: Value = json!([{ "service": service, "weight": small.max(1) }, { "service": "none", "weight": 0 }]);
        extreme["traffic_split"] = split;
        extreme
    };
    let scaling = json!({
        "min_replicas": small, "max_replicas": small, "boot_s": float, "spot_price": float,
        "zone_prices": { "north": float },
    });
    let engine = json!({
        "slots": small, "kv_tokens": large, "kv_bytes": large, "link_mbps": float, "handle_ttl_s": float,
    });
    json!({
        "version": version,
        "routes": [
            extreme_route("booking", "non_idempotent", "desk"),
            extreme_route("lookup", "idempotent", "desk"),
            extreme_route("draft", "streaming", "llm"),
            route(&format!("probe{version}"), "idempotent", "desk"),
        ],
        "services": [
            { "name": "desk", "health_path": "/health", "max_conns": small.max(100), "scaling": scaling },
            { "name": "llm", "health_path": "/health", "max_conns": small.max(100), "engine": engine, "scaling": scaling },
        ],
        "limits": { "max_header_bytes": large.max(8_192), "max_body_bytes": large.max(65_536),
            "header_timeout_ms": large.max(3_000), "idle_timeout_ms": large.max(15_000) },
    })
}

#[test_case(u64::MAX, u32::MAX, f64::MAX; "largest unsigned numbers")]
#[test_case(i64::MAX as u64, i32::MAX as u32, -f64::MAX; "largest signed numbers")]
#[test_case(0, 0, 0.0; "zeros")]
fn extreme_numbers_of_a_configuration_are_survived(large: u64, small: u32, float: f64) {
    record_panics();
    let (prefill, decode) = llm_runners("");
    let desk = RunnerStandIn::start("i-desk", |_| Reaction::Respond {
        status: 200,
        body: b"done".to_vec(),
    });
    let desk = desk.unwrap();
    let node = Fixture::with_runners(&[
        (&desk, "desk", None),
        (&prefill, "llm", Some("prefill")),
        (&decode, "llm", Some("decode")),
    ]);
    node.store.put("op/config", &extreme_configuration(4, large, small, float));
    wait_for("the configuration to come into force", || serves(&node, "probe4"));
    for (number, path) in
        ["/booking/1", "/lookup/1", "/draft/1", "/draft/2"].into_iter().enumerate()
    {
        let mut client = node.client();
        let parts =
            "x-pitchstall-prefix-hash: 1:2000,2:300\r\nx-pitchstall-token-count: 2300,100\r\n";
        client.request("POST", path, &format!("id-{number}"), parts, b"a prompt");
        assert!(client.read_response().status >= 200, "{path}");
    }
    // The next configuration can be put in force.
    node.store.put("op/config", &configuration(5));
    wait_for("the next configuration to come into force", || serves(&node, "lookup"));
    assert_no_panics();
}

#[test_case(u64::MAX, u32::MAX; "largest unsigned numbers")]
#[test_case(i64::MAX as u64, i32::MAX as u32; "largest signed numbers")]
#[test_case(0, 0; "zeros")]
fn extreme_numbers_of_store_entries_are_survived(large: u64, small: u32) {
    record_panics();
    let (prefill, decode) = llm_runners("");
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    for (runner, stage) in [(&prefill, "prefill"), (&decode, "decode")] {
        let mut entry = runner_entry(runner, "llm", "north", "ready");
        entry["stage"] = stage.into();
        entry["slots"] = small.into();
        entry["seq"] = large.into();
        entry["cold_left_ms"] = large.into();
        entry["leaves_ms"] = large.into();
        node.store.put(&format!("servers/{}", runner.id()), &entry);
    }
    let crash = json!({ "at_ms": large, "depth": u8::MAX });
    let identity = "0".repeat(32);
    for runner in ["a", "b", "c", "d"] {
        node.store.put(&format!("pitchstall/crashes/{identity}/{runner}"), &crash);
    }
    node.wait_until_ready();
    for number in 0..3 {
        let mut client = node.client();
        client.request("POST", "/draft/1", &format!("id-{number}"), "", b"a prompt");
        assert_eq!(client.read_response().status, 200);
    }
    assert_eq!(get(node.health, "/quarantine").status, 200);
    assert_no_panics();
}

/// One message of each kind that carries numbers; `N` stands for a number of 64 bits, `H` for one of 32 bits.
const MESSAGES: [&str; 22] = [
    r#"{"digest":{"node":"other","incarnation":7,"sequence":N,"member":{"a":"127.0.0.1:9","z":"north","p":H},"store":{"f":{"c":N,"a":N},"r":{"c":N,"e":N,"a":N},"q":{"c":N,"a":N}},"changing":[{"r":"i-decode","s":"p","l":N}],"q":[{"k":{"z":"north","n":255},"r":N,"e":N}],"l":[{"r":"i-decode","l":N,"a":N}],"wall_ms":N}}"#,
    r#"{"digest":{"node":"third","incarnation":8,"sequence":1,"member":{"a":"127.0.0.1:9","z":"south","p":H},"store":{"f":{"c":N,"a":N},"r":{"c":N,"a":N},"q":{"c":N,"a":N}},"wall_ms":N}}"#,
    r#"{"members":[["fourth",{"a":"127.0.0.1:9","z":"north","p":H}]]}"#,
    r#"{"ask":{"i":{"f":1,"k":N},"d":"id","a":"127.0.0.1:9","h":{"r":"north","n":N,"of":N},"w":false,"s":"llm","p":[[1,N],[2,N],[3,N]],"t":N,"o":N,"g":N,"e":N,"l":N,"z":"north"}}"#,
    r#"{"ask":{"i":{"f":1,"k":N},"d":"id","a":"127.0.0.1:9","h":{"r":"north","n":0,"of":1},"w":false,"s":"llm","p":[[1,N],[2,N],[3,N]],"t":N,"o":N,"g":N,"e":N,"l":N,"z":"north"}}"#,
    r#"{"ask":{"i":{"f":1,"k":5},"d":"id","a":"127.0.0.1:9","h":{"r":"north","n":0,"of":1},"w":true,"s":"llm","p":[[1,N],[2,N]],"t":N,"o":N,"g":0,"e":N,"l":0,"z":"south"}}"#,
    r#"{"place":{"i":{"f":N,"k":N},"p":{"s":[{"r":"i-prefill","u":N,"l":N,"k":N,"e":N,"m":N},{"r":"i-decode","u":N,"l":N,"k":N,"e":N,"m":N}]}}}"#,
    r#"{"progress":{"i":{"f":1,"k":5},"g":{"r":N}}}"#,
    r#"{"progress":{"i":{"f":1,"k":5},"g":"e"}}"#,
    r#"{"loads":{"h":{"r":"north","n":0,"of":1},"l":[{"r":"i-decode","n":H,"w":H,"t":N,"l":N,"k":N,"a":N},{"r":"i-prefill","n":H,"w":H,"t":N,"l":N,"k":N,"a":N}]}}"#,
    r#"{"loads":{"h":{"r":"north","n":N,"of":N},"l":[{"r":"i-decode","n":H,"w":H,"t":N,"l":N,"k":N,"a":N}]}}"#,
    r#"{"region":{"r":"south","l":[{"s":"llm","n":H,"w":N,"o":H}]}}"#,
    r#"{"parts":[{"r":"i-decode","p":[[1,N],[2,N],[3,N]]},{"r":"i-prefill","p":[[1,N],[2,N]]}]}"#,
    r#"{"usage?":{"number":N,"answer_to":["127.0.0.1:9"],"from_window":N,"relays":true}}"#,
    r#"{"usage":{"origin":{"n":"other","i":N},"answers":N,"windows":[{"w":N,"c":{"cranes":N}},{"w":1,"c":{"cranes":N}}],"fixed":[{"w":N,"c":{"cranes":N}}]}}"#,
    r#"{"usage":{"origin":{"n":"third","i":N},"answers":N,"windows":[{"w":N,"c":{"cranes":N}},{"w":1,"c":{"cranes":N}}]}}"#,
    r#"{"crash":{"ended":{"r":"i-x","q":["00000000000000000000000000000000"],"p":[{"i":"00000000000000000000000000000001","d":255}]}}}"#,
    r#"{"quota?":{"i":{"f":1,"k":N},"a":"127.0.0.1:9","t":"cranes","l":{"r":N,"b":N,"u":"t","p":N},"v":N,"c":N,"k":255,"e":{"z":"","n":0},"m":9223372036854775807,"p":[{"e":{"z":"","n":1},"c":N},{"e":{"z":"","n":2},"c":N}]}}"#,
    r#"{"quota":{"i":{"f":N,"k":N},"k":{"z":"","n":0},"d":{"r":{"w":N}},"l":-9223372036854775808}}"#,
    r#"{"limit?":{"i":{"f":1,"k":N},"w":{"r":"i-decode","l":N,"a":N}}}"#,
    r#"{"limit+":{"r":"i-decode","l":N,"a":N}}"#,
    r#"{"retry+":{"i":{"f":N,"k":N},"w":N,"d":[{"s":"llm","t":H}]}}"#,
];

#[test_case(u64::MAX, u32::MAX; "largest unsigned numbers")]
#[test_case(i64::MAX as u64, i32::MAX as u32; "largest signed numbers")]
#[test_case(0, 0; "zeros")]
fn extreme_numbers_of_other_nodes_are_survived(large: u64, small: u32) {
    record_panics();
    let (prefill, decode) = llm_runners("");
    let node = Fixture::with_runners(&[
        (&prefill, "llm", Some("prefill")),
        (&decode, "llm", Some("decode")),
    ]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut unread = 0;
    for message in MESSAGES {
        let usual = message.replace(['N', 'H'], "1");
        serde_json::from_str::<PeerMessage>(&usual).unwrap();
        let extreme = message.replace('N', &large.to_string()).replace('H', &small.to_string());
        socket.send_to(extreme.as_bytes(), node.peers).unwrap();
        // The node still receives datagrams, so that it counts this one.
        unread += 1;
        socket.send_to(b"unreadable", node.peers).unwrap();
        let counted = format!("pitchstall_words_unread_total {unread}");
        wait_for(&format!("a datagram to be counted after {extreme}"), || {
            get(node.health, "/metrics").text().contains(&counted)
        });
    }
    for number in 0..3 {
        let mut client = node.client();
        client.request("POST", "/draft/1", &format!("id-{number}"), "", b"a prompt");
        assert!(client.read_response().status >= 200);
    }
    // The periodic tasks have run with what the messages said.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    assert_no_panics();
}

#[test_case("contact_ms = 9223372036854775807"; "contact time")]
#[test_case("lease_ms = 9223372036854775807"; "lease")]
#[test_case("config_apply_ms = 9223372036854775807"; "time to apply a configuration")]
#[test_case("revoke_ms = 9223372036854775807"; "time to revoke a key")]
#[test_case("grace_s = 1e300"; "a large grace period")]
#[test_case("grace_s = inf"; "an endless grace period")]
#[test_case("grace_s = nan"; "a grace period that is no number")]
#[test_case("retry_slack = inf"; "endless retries")]
#[test_case("retry_ratio = nan"; "a share of retries that is no number")]
fn an_extreme_setting_is_rejected(line: &str) {
    let (field, _) = line.split_once(' ').unwrap();
    let usual = [
        "contact_ms = 1000",
        "grace_s = 5.0",
        "lease_ms = 200",
        "retry_ratio = 1.2",
        "retry_slack = 4.0",
    ];
    let others = usual.into_iter().filter(|other| !other.starts_with(&format!("{field} ")));
    let bounds: Vec<&str> = others.chain([line]).collect();
    let text = format!(
        "[node]\nname = \"node\"\nzone = \"north\"\n[listen]\ncallers = \"127.0.0.1:1\"\nhealth = \"127.0.0.1:2\"\n\
         peers = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:4\"\n[bounds]\n{}\n",
        bounds.join("\n")
    );
    let error = Settings::parse(Path::new("settings"), &text).unwrap_err().to_string();
    assert!(error.contains(&format!("bounds.{field}: expected")), "{error}");
}
