//! `pitchstall explain` reconstructs the history of a request from log lines alone.
#![allow(clippy::unwrap_used, missing_docs)]

use std::process::Command;

/// Collected log lines of two nodes. One runner leaves while it runs the request `r-1`; another one crashes
/// under a request that later arrives as `r-3`. `explain` has to keep reading the lines of earlier builds, so the
/// events here stay as they are when log events are reworded.
const LINES: &str = r#"
   1.9000 node-2 {"event":"finished","kind":"request","outcome":"streamed","request":"other","time":"2026-01-01T00:00:01.900Z"}
   2.0000 node-1 {"event":"sent","kind":"attempt","request":"r-1","runner":"i-a","time":"2026-01-01T00:00:02.000Z","work":"run"}
not a log line
   2.2000 node-1 {"event":"left","kind":"fleet","revision":9,"runner":"i-a","time":"2026-01-01T00:00:02.200Z"}
   2.2500 node-1 {"event":"left","kind":"fleet","revision":9,"runner":"i-z","time":"2026-01-01T00:00:02.250Z"}
   2.3000 node-1 {"error":"the connection was closed","event":"lost","kind":"attempt","request":"r-1","runner":"i-a","time":"2026-01-01T00:00:02.300Z"}
   2.3010 node-1 {"event":"given up","execution":"Unknown","kind":"request","reason":"Failed","request":"r-1","time":"2026-01-01T00:00:02.301Z"}
   2.3020 node-1 {"event":"finished","kind":"request","outcome":"bad_gateway","request":"r-1","time":"2026-01-01T00:00:02.302Z"}
   3.0000 node-2 {"event":"broken attempt","identity":"aa11","kind":"crash","request":"r-2","runner":"i-c","time":"2026-01-01T00:00:03.000Z"}
   3.0010 node-2 {"event":"runner ended","identities":"bb22 aa11","kind":"crash","runner":"i-c","time":"2026-01-01T00:00:03.001Z"}
   3.0020 node-1 {"event":"quarantined","identity":"bb22","kind":"crash","runner":"i-c","time":"2026-01-01T00:00:03.002Z"}
   9.0000 node-1 {"event":"held back","identity":"aa11","kind":"crash","request":"r-3","time":"2026-01-01T00:00:09.000Z"}
"#;

fn explain(id: &str) -> (bool, String) {
    let file = std::env::temp_dir().join(format!("pitchstall-explain-{}-{id}", std::process::id()));
    std::fs::write(&file, LINES).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
        .args(["explain", id, file.to_str().unwrap()])
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn output_leads_from_the_request_id_to_the_cause() {
    let (found, text) = explain("r-1");
    assert!(found);
    let events: Vec<&str> = text
        .lines()
        .map(|line| line.split(": ").nth(1).unwrap().split(" execution").next().unwrap())
        .map(|event| event.split(' ').next().unwrap())
        .collect();
    assert_eq!(events, ["sent", "left", "lost", "given", "finished"]);
    assert!(text.contains("node-1 attempt: lost error=the connection was closed runner=i-a"));
    assert!(!text.contains("i-z"));
}

#[test]
fn a_quarantined_request_leads_to_the_earlier_crashes() {
    let (found, text) = explain("r-3");
    assert!(found);
    let events = ["broken attempt", "runner ended", "held back"];
    assert_eq!(text.lines().count(), events.len(), "{text}");
    assert!(text.lines().zip(events).all(|(line, event)| line.contains(event)), "{text}");
}

#[test]
fn an_unknown_request_is_reported() {
    let (found, text) = explain("nobody");
    assert!(!found);
    assert!(text.contains("no line names the request nobody"));
}
