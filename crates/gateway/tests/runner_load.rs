//! Encoding of the runner loads that schedulers report.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::scheduling::RunnerLoad;

#[test]
fn a_load_omits_zero_fields_and_decodes_messages_without_them() {
    let load = RunnerLoad {
        runner: RunnerId::new("d0"),
        in_flight: 2,
        pending_prefills: 0,
        prefill_tokens: 0,
        overdue_tokens: 0,
        held_tokens: 7,
        prefill_tokens_per_s: 0,
    };
    let encoded = serde_json::to_string(&load).unwrap();
    assert_eq!(encoded, r#"{"r":"d0","n":2,"t":0,"k":7}"#);
    assert_eq!(serde_json::from_str::<RunnerLoad>(&encoded).unwrap(), load);
    let whole =
        RunnerLoad { pending_prefills: 1, overdue_tokens: 5, prefill_tokens_per_s: 9, ..load };
    let encoded = serde_json::to_string(&whole).unwrap();
    assert_eq!(encoded, r#"{"r":"d0","n":2,"w":1,"t":0,"l":5,"k":7,"a":9}"#);
    assert_eq!(serde_json::from_str::<RunnerLoad>(&encoded).unwrap(), whole);
}
