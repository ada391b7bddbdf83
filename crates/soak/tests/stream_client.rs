//! Clients that leave their streams and take them up.
#![allow(missing_docs)]

use pitchstall_platform_standins::http::serve;
use pitchstall_soak::process_load::ProcessRoute;
use pitchstall_soak::run_plan::{Framing, RunEnd, RunPlan};
use pitchstall_soak::runner_program::{start, Identity, LAST_EVENT};
use pitchstall_soak::stream_client::{Patience, StreamClient, StreamRequest};
use pitchstall_soak::stream_judgement::{faults_of, TryEnd};
use std::sync::mpsc;
use std::time::Duration;
use test_case::test_case;

const PLAN: RunPlan =
    RunPlan { framing: Framing::Chunked, end: RunEnd::Whole, after: 3, is_split: false };

#[test_case(Framing::Chunked)]
#[test_case(Framing::Unframed)]
fn a_client_that_leaves_receives_the_other_events_when_it_comes_back(framing: Framing) {
    let runner = start(Identity { id: "i-0".to_owned(), version: "v1".to_owned() });
    let nodes = [runner.expect("the runner listens")];
    let request = ProcessRoute::ResumableStream.request(RunPlan { framing, ..PLAN });
    let mut client = StreamClient::new(&nodes, 0, request);
    client.read(Some(3), |_, _| {});
    assert_eq!((client.last_end(), client.version()), (Some(TryEnd::Left), Some("v1")));
    client.read(None, |_, _| {});
    let tries = client.into_fetched().tries;
    let ends: Vec<TryEnd> = tries.iter().map(|it| it.end).collect();
    assert_eq!(ends, [TryEnd::Left, TryEnd::Complete]);
    assert!(tries[0].events.len() < tries.iter().map(|it| it.events.len()).sum());
    assert!(faults_of(&tries, LAST_EVENT, true).is_empty());
}

#[test_case(true; "named")]
#[test_case(false; "not named")]
fn a_takeup_names_the_first_try_only_where_it_is_told_to(names_origin: bool) {
    let (sender, receiver) = mpsc::channel();
    let node = serve(move |mut connection| {
        let Some(request) = connection.read_request() else { return };
        let header = |name: &str| request.header(name).map(str::to_owned);
        let _ = sender.send((header("last-event-id"), header("resumes")));
        connection.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nid: 0\ndata: run v1 0\n\n");
        if request.header("last-event-id").is_none() {
            connection.wait_for_close();
        }
    });
    let nodes = [node.expect("the node listens")];
    let patience = Patience { max_tries: 1, pause: Duration::ZERO };
    let request =
        StreamRequest { names_origin, patience, ..ProcessRoute::ResumableStream.request(PLAN) };
    let mut client = StreamClient::new(&nodes, 0, request);
    client.read(Some(0), |_, _| {});
    client.read(None, |_, _| {});
    let first_id = client.into_fetched().first_id;
    assert_eq!(receiver.recv(), Ok((None, None)));
    assert_eq!(receiver.recv(), Ok((Some("0".to_owned()), names_origin.then_some(first_id))));
}
