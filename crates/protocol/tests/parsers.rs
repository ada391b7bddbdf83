//! Bytes from outside are read or refused; nothing panics, and what is read is written the
//! same again.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_protocol::caller::{ResumePoint, TextDigest};
use pitchstall_protocol::engine::{
    EngineEvent, EngineReport, GenerateRequest, OrderReply, RoleOrder,
};
use pitchstall_protocol::ids::AttemptNumber;
use pitchstall_protocol::membership::MembershipList;
use pitchstall_protocol::operator::ApplyRequest;
use pitchstall_protocol::peer::PeerEnvelope;
use proptest::prelude::*;
use serde::de::DeserializeOwned;
use serde::Serialize;

const HEARTBEAT: &str = r#"{"f":"a","fi":1,"t":"b","ti":2,"m":{"type":"heartbeat","z":"z","at":5,"e":4,"r":3,"v":1,"l":false,"a":7}}"#;
const TOKENS: &str =
    r#"{"request":"r","attempt":1,"event":"tokens","offset":0,"count":1,"text":" w"}"#;
const ORDER: &str = r#"{"token":{"epoch":1,"sequence":2},"order":"set_role","role":"decode"}"#;

fn reads_or_refuses<T: DeserializeOwned + Serialize + PartialEq + std::fmt::Debug>(bytes: &[u8]) {
    if let Ok(value) = serde_json::from_slice::<T>(bytes) {
        let written = serde_json::to_vec(&value).unwrap();
        assert_eq!(serde_json::from_slice::<T>(&written).unwrap(), value);
    }
}

fn try_all(bytes: &[u8]) {
    reads_or_refuses::<PeerEnvelope>(bytes);
    reads_or_refuses::<EngineEvent>(bytes);
    reads_or_refuses::<EngineReport>(bytes);
    reads_or_refuses::<GenerateRequest>(bytes);
    reads_or_refuses::<OrderReply>(bytes);
    reads_or_refuses::<RoleOrder>(bytes);
    reads_or_refuses::<MembershipList>(bytes);
    reads_or_refuses::<ApplyRequest>(bytes);
}

#[test]
fn the_samples_are_read() {
    assert!(serde_json::from_str::<PeerEnvelope>(HEARTBEAT).is_ok());
    assert!(serde_json::from_str::<EngineEvent>(TOKENS).is_ok());
    assert!(serde_json::from_str::<RoleOrder>(ORDER).is_ok());
}

proptest! {
    // One seed for each run: the verdict does not change.
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        try_all(&bytes);
        let _ = ResumePoint::decode(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn changed_messages_are_read_or_refused(
        which in 0usize..3,
        place in 0usize..200,
        byte in any::<u8>(),
        keep in 0usize..250,
    ) {
        let mut bytes = [HEARTBEAT, TOKENS, ORDER][which].as_bytes().to_vec();
        let place = place % bytes.len();
        bytes[place] = byte;
        bytes.truncate(keep);
        try_all(&bytes);
    }

    #[test]
    fn resume_points_are_read_as_written(attempt in any::<u64>(), offset in any::<u32>(), digest in any::<u64>()) {
        let point = ResumePoint {
            request: "node-1f-7".into(),
            attempt: AttemptNumber(attempt),
            engine: "zone/engine".into(),
            offset,
            digest: TextDigest(digest),
        };
        prop_assert_eq!(ResumePoint::decode(&point.encode()), Some(point));
    }
}
