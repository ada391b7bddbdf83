//! Which of a node's own links to runners are lost.
//!
//! A runner that this node cannot reach over its own link has not necessarily failed: if another node reaches it, the link is
//! lost. Requests to it then go through that node, and the link is probed in the background until it works again. A link
//! that comes and goes has to work for longer each time before it is used again.
//!
//! Times are in microseconds of the node's clock.

use crate::ids::RunnerId;
use std::collections::BTreeMap;

/// Time between two probes of a lost link.
const PROBE_INTERVAL_US: u64 = 250_000;
/// Time for which a link that was lost again soon after it had been restored must work before it is used, for the first
/// time. It doubles with each further loss, up to the maximum.
const MIN_STEADY_US: u64 = 500_000;
const MAX_STEADY_US: u64 = 4_000_000;
/// Time after its restoration within which the loss of a link counts as a loss again.
const RELAPSE_WINDOW_US: u64 = 10_000_000;
/// Age up to which data from any runner shows that this node's links work in general.
const RECENT_DATA_US: u64 = 2_000_000;
/// Time after the loss of a link during which the other links are in doubt.
const DOUBT_US: u64 = 5_000_000;

/// Result of probing a lost link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkProbe {
    /// The runner responded over the link.
    Responded,
    /// The runner did not respond.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Lost {
        since_us: u64,
        /// Since when all probes have succeeded; `None` if the last one failed.
        works_since_us: Option<u64>,
        next_probe_us: u64,
    },
    Restored {
        at_us: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Link {
    state: State,
    /// Time for which the link must work before it is used again.
    steady_us: u64,
}

/// The links of one node that are lost, or were until recently.
#[derive(Clone, Debug, Default)]
pub struct LostLinks {
    links: BTreeMap<RunnerId, Link>,
    /// When a link was last lost.
    last_loss_us: Option<u64>,
    /// When data from any runner last arrived over this node's own link.
    last_data_us: Option<u64>,
}

impl LostLinks {
    /// Whether the link to a runner is lost.
    pub fn is_lost(&self, runner: &RunnerId) -> bool {
        let link = self.links.get(runner);
        link.is_some_and(|link| matches!(link.state, State::Lost { .. }))
    }

    /// Number of lost links.
    pub fn count(&self) -> usize {
        self.lost().count()
    }

    /// Whether a link was lost so recently that the others are in doubt.
    pub fn are_others_in_doubt(&self, now_us: u64) -> bool {
        self.last_loss_us.is_some_and(|lost_us| now_us < lost_us + DOUBT_US)
    }

    /// Records proof that the link to a runner is lost: another node reaches the runner. Returns whether that is news.
    pub fn on_lost(&mut self, runner: &RunnerId, now_us: u64) -> bool {
        if self.is_lost(runner) {
            return false;
        }
        let steady_us = match self.links.get(runner) {
            Some(Link { state: State::Restored { at_us }, steady_us })
                if now_us < at_us + RELAPSE_WINDOW_US =>
            {
                (steady_us * 2).clamp(MIN_STEADY_US, MAX_STEADY_US)
            }
            _ => 0,
        };
        let next_probe_us = now_us + PROBE_INTERVAL_US;
        let state = State::Lost { since_us: now_us, works_since_us: None, next_probe_us };
        self.links.insert(runner.clone(), Link { state, steady_us });
        self.last_loss_us = Some(now_us);
        true
    }

    /// Records the result of probing a lost link. Returns how long the link was lost if it is used again from now on.
    pub fn on_probed(&mut self, runner: &RunnerId, result: LinkProbe, now_us: u64) -> Option<u64> {
        let link = self.links.get_mut(runner)?;
        let State::Lost { since_us, works_since_us, .. } = &mut link.state else { return None };
        if result == LinkProbe::Failed {
            *works_since_us = None;
            return None;
        }
        let works_since_us = *works_since_us.get_or_insert(now_us);
        if now_us < works_since_us + link.steady_us {
            return None;
        }
        let lost_for_us = now_us.saturating_sub(*since_us);
        link.state = State::Restored { at_us: now_us };
        Some(lost_for_us)
    }

    /// The lost links that are due for a probe, at most `max_count`, those that have waited longest first. They are not
    /// due again for an interval.
    pub fn take_due(&mut self, max_count: usize, now_us: u64) -> Vec<RunnerId> {
        self.forget_old(now_us);
        let due_at = |link: &Link| match link.state {
            State::Lost { next_probe_us, .. } if next_probe_us <= now_us => Some(next_probe_us),
            _ => None,
        };
        let mut due: Vec<(u64, RunnerId)> = self
            .links
            .iter()
            .filter_map(|(runner, link)| Some((due_at(link)?, runner.clone())))
            .collect();
        due.sort_unstable();
        due.truncate(max_count);
        for (_, runner) in &due {
            if let Some(Link { state: State::Lost { next_probe_us, .. }, .. }) =
                self.links.get_mut(runner)
            {
                *next_probe_us = now_us + PROBE_INTERVAL_US;
            }
        }
        due.into_iter().map(|(_, runner)| runner).collect()
    }

    /// Records that data has arrived from a runner. Data from a runner whose link is lost came through another node and
    /// shows nothing about this node's links.
    pub fn on_data(&mut self, runner: &RunnerId, now_us: u64) {
        if !self.is_lost(runner) {
            self.last_data_us = Some(now_us);
        }
    }

    /// Whether data from any runner has recently arrived over this node's own link.
    pub fn has_recent_data(&self, now_us: u64) -> bool {
        self.last_data_us.is_some_and(|data_us| now_us < data_us + RECENT_DATA_US)
    }

    /// Whether no data from any runner has arrived over this node's own links since `since_us`.
    pub fn has_no_data_since(&self, since_us: u64) -> bool {
        self.last_data_us.is_none_or(|data_us| data_us < since_us)
    }

    /// Forgets a runner that has left.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.links.remove(runner);
    }

    fn lost(&self) -> impl Iterator<Item = &Link> {
        self.links.values().filter(|link| matches!(link.state, State::Lost { .. }))
    }

    fn forget_old(&mut self, now_us: u64) {
        self.links.retain(|_, link| match link.state {
            State::Lost { .. } => true,
            State::Restored { at_us } => now_us < at_us + RELAPSE_WINDOW_US,
        });
    }
}
