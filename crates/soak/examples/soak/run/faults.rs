//! Performs the actions of the schedule while the load runs.

use super::{lock, SoakRun, REGISTRY_ENTRY_TTL};
use crate::processes::NodeProcess;
use nix::sys::signal::Signal;
use pitchstall_platform_standins::store::StoreMode;
use pitchstall_soak::history::Event;
use pitchstall_soak::plan::{Action, Step};
use pitchstall_soak::proxy::{Link, LinkMode};
use pitchstall_soak::regions::is_in_store_region;
use std::time::{Duration, Instant};

/// Time for which a leaving runner still responds.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time from a runner's own announcement that it is leaving until its registry entry shows it.
const LEAVING_REGISTRATION_DELAY: Duration = Duration::from_secs(6);
/// Writes to another key that the restore discards, so that the store's revisions stay behind the
/// earlier ones for the rest of the run.
const LOST_WRITES: u64 = 400;
/// Time for which flapping links fail, and for which they work.
const FLAPPING_INTERVAL: Duration = Duration::from_secs(1);
/// Time from a restore until the operator and the runners write their data again.
const REWRITE_DELAY: Duration = Duration::from_millis(600);

impl SoakRun {
    pub(super) fn perform(&self, step: &Step) {
        match &step.action {
            Action::Kill { node } => self.kill(&[*node], step.duration),
            Action::KillAll => self.kill(&(0..self.nodes.len()).collect::<Vec<_>>(), step.duration),
            Action::KillSeveral { nodes } => self.kill(nodes, step.duration),
            Action::RestartAll => self.restart_all(step.duration),
            Action::JoinVersion { version } => self.join_version(*version),
            Action::LeaveVersion { version } => self.leave_version(*version),
            Action::Pause { node } => self.pause(*node, step.duration),
            Action::Stop { node } => self.stop(*node),
            Action::StoreLink { node, mode } => {
                let link = lock(&self.nodes[*node]).store_link.clone();
                self.disturb_link(&link, *mode, step.duration, Some(*node));
            }
            Action::CloudLink { node, mode } => {
                let link = lock(&self.nodes[*node]).cloud_link.clone();
                // This fault does not suspend any check, so it is not recorded.
                link.set_mode(*mode);
                std::thread::sleep(step.duration);
                link.set_mode(LinkMode::Passing);
            }
            Action::RunnerLink { runner, mode } => {
                let link = {
                    let fleet = lock(&self.fleet);
                    let index = runner % fleet.runners.len().max(1);
                    fleet.runners.get(index).map(|runner| runner.link.clone())
                };
                if let Some(link) = link {
                    self.recorder.record(Event::RunnerLinkDisturbed);
                    link.set_mode(*mode);
                    std::thread::sleep(step.duration);
                    link.set_mode(LinkMode::Passing);
                    self.recorder.record(Event::RunnerLinkDisturbed);
                }
            }
            Action::StoreFault { mode } => {
                self.record_disturbance(None);
                lock(&self.fleet).store.set_mode(*mode);
                std::thread::sleep(step.duration);
                lock(&self.fleet).store.set_mode(StoreMode::Serving);
                self.record_disturbance(None);
            }
            Action::ForgetHistory => {
                self.record_disturbance(None);
                lock(&self.fleet).store.compact_history();
            }
            Action::RestoreBackup { backup_age } => self.restore_backup(*backup_age, step.duration),
            Action::CutRegions => {
                self.cut_regions(true);
                std::thread::sleep(step.duration);
                self.cut_regions(false);
            }
            Action::NodeLinks { nodes, mode, is_flapping } => {
                self.cut_node_links(nodes, *mode, step.duration, *is_flapping);
            }
            Action::ReplaceRunner { runner } => self.replace_runner(*runner),
            Action::Configure => lock(&self.fleet).configure(),
            Action::ReloadSettings { node } => lock(&self.nodes[*node]).reload(),
            Action::EndRunnerProcesses { processes, is_stopped_first } => {
                self.end_runner_processes(processes, *is_stopped_first, step.duration);
            }
            Action::CrashRunner { runner } => {
                // The last responses of the runner may still be in flight for a long time after the
                // crash.
                let finish_crash = {
                    let fleet = lock(&self.fleet);
                    let index = runner % fleet.runners.len().max(1);
                    let Some(runner) = fleet.runners.get(index) else { return };
                    let (runner_id, cause) = (runner.id.clone(), None);
                    self.recorder.record(Event::RunnerCrashed { runner: runner_id, cause });
                    if !self.has_self_reports {
                        return runner.crash();
                    }
                    runner.crash_with_delayed_responses()
                };
                finish_crash();
            }
        }
    }

