//! The part of a run with runners that are processes of their own and end at any moment.

use super::{lock, SoakRun, REQUEST_INTERVAL};
use crate::report::RunnerProcessReport;
use nix::sys::signal::Signal;
use pitchstall_soak::process_checks::{
    process_tally, process_violations, untested_processes, ProcessExchange,
};
use pitchstall_soak::process_load::{draw_request, RUNNER_PROCESSES};
use pitchstall_soak::releases::{FIRST_VERSION, VERSIONS};
use pitchstall_soak::stream_client::fetch;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of clients that send requests to runner processes.
const CLIENTS: usize = 8;
/// Time between two searches for processes that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl SoakRun {
    /// Starts the processes and registers them. Fails if one cannot be started.
    pub(super) fn start_runner_processes(&self) -> io::Result<()> {
        for _ in 0..RUNNER_PROCESSES {
            let runner = lock(&self.runner_processes).start(VERSIONS[FIRST_VERSION])?;
            lock(&self.fleet).register_process(&runner);
        }
        Ok(())
    }

    /// Starts the clients of the processes, and the thread that replaces processes.
    pub(super) fn start_process_load(self: &Arc<Self>, seed: u64) -> Vec<JoinHandle<()>> {
        let clients = (0..CLIENTS).map(|client| {
            let soak_run = self.clone();
            std::thread::spawn(move || soak_run.send_to_processes(seed, client))
        });
        let mut threads: Vec<_> = clients.collect();
        let soak_run = self.clone();
        threads.push(std::thread::spawn(move || soak_run.replace_ended_processes()));
        threads
    }

    fn send_to_processes(&self, seed: u64, client: usize) {
        let client_number = u64::try_from(client).unwrap_or_default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(u64::BITS / 2) ^ client_number);
        for node in (0..self.nodes.len()).cycle().skip(client) {
            if self.is_finished() {
                return;
            }
            if self.ready[node].load(Ordering::SeqCst) {
                let may_end_runner = self.sends_crashing_requests.load(Ordering::SeqCst);
                let (route, plan) = draw_request(&mut rng, may_end_runner);
                let request = route.request(plan);
                let fetched = fetch(&self.client_addresses, node, request, |_, _| {});
                let exchange = ProcessExchange { route, plan, node, fetched };
                lock(&self.process_exchanges).push(exchange);
            }
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }

    fn replace_ended_processes(&self) {
        while !self.is_finished() {
            // The lock is held until the registry has the changes, so that no version leaves in between.
            let mut processes = lock(&self.runner_processes);
            match processes.replace_ended() {
                Ok(changes) => {
                    let fleet = lock(&self.fleet);
                    changes.started.iter().for_each(|runner| fleet.register_process(runner));
                    changes.lapsed.iter().for_each(|id| fleet.unregister_process(id));
                }
                Err(error) => eprintln!("soak: failed to replace a runner process: {error}"),
            }
            drop(processes);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills processes, after they have been stopped for `stop_duration` if `is_stopped_first`.
    pub(super) fn end_runner_processes(
        &self,
        processes: &[usize],
        is_stopped_first: bool,
        stop_duration: Duration,
    ) {
        let ids = lock(&self.runner_processes).ids_at(processes);
        if is_stopped_first {
            lock(&self.runner_processes).signal(&ids, Signal::SIGSTOP);
            std::thread::sleep(stop_duration);
        }
        lock(&self.runner_processes).signal(&ids, Signal::SIGKILL);
    }

    /// What came of the requests to the processes.
    pub(super) fn runner_process_report(&self) -> RunnerProcessReport {
        let exchanges = lock(&self.process_exchanges);
        let ended = lock(&self.runner_processes).ended();
        let tally = process_tally(&exchanges);
        let mut violations = process_violations(&exchanges);
        violations.extend(untested_processes(tally, ended));
        RunnerProcessReport { tally, ended, violations }
    }
}
