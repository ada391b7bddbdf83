//! What the runs of a request, and the responses to them, prove about its execution.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::attempt::{DeclineDoubt, Execution, NotRunProof, RunHistory};
use pitchstall_serving::request::ResponseMetadata;
use test_case::test_case;

const ID: &str = "id-1";

fn decline_naming(request_id: Option<&str>) -> ResponseMetadata {
    ResponseMetadata {
        is_declined: true,
        request_id: request_id.map(str::to_owned),
        ..ResponseMetadata::default()
    }
}

fn proof() -> NotRunProof {
    NotRunProof::from_response(ID, &decline_naming(Some(ID))).unwrap().unwrap()
}

#[test_case(None, DeclineDoubt::NoRequestNamed)]
#[test_case(Some("id-2"), DeclineDoubt::OtherRequestNamed)]
#[test_case(Some(""), DeclineDoubt::OtherRequestNamed)]
fn a_decline_that_does_not_name_the_request_proves_nothing(
    named: Option<&str>,
    doubt: DeclineDoubt,
) {
    assert_eq!(NotRunProof::from_response(ID, &decline_naming(named)), Some(Err(doubt)));
}

#[test]
fn a_response_that_does_not_decline_gives_no_proof() {
    let metadata = ResponseMetadata { request_id: Some(ID.to_owned()), ..Default::default() };
    assert_eq!(NotRunProof::from_response(ID, &metadata), None);
}

#[test]
fn a_request_that_was_not_sent_has_not_run() {
    assert_eq!(RunHistory::default().execution(), Execution::NotRun);
}

/// Guards against a refusal after a wait that ended without any result.
#[test]
fn a_run_that_was_sent_counts_until_a_proof_takes_it_back() {
    let mut runs = RunHistory::default();
    runs.on_sent();
    assert_eq!(runs.execution(), Execution::Unknown);
    runs.on_not_run(proof());
    assert_eq!(runs.execution(), Execution::NotRun);
}

#[test]
fn the_proof_of_one_run_takes_no_other_run_back() {
    let mut runs = RunHistory::default();
    runs.on_sent();
    runs.on_lost();
    runs.on_sent();
    runs.on_not_run(proof());
    assert_eq!((runs.begun(), runs.execution()), (1, Execution::Unknown));
    assert!(runs.is_fate_unknown());
    runs.on_ran();
    assert_eq!(runs.execution(), Execution::Ran);
    assert!(runs.has_failed_run() && !runs.is_fate_unknown());
}