    fn restore_backup(&self, backup_age: Duration, outage: Duration) {
        let store = lock(&self.fleet).store.clone();
        let backup = store.back_up();
        (0..LOST_WRITES).for_each(|number| store.put("other/key", &number.into()));
        // Gives the nodes' data about runners revisions that the restore discards.
        lock(&self.fleet).rewrite_documents();
        std::thread::sleep(backup_age);
        self.record_disturbance(None);
        store.set_mode(StoreMode::Unavailable);
        std::thread::sleep(outage);
        store.restore(&backup);
        store.set_mode(StoreMode::Serving);
        std::thread::sleep(REWRITE_DELAY);
        lock(&self.fleet).rewrite_documents();
        self.record_disturbance(None);
        std::thread::sleep(REGISTRY_ENTRY_TTL);
        lock(&self.fleet).remove_stale_entries();
    }

    fn record_disturbance(&self, node: Option<usize>) {
        self.recorder.record(Event::Disturbed { node });
    }

    fn kill(&self, nodes: &[usize], downtime: Duration) {
        let mut processes: Vec<_> = nodes.iter().map(|node| lock(&self.nodes[*node])).collect();
        nodes.iter().for_each(|node| self.record_disturbance(Some(*node)));
        processes.iter_mut().for_each(|process| process.kill());
        std::thread::sleep(downtime);
        for (node, process) in nodes.iter().zip(&mut processes) {
            self.restart(*node, process);
        }
    }

    pub(super) fn kill_all(&self) {
        self.nodes.iter().for_each(|node| lock(node).kill());
        lock(&self.runner_processes).kill_all();
    }

    fn restart(&self, node: usize, process: &mut NodeProcess) {
        self.recorder.record(Event::NodeStarted { node });
        if let Err(error) = process.start() {
            eprintln!("soak: failed to start the process of node {node}: {error}");
        }
    }

    fn pause(&self, node: usize, duration: Duration) {
        let process = lock(&self.nodes[node]);
        self.record_disturbance(Some(node));
        process.signal(Signal::SIGSTOP);
        std::thread::sleep(duration);
        process.signal(Signal::SIGCONT);
        self.record_disturbance(Some(node));
    }

    pub(super) fn stop(&self, node: usize) {
        let mut process = lock(&self.nodes[node]);
        self.recorder.record(Event::PlannedStop { node });
        process.signal(Signal::SIGTERM);
        process.wait_for_stop();
        self.restart(node, &mut process);
    }

    fn disturb_link(&self, link: &Link, mode: LinkMode, duration: Duration, node: Option<usize>) {
        self.record_disturbance(node);
        link.set_mode(mode);
        std::thread::sleep(duration);
        link.set_mode(LinkMode::Passing);
        self.record_disturbance(node);
    }

    /// Cuts the regions off from each other, or restores the link. Nodes outside the store's region
    /// lose the store as well.
    fn cut_regions(&self, begins: bool) {
        self.recorder.record(Event::RegionsCut { begins });
        lock(&self.fleet).regions.set_cut(begins);
        let mode = if begins { LinkMode::Silent } else { LinkMode::Passing };
        for node in (0..self.nodes.len()).filter(|node| !is_in_store_region(*node)) {
            self.record_disturbance(Some(node));
            let process = lock(&self.nodes[node]);
            process.store_link.set_mode(mode);
            process.cloud_link.set_mode(mode);
        }
    }

    /// Makes the links of nodes to all runners faulty, all the time or every second second.
    fn cut_node_links(
        &self,
        nodes: &[usize],
        mode: LinkMode,
        duration: Duration,
        is_flapping: bool,
    ) {
        let set_mode = |mode: LinkMode| {
            let mut fleet = lock(&self.fleet);
            nodes.iter().for_each(|node| fleet.node_links.set_mode(*node, mode));
        };
        let record = |begins| {
            let cut = |node: &usize| Event::NodeLinksCut { node: *node, begins };
            nodes.iter().map(cut).for_each(|event| self.recorder.record(event));
        };
        record(true);
        let end = Instant::now() + duration;
        while Instant::now() < end {
            set_mode(mode);
            let time_left = end.saturating_duration_since(Instant::now());
            if !is_flapping {
                std::thread::sleep(time_left);
                break;
            }
            std::thread::sleep(FLAPPING_INTERVAL.min(time_left));
            set_mode(LinkMode::Passing);
            std::thread::sleep(FLAPPING_INTERVAL);
        }
        set_mode(LinkMode::Passing);
        record(false);
    }

    fn replace_runner(&self, runner: usize) {
        let leaving = {
            let mut fleet = lock(&self.fleet);
            let index = runner % fleet.runners.len().max(1);
            if fleet.runners.is_empty() {
                return;
            }
            fleet.replace_runner(index)
        };
        if let Ok(leaving) = leaving {
            let registers_leaving_late = lock(&self.fleet).registers_leaving_late();
            if registers_leaving_late {
                std::thread::sleep(LEAVING_REGISTRATION_DELAY);
                lock(&self.fleet).register_leaving(&leaving);
            }
            std::thread::sleep(DRAIN_TIME);
            lock(&self.fleet).unregister(&leaving);
            leaving.link.set_mode(LinkMode::Resetting);
        }
    }
}
