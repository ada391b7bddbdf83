//! Whole deployments under faults, from fixed seeds.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_emulator::experiments::faults::{run_many, run_one, FaultRunSpec};
use pitchstall_emulator::simulation::checks::Promise;
use test_case::test_case;

#[test]
fn every_promise_is_put_to_the_test_and_holds() {
    let summary = run_many(1, 48, FaultRunSpec::default(), 4);
    for promise in Promise::ALL {
        let result = &summary.promises[&promise];
        assert_eq!(result.violations, 0, "{promise:?} in {:?}: {:?}", result.seeds, result.first);
        assert!(result.checked > 0, "{promise:?} was never put to the test");
    }
}

#[test]
fn one_seed_gives_one_run() {
    let spec = FaultRunSpec::default();
    assert_eq!(run_one(7, spec).digest, run_one(7, spec).digest);
    assert_ne!(run_one(7, spec).digest, run_one(9, spec).digest);
}

/// Seeds that found a fault, each with what was wrong. See the commits for the causes.
#[test_case(5; "a half delivered answer was forwarded from its start")]
#[test_case(36; "a request was forwarded to a node that had just left")]
#[test_case(86; "a retry refused at the queue said that nothing had run")]
#[test_case(88; "a booking was cut when the decode engine changed its role")]
#[test_case(120; "role changes left no engine to serve and requests waited")]
#[test_case(443; "a refused forward forgot the engine that had the request")]
#[test_case(532; "a refusal let another request go, which was refused as well")]
#[test_case(744; "an order's answer made a leaving engine look ready")]
#[test_case(789; "a writing engine chosen long before had left")]
#[test_case(856; "engines were excluded for good")]
#[test_case(879; "a replay held only a part of the answer")]
#[test_case(15208; "an engine that nobody had asked for long reported what it was long ago")]
#[test_case(3020; "a request that an engine had read was given up after two seconds")]
#[test_case(2400; "answers could not be sent to a node that was not listed yet")]
fn a_seed_that_found_a_fault_finds_none(seed: u64) {
    let run = run_one(seed, FaultRunSpec::default());
    let broken: Vec<_> =
        run.promises.iter().filter(|(_, verdict)| !verdict.violations.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:?}");
}
