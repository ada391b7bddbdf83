//! Validation of settings files: errors name the place and the expected value.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::settings::Settings;
use std::path::Path;
use test_case::test_case;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.toml");
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn the_example_is_valid() {
    Settings::parse(Path::new("serve.toml"), &example()).unwrap();
}

#[test_case("contact_ms = 3000", "contact_ms = \"3000\"", "line 17"; "a string instead of a number")]
#[test_case("contact_ms = 3000", "contact_ms = 0", "bounds.contact_ms: expected more than 0"; "out of range")]
#[test_case("retry_ratio = 0.2", "retry_ratio = 11", "bounds.retry_ratio: expected 0 to 10"; "a ratio out of range")]
#[test_case("zone = \"brest-hall\"", "zone = \"\"", "node.zone: expected the name of a zone"; "no zone")]
#[test_case("name = \"node-1\"", "nmae = \"node-1\"", "unknown field `nmae`"; "a field that does not exist")]
#[test_case("address = \"127.0.0.1:2379\"", "address = \"nowhere\"", "invalid socket address"; "an invalid address")]
#[test_case("[store]", "[stores]", "unknown field `stores`"; "a section that does not exist")]
#[test_case("quimper-hall = \"finistere\"", "quimper-hall = \"\"", "node.regions: expected the name of a region for each zone"; "a region without a name")]
#[test_case("quimper-hall = \"finistere\"", "\"\" = \"finistere\"", "node.regions: expected the name of a region for each zone"; "a zone without a name")]
fn an_invalid_setting_is_rejected_with_its_location(valid: &str, invalid: &str, expected: &str) {
    let text = example();
    assert!(text.contains(valid));
    let error = Settings::parse(Path::new("serve.toml"), &text.replacen(valid, invalid, 1));
    let message = error.unwrap_err().to_string();
    assert!(message.contains(expected), "{message}");
    assert!(message.starts_with("serve.toml"), "{message}");
}
