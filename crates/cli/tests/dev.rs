//! `pitchstall dev --once`, the first command of the README.
#![allow(clippy::unwrap_used, missing_docs)]

use std::process::Command;

/// Runs `pitchstall dev --once` with additional arguments; returns whether it succeeded, and its output.
fn dev_once(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
        .args(["dev", "--once"])
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn dev_once_serves_a_mixed_load() {
    let (succeeded, text) = dev_once(&["--port", "17520"]);
    assert!(succeeded, "{text}");
    assert!(text.contains("60 of 60 answers were whole"), "{text}");
}

#[test]
fn dev_once_serves_a_mixed_load_in_two_regions() {
    let (succeeded, text) =
        dev_once(&["--port", "17540", "--regions", "2", "--region-delay-ms", "30"]);
    assert!(succeeded, "{text}");
    assert!(text.contains("60 of 60 answers were whole"), "{text}");
}

#[test]
fn dev_rejects_an_invalid_number_of_regions() {
    let (succeeded, text) = dev_once(&["--port", "17560", "--regions", "3"]);
    assert!(!succeeded);
    assert!(text.contains("--regions: expected 1 to 2"), "{text}");
}
