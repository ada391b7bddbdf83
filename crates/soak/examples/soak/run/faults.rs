//! What is done to the system from outside while the load goes on.

use super::{lock, World, ENTRY_LASTS};
use crate::processes::NodeProcess;
use nix::sys::signal::Signal;
use pitchstall_platform_standins::store::StoreMode;
use pitchstall_soak::history::Event;
use pitchstall_soak::plan::{Action, Step};
use pitchstall_soak::proxy::{Link, LinkMode};
use pitchstall_soak::regions::is_near_the_store;
use std::time::Duration;

/// Time for which a leaving runner still answers.
const DRAINS_FOR: Duration = Duration::from_secs(4);
/// After which time the store hears that a runner leaves whose answers say so before.
const ACKNOWLEDGED_AFTER: Duration = Duration::from_secs(6);
/// Writes of others that the store loses, so that its revisions stay behind for the rest of a run.
const LOST_WRITES: u64 = 400;
/// Time after which the operator and the runners write theirs again in a store that has come back from an older copy.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(600);

impl World {
    pub(super) fn act(&self, step: &Step) {
        match &step.action {
            Action::Kill { node } => self.kill(&[*node], step.lasts),
            Action::KillAll => self.kill(&(0..self.nodes.len()).collect::<Vec<_>>(), step.lasts),
            Action::Pause { node } => self.pause(*node, step.lasts),
            Action::Stop { node } => self.stop(*node),
            Action::StoreLink { node, mode } => {
                let link = lock(&self.nodes[*node]).store.clone();
                self.disturb_link(&link, *mode, step.lasts, Some(*node));
            }
            Action::CloudLink { node, mode } => {
                let link = lock(&self.nodes[*node]).cloud.clone();
                // No rule for callers is excused by it.
                link.set_mode(*mode);
                std::thread::sleep(step.lasts);
                link.set_mode(LinkMode::Passing);
            }
            Action::RunnerLink { runner, mode } => {
                let link = {
                    let fleet = lock(&self.fleet);
                    let index = runner % fleet.runners.len().max(1);
                    fleet.runners.get(index).map(|runner| runner.link.clone())
                };
                if let Some(link) = link {
                    self.recorder.note(Event::RunnerDisturbed);
                    link.set_mode(*mode);
                    std::thread::sleep(step.lasts);
                    link.set_mode(LinkMode::Passing);
                    self.recorder.note(Event::RunnerDisturbed);
                }
            }
            Action::Store { mode } => {
                self.disturbed(None);
                lock(&self.fleet).store.set_mode(*mode);
                std::thread::sleep(step.lasts);
                lock(&self.fleet).store.set_mode(StoreMode::Serving);
                self.disturbed(None);
            }
            Action::ForgetHistory => {
                self.disturbed(None);
                lock(&self.fleet).store.compact_history();
            }
            Action::ComeBackOlder { loses } => self.come_back_older(*loses, step.lasts),
            Action::CutRegions => {
                self.cut_regions(true);
                std::thread::sleep(step.lasts);
                self.cut_regions(false);
            }
            Action::Replace { runner } => self.replace(*runner),
            Action::Configure => lock(&self.fleet).configure(),
            Action::Reload { node } => lock(&self.nodes[*node]).reload(),
            Action::CrashRunner { runner } => {
                // What it answered last may be on its way for long after.
                let behind = {
                    let fleet = lock(&self.fleet);
                    let index = runner % fleet.runners.len().max(1);
                    let Some(runner) = fleet.runners.get(index) else { return };
                    let (runner_id, under) = (runner.id.clone(), None);
                    self.recorder.note(Event::Crashed { runner: runner_id, under });
                    if !self.has_self_reports {
                        return runner.crash();
                    }
                    runner.crash_behind_late_answers()
                };
                behind();
            }
        }
    }

    fn come_back_older(&self, loses: Duration, away: Duration) {
        let store = lock(&self.fleet).store.clone();
        let backup = store.back_up();
        (0..LOST_WRITES).for_each(|number| store.put("other/key", &number.into()));
        // What is known of runners is of these revisions.
        lock(&self.fleet).write_again();
        std::thread::sleep(loses);
        self.disturbed(None);
        store.set_mode(StoreMode::Unavailable);
        std::thread::sleep(away);
        store.restore(&backup);
        store.set_mode(StoreMode::Serving);
        std::thread::sleep(WRITTEN_AGAIN_AFTER);
        lock(&self.fleet).write_again();
        self.disturbed(None);
        std::thread::sleep(ENTRY_LASTS);
        lock(&self.fleet).drop_unwritten();
    }

    fn disturbed(&self, node: Option<usize>) {
        self.recorder.note(Event::Disturbed { node });
    }

    fn kill(&self, nodes: &[usize], down: Duration) {
        let mut held: Vec<_> = nodes.iter().map(|node| lock(&self.nodes[*node])).collect();
        nodes.iter().for_each(|node| self.disturbed(Some(*node)));
        held.iter_mut().for_each(|process| process.kill());
        std::thread::sleep(down);
        for (node, process) in nodes.iter().zip(&mut held) {
            self.restart(*node, process);
        }
    }

    pub(super) fn kill_all(&self) {
        self.nodes.iter().for_each(|node| lock(node).kill());
    }

    fn restart(&self, node: usize, process: &mut NodeProcess) {
        self.recorder.note(Event::Started { node });
        if let Err(error) = process.start() {
            eprintln!("soak: node {node} did not start: {error}");
        }
    }

    fn pause(&self, node: usize, lasts: Duration) {
        let process = lock(&self.nodes[node]);
        self.disturbed(Some(node));
        process.signal(Signal::SIGSTOP);
        std::thread::sleep(lasts);
        process.signal(Signal::SIGCONT);
        self.disturbed(Some(node));
    }

    fn stop(&self, node: usize) {
        let mut process = lock(&self.nodes[node]);
        self.recorder.note(Event::StopPlanned { node });
        process.signal(Signal::SIGTERM);
        process.wait_for_stop();
        self.restart(node, &mut process);
    }

    fn disturb_link(&self, link: &Link, mode: LinkMode, lasts: Duration, node: Option<usize>) {
        self.disturbed(node);
        link.set_mode(mode);
        std::thread::sleep(lasts);
        link.set_mode(LinkMode::Passing);
        self.disturbed(node);
    }

    /// Cuts the regions off from each other, or ends that; the store is in one of them.
    fn cut_regions(&self, begins: bool) {
        self.recorder.note(Event::RegionsCut { begins });
        lock(&self.fleet).regions.set_cut(begins);
        let mode = if begins { LinkMode::Silent } else { LinkMode::Passing };
        for node in (0..self.nodes.len()).filter(|node| !is_near_the_store(*node)) {
            self.disturbed(Some(node));
            let process = lock(&self.nodes[node]);
            process.store.set_mode(mode);
            process.cloud.set_mode(mode);
        }
    }

    fn replace(&self, runner: usize) {
        let leaving = {
            let mut fleet = lock(&self.fleet);
            let index = runner % fleet.runners.len().max(1);
            if fleet.runners.is_empty() {
                return;
            }
            fleet.replace(index)
        };
        if let Ok(leaving) = leaving {
            let acknowledges_late = lock(&self.fleet).acknowledges_late();
            if acknowledges_late {
                std::thread::sleep(ACKNOWLEDGED_AFTER);
                lock(&self.fleet).acknowledge_leaving(&leaving);
            }
            std::thread::sleep(DRAINS_FOR);
            lock(&self.fleet).unlist(&leaving);
            leaving.link.set_mode(LinkMode::Resetting);
        }
    }
}
