//! `pitchstall dev --once`, the first command of the README.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that the nodes and stand-ins of one run take, from the one that it is told on.
const PORTS: u16 = 40;

/// The first of some ports that nobody listens on. Several runs of these tests at once begin to look at different places.
fn free_ports() -> String {
    const FIRST: u16 = 10_000;
    const BLOCKS: u16 = 500;
    let own_place = u16::try_from(std::process::id() % u32::from(BLOCKS)).unwrap();
    let is_free = |port: &u16| {
        (*port..*port + PORTS).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok())
    };
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let mut candidates = std::iter::repeat_with(|| {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst);
        FIRST + (own_place + offset) % BLOCKS * PORTS
    });
    candidates.find(is_free).unwrap().to_string()
}

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
    let (succeeded, text) = dev_once(&["--port", &free_ports()]);
    assert!(succeeded, "{text}");
    assert!(text.contains("60 of 60 answers were whole"), "{text}");
}

#[test]
fn dev_once_serves_a_mixed_load_in_two_regions() {
    let (succeeded, text) =
        dev_once(&["--port", &free_ports(), "--regions", "2", "--region-delay-ms", "30"]);
    assert!(succeeded, "{text}");
    assert!(text.contains("60 of 60 answers were whole"), "{text}");
}

#[test]
fn dev_rejects_an_invalid_number_of_regions() {
    let (succeeded, text) = dev_once(&["--port", &free_ports(), "--regions", "3"]);
    assert!(!succeeded);
    assert!(text.contains("--regions: expected 1 to 2"), "{text}");
}
