//! Updates a node's view of the runners from their registry entries, responses and failures.

use super::Node;
use crate::http::response_codec::Framing;
use crate::http::ResponseHead;
use crate::stream_origins;
use pitchstall_platform_adapter::headers;
use pitchstall_serving::fleet::{Fleet, FleetChange};
use pitchstall_serving::framing_habit::{FramingHabit, ResponseKind};
use pitchstall_serving::ids::{RunnerId, RunnerName};
use pitchstall_serving::request::ResponseMetadata;
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::runner_notice::RunnerNotice;
use pitchstall_serving::store_revision::StoreRevision;
use std::rc::Rc;
use std::time::Duration;

const MICROS_PER_MILLI: u64 = 1_000;

/// How sure it is that a runner that this node could not connect to is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreachability {
    /// No other node could tell, so this node's link may be lost instead.
    Unconfirmed,
    /// Another node, which reaches other runners, cannot connect to this one either.
    Confirmed {
        /// Whether the connections were refused: no process listens at the address, so the runner has terminated.
        has_terminated: bool,
    },
}

/// Result of a probe of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The runner can be reached, by this node itself or through another one.
    Reachable,
    /// The runner could not be reached.
    Unreachable(Unreachability),
    /// The probe shows nothing, for example because this node itself was paused.
    Inconclusive,
}

impl Node {
    /// Replaces the list of runners by one that was read from the store at `revision`. Entries that
    /// are missing from the new list count as lapsed until `lapses_until_us`, or as removed at once
    /// if that is `None`.
    pub fn replace_runners(
        self: &Rc<Self>,
        records: Vec<RunnerRecord>,
        revision: StoreRevision,
        lapses_until_us: Option<u64>,
    ) {
        let listed = records.len();
        let gone = self.fleet.borrow_mut().replace_all(records, revision, lapses_until_us);
        self.schedule_lapsed_removal(lapses_until_us);
        for incarnation in &gone {
            self.on_runner_departed(&incarnation.id, Some(revision), incarnation.was_leaving);
        }
        self.on_versions_changed();
        self.has_runner_list.set(true);
        let gone = gone.len();
        let revision = revision.to_string();
        log::info!(target: "fleet", listed, gone, revision; "runner list received");
        self.fleet_changed.notify_waiters();
    }

    /// Handles a change of the software versions that runners run.
    fn on_versions_changed(&self) {
        stream_origins::on_fleet_changed(self);
        self.versions_changed.notify_one();
    }

    /// Adds or updates a runner from its registry entry.
    pub fn put_runner(&self, record: RunnerRecord) {
        let runner = record.id.clone();
        let at = record.revision;
        let revision = at.to_string();
        let (service, zone) = (record.service.to_string(), record.zone.to_string());
        let version = record.version.to_string();
        let preemptible = record.preemptible;
        let stage = record.stage.map_or("none", Stage::name);
        let leaves_ms = record.leaves_ms.unwrap_or_default();
        let known_version =
            self.fleet.borrow().get(&runner).map(|known| known.record.version.clone());
        let is_new_version = known_version.as_ref() != Some(&record.version);
        let change = self.fleet.borrow_mut().put(record);
        if is_new_version {
            self.on_versions_changed();
        }
        match change {
            FleetChange::Joined => {
                log::info!(target: "fleet", runner = runner.as_str(), service, version, zone, preemptible, stage, revision; "joined");
            }
            FleetChange::Restarted { ended } => {
                log::info!(target: "fleet", runner = runner.as_str(), ended = ended.id.as_str(), version, revision; "reborn");
                self.on_runner_departed(&ended.id, Some(at), ended.was_leaving);
            }
            FleetChange::Draining => {
                log::info!(target: "fleet", runner = runner.as_str(), leaves_ms, revision; "draining");
            }
            FleetChange::StageChanged => {
                log::info!(target: "fleet", runner = runner.as_str(), revision; "restaged");
            }
            FleetChange::Removed | FleetChange::Lapsed | FleetChange::Unchanged => {}
        }
        self.fleet_changed.notify_waiters();
    }

