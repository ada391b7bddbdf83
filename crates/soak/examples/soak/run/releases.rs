//! The part of a run in which software versions of runner processes join and leave, and clients take streams up.

use super::{lock, SoakRun};
use crate::report::TakeupReport;
use pitchstall_soak::process_checks::ProcessExchange;
use pitchstall_soak::process_load::{draw_request, ProcessRoute};
use pitchstall_soak::releases::{draw_absence, resumable_request, VERSIONS};
use pitchstall_soak::stream_client::StreamClient;
use pitchstall_soak::stream_judgement::TryEnd;
use pitchstall_soak::takeup_checks::{
    takeup_tally, takeup_violations, untested_takeups, TakenUpStream, TakeupSituation,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of clients that are absent from their streams.
const CLIENTS: usize = 24;
/// Number of runner processes that a version joins with.
const JOINING_PROCESSES: usize = 4;
/// Time between two looks of an absent client at whether the run is finished.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl SoakRun {
    /// Starts runner processes of a version and registers them.
    pub(super) fn join_version(&self, version: usize) {
        for _ in 0..JOINING_PROCESSES {
            let mut processes = lock(&self.runner_processes);
            match processes.start(VERSIONS[version]) {
                Ok(runner) => lock(&self.fleet).register_process(&runner),
                Err(error) => eprintln!("soak: failed to start a runner process: {error}"),
            }
        }
    }

    /// Removes the registry entries of all runner processes of a version, which serve for a time without them.
    pub(super) fn leave_version(&self, version: usize) {
        let mut processes = lock(&self.runner_processes);
        let leaving = processes.retire(VERSIONS[version]);
        let fleet = lock(&self.fleet);
        leaving.iter().for_each(|id| fleet.unregister_process(id));
    }

    /// Shuts each node down gracefully and starts it again, one after the other with a gap between.
    pub(super) fn restart_all(&self, gap: Duration) {
        for node in 0..self.nodes.len() {
            self.stop(node);
            std::thread::sleep(gap);
        }
    }

    /// Starts the clients that leave their streams and take them up.
    pub(super) fn start_absent_clients(self: &Arc<Self>, seed: u64) -> Vec<JoinHandle<()>> {
        let clients = (0..CLIENTS).map(|client| {
            let soak_run = self.clone();
            std::thread::spawn(move || soak_run.leave_and_take_up(seed, client))
        });
        clients.collect()
    }

    fn leave_and_take_up(&self, seed: u64, client: usize) {
        const SEED_SALT: u64 = 0x61_6273_656e_7400;
        let client_number = u64::try_from(client).unwrap_or_default();
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.rotate_left(u64::BITS / 2) ^ SEED_SALT ^ client_number);
        for node in (0..self.nodes.len()).cycle().skip(client) {
            if self.is_finished() {
                return;
            }
            if self.ready[node].load(Ordering::SeqCst) {
                self.read_with_absence(&mut rng, node);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn read_with_absence(&self, rng: &mut ChaCha8Rng, node: usize) {
        let (_, plan) = draw_request(rng, false);
        let absence = draw_absence(rng);
        let request = resumable_request(plan);
        let mut client = StreamClient::new(&self.client_addresses, node, request);
        client.read(Some(absence.after), |_, _| {});
        let mut situation = None;
        if client.last_end() == Some(TryEnd::Left) && self.wait_unless_finished(absence.duration) {
            situation = client.version().map(|version| self.takeup_situation(version));
            client.read(None, |_, _| {});
        }
        let fetched = client.into_fetched();
        let exchange =
            ProcessExchange { route: ProcessRoute::ResumableStream, plan, node, fetched };
        match situation {
            Some(situation) => {
                lock(&self.taken_up_streams).push(TakenUpStream { situation, exchange });
            }
            None => lock(&self.process_exchanges).push(exchange),
        }
    }

    /// Waits and returns `true`, or returns `false` as soon as the run is finished.
    fn wait_unless_finished(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        while Instant::now() < end && !self.is_finished() {
            std::thread::sleep(POLL_INTERVAL);
        }
        !self.is_finished()
    }

    fn takeup_situation(&self, version: &str) -> TakeupSituation {
        let versions = lock(&self.runner_processes).versions();
        TakeupSituation {
            has_own_version: versions.contains(version),
            has_other_version: versions.iter().any(|other| *other != version),
        }
    }

    /// What came of the streams that were taken up.
    pub(super) fn takeup_report(&self) -> TakeupReport {
        let streams = lock(&self.taken_up_streams);
        let tally = takeup_tally(&streams);
        let mut violations = takeup_violations(&streams);
        violations.extend(untested_takeups(tally));
        TakeupReport { tally, violations }
    }
}
