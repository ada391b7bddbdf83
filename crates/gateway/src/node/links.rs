//! This node's own links to runners: what is known of them, and what follows when one is lost or restored.

use super::Node;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::lost_links::LinkProbe;

const MICROS_PER_MILLI: u64 = 1_000;

/// Why the link to a runner counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// A connection over the link was refused.
    Refused,
    /// A connection over the link could not be opened.
    NotConnected,
    /// A connection was opened over the link, but the runner did not respond to a request on it.
    NoResponse,
}

impl LinkLoss {
    fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NotConnected => "not_connected",
            Self::NoResponse => "no_response",
        }
    }
}

impl Node {
    /// Whether the link to a runner is lost while another node reaches the runner.
    pub fn is_link_lost(&self, runner: &RunnerId) -> bool {
        self.links.borrow().is_lost(runner)
    }

    /// Whether the links to at least half of the known runners are lost.
    pub fn has_lost_most_links(&self) -> bool {
        let lost = self.links.borrow().count();
        lost > 0 && lost * 2 >= self.fleet.borrow().iter().count()
    }

    /// Records that the link to a runner is lost: `peer` reaches the runner. What has failed over the link says little
    /// about the runner. Returns whether the loss is news.
    pub fn on_link_lost(&self, runner: &RunnerId, peer: &str, loss: LinkLoss) -> bool {
        let now_us = self.now_us();
        let is_news = self.links.borrow_mut().on_lost(runner, now_us);
        if is_news {
            let (id, reason) = (runner.as_str(), loss.name());
            let broken_attempts = self.crash_evidence.borrow_mut().on_link_lost(runner);
            log::warn!(target: "links", runner = id, peer, reason, broken_attempts; "link lost: runner reached through another node");
            self.pool.remove_runner(runner);
            self.fleet.borrow_mut().on_link_lost(runner, now_us);
            self.metrics.links_lost.set(self.links.borrow().count() as f64);
        }
        self.suspicion_changed.notify_waiters();
        is_news
    }

    /// Applies the result of probing a lost link.
    pub fn on_link_probed(&self, runner: &RunnerId, result: LinkProbe) {
        let restored = self.links.borrow_mut().on_probed(runner, result, self.now_us());
        if let Some(lost_for_us) = restored {
            let (id, after_ms) = (runner.as_str(), lost_for_us / MICROS_PER_MILLI);
            log::info!(target: "links", runner = id, after_ms; "link restored");
            self.pool.remove_runner(runner);
            self.metrics.links_lost.set(self.links.borrow().count() as f64);
        }
    }

    /// Forgets the link to a runner that has left.
    pub(super) fn forget_link(&self, runner: &RunnerId) {
        self.links.borrow_mut().forget(runner);
        self.metrics.links_lost.set(self.links.borrow().count() as f64);
    }
}