    /// Handles the removal of a runner's registry entry. The entry counts as lapsed until
    /// `lapses_until_us`, or as removed at once if that is `None`.
    pub fn remove_runner(
        self: &Rc<Self>,
        name: &RunnerName,
        revision: StoreRevision,
        lapses_until_us: Option<u64>,
    ) {
        let Some(id) = self.fleet.borrow().incarnation_of(name).cloned() else { return };
        let is_planned = self.fleet.borrow().get(&id).is_some_and(|it| it.is_leaving());
        let change = self.fleet.borrow_mut().remove(&id, revision, lapses_until_us);
        match change {
            FleetChange::Removed => self.on_runner_departed(&id, Some(revision), is_planned),
            FleetChange::Lapsed => {
                let revision = revision.to_string();
                log::info!(target: "fleet", runner = id.as_str(), revision; "lapsed");
                self.schedule_lapsed_removal(lapses_until_us);
            }
            _ => {}
        }
    }

    /// Time until which a missing entry may only have lapsed while the store was unavailable, in
    /// microseconds; `None` if a missing entry was removed.
    pub fn lapses_until_us(&self) -> Option<u64> {
        self.freshness.borrow().runners.lapse_grace_until_us(self.now_us())
    }

    /// Schedules the removal of runners whose entries have lapsed and are not back by `until_us`.
    fn schedule_lapsed_removal(self: &Rc<Self>, until_us: Option<u64>) {
        let Some(until_us) = until_us else { return };
        let node = self.clone();
        ntex::rt::spawn(async move {
            let remaining_us = until_us.saturating_sub(node.now_us());
            tokio::time::sleep(Duration::from_micros(remaining_us)).await;
            let gone = node.fleet.borrow_mut().remove_lapsed(node.now_us());
            for id in &gone {
                node.on_runner_departed(id, None, false);
            }
        });
    }

    /// Handles the departure of a runner. `revision` is that of the entry or list which shows the
    /// departure; `None` if the runner's lapsed entry has not come back.
    fn on_runner_departed(&self, id: &RunnerId, revision: Option<StoreRevision>, is_planned: bool) {
        self.pool.remove_runner(id);
        self.forget_link(id);
        self.on_versions_changed();
        if is_planned {
            self.on_planned_departure(id);
        } else {
            self.on_runner_terminated(id);
        }
        let revision = revision.map_or_else(String::new, |revision| revision.to_string());
        log::info!(target: "fleet", runner = id.as_str(), revision; "left");
    }

    /// Handles a response from another incarnation of a runner than the one in the registry, which
    /// must have terminated. The runner receives no requests until its entry describes the new
    /// incarnation.
    pub fn on_incarnation_mismatch(&self, runner: &RunnerId, born_ms: Option<u64>) {
        let born_ms = born_ms.unwrap_or_default();
        log::info!(target: "fleet", runner = runner.as_str(), born_ms; "another incarnation of the runner responded");
        self.pool.remove_runner(runner);
        self.fleet.borrow_mut().on_misdirected(runner);
        self.on_runner_terminated(runner);
    }

    /// Parses the head of a runner's response and applies what the runner reports about itself in
    /// it. The report applies whatever the outcome of the request is: the store may receive the
    /// same information many seconds later, or never.
    pub fn on_response_head(&self, runner: &RunnerId, head: &ResponseHead) -> ResponseMetadata {
        self.links.borrow_mut().on_data(runner, self.now_us());
        let mut metadata = headers::parse_response(head.status, head.header_pairs());
        metadata.may_have_lost_lines = self.may_have_lost_lines(runner, head);
        self.on_unknown_headers(runner, &metadata.unknown_headers);
        if metadata.is_about(runner) {
            self.on_notice(runner, metadata.notice);
        }
        metadata
    }

    /// Whether a head may have lost its last lines: it does not say where its response ends, and the runner is not known to
    /// leave that to the end of the connection.
    fn may_have_lost_lines(&self, runner: &RunnerId, head: &ResponseHead) -> bool {
        let fleet = self.fleet.borrow();
        let leaves_out_framing =
            |kind| matches!(fleet.framing_habit(runner, kind), FramingHabit::Unframed(_));
        let says_its_end = head.framing != Framing::UntilClose || head.announces_end;
        !says_its_end
            && ![ResponseKind::Stream, ResponseKind::Plain].into_iter().any(leaves_out_framing)
    }

