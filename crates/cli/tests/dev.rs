//! The README's first command.
#![allow(clippy::unwrap_used, missing_docs)]

use std::process::Command;

#[test]
fn dev_once_serves_a_mixed_load_whole() {
    let output = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
        .args(["dev", "--once", "--port", "17520"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("60 of 60 answers were whole"), "{text}");
}
