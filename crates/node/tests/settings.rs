//! The settings file: the example is valid, and what is wrong is told with its place.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_node::DaemonSettings;
use std::path::Path;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/node.toml");

fn parse(text: &str) -> Result<DaemonSettings, String> {
    DaemonSettings::parse(Path::new("node.toml"), text).map_err(|error| error.to_string())
}

#[test]
fn the_example_is_valid_and_shows_the_defaults() {
    let example = parse(EXAMPLE).unwrap();
    let required: String =
        EXAMPLE.lines().take_while(|line| *line != "[requests]").collect::<Vec<_>>().join("\n");
    let defaults = parse(&required).unwrap();
    assert_eq!(example.requests, defaults.requests);
    assert_eq!(example.control, defaults.control);
    assert_eq!(example.log, defaults.log);
}

#[test_case("zone = \"brest\"", "zome = \"brest\"", &["line 9", "unknown field `zome`"]; "unknown key")]
#[test_case("\"500ms\"", "\"500 parsecs\"", &["heartbeat_every", "500 parsecs", "expected a whole number with ms, s, m or h"]; "unknown unit")]
#[test_case("\"500ms\"", "500", &["heartbeat_every"]; "no unit")]
#[test_case("suspect_after = \"2s\"", "suspect_after = \"1s\"", &["suspect_after", "line ", "three times heartbeat_every"]; "impossible combination")]
#[test_case("lease_ttl = \"6s\"", "lease_ttl = \"6500ms\"", &["lease_ttl", "whole seconds"]; "a fraction of a second")]
#[test_case("movement_bound = \"6s\"", "movement_bound = \"60s\"", &["movement_bound", "at most 7s"]; "too long a bound")]
#[test_case("\"127.0.0.1:7101\"", "\"brest:7101\"", &["callers"]; "a name for an address")]
#[test_case("key_sha256 = \"0", "key_sha256 = \"x", &["key_sha256", "64 hexadecimal digits"]; "a key that is no digest")]
fn what_is_wrong_is_told_with_its_place(from: &str, to: &str, expected: &[&str]) {
    assert!(EXAMPLE.contains(from));
    let error = parse(&EXAMPLE.replacen(from, to, 1)).unwrap_err();
    for part in expected {
        assert!(error.contains(part), "`{part}` is not in: {error}");
    }
}