    /// Counts headers in which a runner reports something that this build does not support, and
    /// logs each name once.
    fn on_unknown_headers(&self, runner: &RunnerId, names: &[String]) {
        for name in names {
            if self.unknown_headers.borrow_mut().record(name) {
                log::warn!(target: "fleet", runner = runner.as_str(), header = name.as_str(); "unknown response header of a runner");
            }
            self.metrics.on_runner_notice("unknown");
        }
    }

    /// Applies what a runner has reported about itself in a response.
    pub fn on_notice(&self, runner: &RunnerId, notice: RunnerNotice) {
        if notice.is_empty() {
            return;
        }
        let changes = self.fleet.borrow_mut().on_notice(runner, notice, self.now_us());
        let runner = runner.as_str();
        if changes.starts_leaving {
            self.metrics.on_runner_notice("leaving");
            log::info!(target: "fleet", runner; "runner reported that it is leaving");
        }
        if let Some(rest_us) = changes.rest_us {
            self.metrics.on_runner_notice("rest");
            let rest_ms = rest_us / MICROS_PER_MILLI;
            log::info!(target: "fleet", runner, rest_ms; "runner reported a rest period");
        }
        if notice.is_malformed {
            self.metrics.on_runner_notice("malformed");
        }
    }

    /// Whether this node may send a request to a runner now. This is the last check before each
    /// attempt, since the view of the runner may have changed while the request was placed,
    /// prefilled or charged to a quota.
    pub fn may_send_to(&self, runner: &RunnerId) -> bool {
        let now_us = self.now_us();
        let fleet = self.fleet.borrow();
        fleet.get(runner).is_some_and(|runner| runner.accepts_work_from_this_node(now_us))
    }

    /// Whether this node may ask a runner for its state. No keeper counts these requests, so a runner with a limit on
    /// requests gets none.
    pub fn may_ask_for_state(&self, runner: &RunnerId) -> bool {
        let has_limit = |fleet: &Fleet| fleet.get(runner).is_some_and(|it| it.limit().is_some());
        self.may_send_to(runner) && !has_limit(&self.fleet.borrow())
    }

    /// Handles a failure to open a connection to a runner, through any node.
    pub fn on_unreachable(&self, runner: &RunnerId, evidence: Unreachability) {
        let now_us = self.now_us();
        if let Unreachability::Confirmed { has_terminated: true } = evidence {
            self.on_runner_terminated(runner);
        }
        self.fleet.borrow_mut().update_suspicion(runner, |suspicion| match evidence {
            Unreachability::Confirmed { .. } => suspicion.on_unreachable(now_us),
            Unreachability::Unconfirmed => suspicion.on_unconfirmed_failure(now_us),
        });
        self.suspicion_changed.notify_waiters();
    }

    /// Handles an attempt, sent at `sent_at_us`, that received no response within its time limit.
    pub fn on_attempt_timeout(&self, runner: &RunnerId, sent_at_us: u64) {
        let now_us = self.now_us();
        let mut fleet = self.fleet.borrow_mut();
        fleet
            .update_suspicion(runner, |suspicion| suspicion.on_attempt_timeout(sent_at_us, now_us));
        drop(fleet);
        self.suspicion_changed.notify_waiters();
    }

    /// Records that data has arrived from a runner.
    pub fn on_progress(&self, runner: &RunnerId) {
        let now_us = self.now_us();
        self.links.borrow_mut().on_data(runner, now_us);
        let mut fleet = self.fleet.borrow_mut();
        fleet.update_suspicion(runner, |suspicion| suspicion.on_progress(now_us));
    }

    /// Applies the result of a probe.
    pub fn on_probe_verdict(&self, runner: &RunnerId, verdict: ProbeVerdict) {
        let reachable = match verdict {
            ProbeVerdict::Reachable => Some(true),
            ProbeVerdict::Unreachable(evidence) => {
                self.on_unreachable(runner, evidence);
                None
            }
            ProbeVerdict::Inconclusive => None,
        };
        if reachable == Some(true) {
            self.on_runner_alive(runner);
        }
        let now_us = self.now_us();
        let mut fleet = self.fleet.borrow_mut();
        fleet.update_suspicion(runner, |suspicion| suspicion.on_probe_result(reachable, now_us));
        drop(fleet);
        self.suspicion_changed.notify_waiters();
    }
}
