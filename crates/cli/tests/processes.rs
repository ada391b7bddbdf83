//! The whole path over real processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use nix::sys::signal::Signal;
use pitchstall_emulator::load::{self, LoadPlan, LoadReport, Outcome};
use support::{get, pitchstall, post, wait_until, Cluster, CALLER_KEY};

fn plan(nodes: Vec<String>) -> LoadPlan {
    LoadPlan {
        nodes,
        key: CALLER_KEY.to_owned(),
        service: "status".to_owned(),
        requests: 24,
        concurrency: 6,
        seed: 7,
        prompt_bytes: 100..4_000,
        max_tokens: 24,
        idempotent: false,
    }
}

/// Streams that last about two seconds.
fn long_streams(nodes: Vec<String>) -> LoadPlan {
    LoadPlan { requests: 8, concurrency: 8, max_tokens: 900, ..plan(nodes) }
}

fn assert_whole(report: &LoadReport) {
    assert!(report.all_whole(), "{report}");
}

/// Runs a load on a thread of its own while `act` does something to the cluster.
async fn load_while(plan: LoadPlan, act: impl FnOnce()) -> LoadReport {
    let requests = plan.requests;
    let running = std::thread::spawn(move || {
        ntex::rt::System::build()
            .name("load")
            .build(ntex::rt::DefaultRuntime)
            .block_on(async move { load::run(plan).await.unwrap() })
    });
    act();
    let report = running.join().unwrap();
    assert_eq!(report.outcomes.values().sum::<usize>(), requests);
    report
}

fn wait_for_streams(operators: &str) {
    wait_until("streams run through the node", || {
        get(operators, "/metrics").is_some_and(|text| {
            !text.contains("pitchstall_pieces_total 0\n")
                && !text.contains("pitchstall_in_work 0\n")
        })
    });
}

#[ntex::test]
async fn answers_are_whole_and_a_role_changes_by_a_fenced_order() {
    let cluster = Cluster::start("whole");
    let report = load::run(plan(cluster.callers())).await.unwrap();
    assert_whole(&report);
    let bookings =
        LoadPlan { service: "booking".to_owned(), idempotent: true, ..plan(cluster.callers()) };
    assert_whole(&load::run(bookings.clone()).await.unwrap());
    // The same keys again: answered from the first run, not run again.
    assert_whole(&load::run(bookings).await.unwrap());

    let holder = &cluster.nodes[cluster.holder("east")];
    let change = ["ctl", "--node", &holder.operators, "role", "--engine", "east-mixed"];
    let output = pitchstall(&[&change[..], &["--role", "decode"]].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    wait_until("the engine has its new role", || {
        get(&holder.operators, "/fleet").is_some_and(|fleet| {
            let roles = fleet.matches("\"role\":\"decode\",\"model\":\"base\",\"state\":\"ready\"");
            roles.count() == 2
        })
    });
    assert_whole(&load::run(plan(cluster.callers())).await.unwrap());
}

#[ntex::test]
async fn a_node_that_is_told_to_stop_finishes_its_streams() {
    let mut cluster = Cluster::start("stop");
    let leaving = cluster.nodes.remove(1);
    let mut process = leaving.process;
    let operators = leaving.operators.clone();
    // Only this node is asked, so nothing can be resumed elsewhere.
    let report = load_while(long_streams(vec![leaving.callers]), || {
        wait_for_streams(&operators);
        process.signal(Signal::SIGTERM);
    })
    .await;
    assert!(process.wait().success());
    assert_eq!(report.resumed, 0, "{report}");
    assert_whole(&report);
}

#[ntex::test]
async fn a_killed_node_loses_no_answer() {
    let mut cluster = Cluster::start("kill");
    let nodes = vec![cluster.nodes[0].callers.clone(), cluster.nodes[1].callers.clone()];
    let victim = cluster.nodes.remove(0);
    let report = load_while(long_streams(nodes), || {
        wait_for_streams(&victim.operators);
        victim.process.signal(Signal::SIGKILL);
    })
    .await;
    assert!(report.count(Outcome::Whole) == 8 && report.resumed > 0, "{report}");
}

#[ntex::test]
async fn cut_engine_streams_are_read_on() {
    let cluster = Cluster::start("cut");
    let operators = cluster.nodes[0].operators.clone();
    let report = load_while(long_streams(vec![cluster.nodes[0].callers.clone()]), || {
        wait_for_streams(&operators);
        for (_, address, _) in &cluster.engines {
            post(address, "/faults/cut", "");
        }
    })
    .await;
    assert_eq!(report.resumed, 0, "the caller must not notice: {report}");
    assert_whole(&report);
    let metrics = get(&operators, "/metrics").unwrap();
    assert!(!metrics.contains("pitchstall_stream_resumes_total 0\n"));
}

#[ntex::test]
async fn a_stopped_engine_and_a_stopped_node_lose_no_answer() {
    const STOPPED: std::time::Duration = std::time::Duration::from_secs(5);
    let cluster = Cluster::start("stopped");
    let node = &cluster.nodes[0];
    let report = load_while(long_streams(vec![node.callers.clone()]), || {
        wait_for_streams(&node.operators);
        // Longer than the silence after which an attempt counts as lost.
        cluster.engines[0].2.signal(Signal::SIGSTOP);
        std::thread::sleep(STOPPED);
        cluster.engines[0].2.signal(Signal::SIGCONT);
    })
    .await;
    assert_whole(&report);

    let holder = &cluster.nodes[cluster.holder("east")];
    let report = load_while(long_streams(cluster.callers()), || {
        wait_for_streams(&holder.operators);
        // Longer than a quiet node keeps the lease, so that another takes it meanwhile.
        holder.process.signal(Signal::SIGSTOP);
        std::thread::sleep(STOPPED * 2);
        holder.process.signal(Signal::SIGCONT);
    })
    .await;
    assert_whole(&report);
}
