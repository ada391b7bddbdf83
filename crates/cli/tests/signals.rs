//! Signals that arrive while a node is starting. A SIGHUP for a reload would terminate the process if its
//! handler were registered only after the settings are read.
#![allow(clippy::unwrap_used, missing_docs)]

use nix::sys::stat::Mode;
use nix::unistd::mkfifo;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time within which the process has to register its signal handlers.
const CATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Bits of SIGHUP and SIGTERM in a signal mask.
const SIGHUP_BIT: u64 = 1;
const SIGTERM_BIT: u64 = 1 << 14;

/// The mask of the signals that a process catches.
fn caught_signals(process: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap();
    u64::from_str_radix(mask.trim(), 16).unwrap()
}

#[test]
fn signals_are_caught_before_the_settings_are_read() {
    let name = format!("pitchstall-signals-{}", std::process::id());
    let settings = std::env::temp_dir().join(name);
    mkfifo(&settings, Mode::S_IRWXU).unwrap();
    // Nothing is written to the pipe, so that the process blocks while it reads its settings.
    let mut process = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
        .args(["serve", "--settings", settings.to_str().unwrap()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let deadline = Instant::now() + CATCH_TIMEOUT;
    let expected = SIGHUP_BIT | SIGTERM_BIT;
    while caught_signals(&process) & expected != expected && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    let caught = caught_signals(&process);
    process.kill().unwrap();
    process.wait().unwrap();
    std::fs::remove_file(&settings).unwrap();
    assert_eq!(caught & expected, expected);
}
