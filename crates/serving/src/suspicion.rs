//! Failure detection: whether a runner counts as unreachable, from what one node observes of it.
//!
//! To a single request, a busy runner is as silent as a dead one, so silence alone proves nothing.
//! There are four kinds of evidence:
//!
//! - *progress*: a response head, an event, or a connection that was opened. It clears the
//!   suspicion.
//! - *doubt*: a request has received nothing for a while, or its connection broke. A probe that
//!   opens a connection settles it: a runner whose process is gone refuses the connection, one that
//!   is powered off or cut off does not answer, and one that is only busy accepts it.
//! - *guess*: no request received anything for the whole time that an attempt may take, if that time
//!   is not short. New requests avoid the runner; what runs there goes on, and a probe is still due.
//! - *proof*: a connection could not be opened, and no other node reaches the runner. Only a proof
//!   may end or release what rests on the runner being there.
//!
//! The runner is avoided for a time that doubles with each consecutive guess or proof.

/// Silence of an attempt for less than this proves nothing, even if no other request received
/// anything; in microseconds. Without the bound, attempts with only 99 ms left would mark a busy
/// runner as unreachable under overload.
const MIN_SILENCE_US: u64 = 500_000;
/// Minimum and maximum time for which an unreachable runner is avoided, in microseconds.
const MIN_BACKOFF_US: u64 = 500_000;
const MAX_BACKOFF_US: u64 = 8_000_000;

/// What one node concludes from the failures of a runner to respond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// Nothing speaks against it.
    #[default]
    Presumed,
    /// A guess: the runner has been silent. It may be slow, hang, or be out of reach.
    Doubtful,
    /// A proof: no connection to the runner could be opened by any node that was asked.
    Unreachable,
}

/// One node's view of the reachability of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    reachability: Reachability,
    avoided_until_us: u64,
    /// Length of the latest avoidance, in microseconds; 0 if the runner is not suspected.
    backoff_us: u64,
    progress_at_us: u64,
    /// When no node could connect to the runner for the last time; 0 if the runner has responded since.
    unreachable_at_us: u64,
    /// Until when a connection that could not be opened counts, while no other node has told why.
    unconfirmed_until_us: u64,
    is_probing: bool,
}

impl Suspicion {
    /// Records that the runner has sent something.
    pub fn on_progress(&mut self, now_us: u64) {
        let is_probing = self.is_probing;
        *self = Self { progress_at_us: now_us, is_probing, ..Self::default() };
    }

    /// Records that a connection could not be opened, and that this is not due to this node's link.
    pub fn on_unreachable(&mut self, now_us: u64) {
        self.unreachable_at_us = now_us;
        self.avoid(now_us);
        self.reachability = Reachability::Unreachable;
    }

    fn avoid(&mut self, now_us: u64) {
        if now_us >= self.avoided_until_us || !self.is_suspected() {
            self.backoff_us = (self.backoff_us * 2).clamp(MIN_BACKOFF_US, MAX_BACKOFF_US);
            self.avoided_until_us = now_us + self.backoff_us;
        }
    }

    /// Records that a connection could not be opened, and that no other node has told yet whether the runner or this
    /// node's link has failed. The runner is avoided for a short time but not suspected: requests that are under way there
    /// go on, and the avoidance does not grow.
    pub fn on_unconfirmed_failure(&mut self, now_us: u64) {
        self.unconfirmed_until_us = now_us + MIN_BACKOFF_US;
        if now_us >= self.avoided_until_us {
            self.avoided_until_us = now_us + MIN_BACKOFF_US;
        }
    }

    /// Whether the runner was found unreachable so recently that another attempt to connect is useless.
    pub fn was_just_unreachable(&self, now_us: u64) -> bool {
        const UNREACHABLE_TTL_US: u64 = 250_000;
        self.unreachable_at_us > 0 && now_us < self.unreachable_at_us + UNREACHABLE_TTL_US
    }

    /// Whether no connection to the runner could be opened recently, for whatever reason.
    pub fn is_unreached(&self, now_us: u64) -> bool {
        self.is_unreachable() || now_us < self.unconfirmed_until_us
    }

    /// Records that an attempt, sent at `sent_at_us`, has timed out without any response. A runner
    /// that has since responded to another request is busy, or lost only this request. Otherwise it
    /// is guessed, not proven, that the runner cannot be reached.
    pub fn on_attempt_timeout(&mut self, sent_at_us: u64, now_us: u64) {
        let is_long = now_us >= sent_at_us + MIN_SILENCE_US;
        if is_long && self.progress_at_us < sent_at_us {
            self.avoid(now_us);
            self.reachability = self.reachability.max(Reachability::Doubtful);
        }
    }

    /// Records that a request has received nothing since `since_us`, or that its connection broke
    /// then. Returns whether the caller must probe the runner by opening a connection, and report
    /// the result to [`Self::on_probe_result`]. Only one probe is under way at a time.
    pub fn begin_probe(&mut self, since_us: u64) -> bool {
        let is_settled = self.progress_at_us > since_us || self.is_unreachable();
        !is_settled && !std::mem::replace(&mut self.is_probing, true)
    }

    /// Records the result of a probe: whether a connection could be opened, or `None` if the probe
    /// took so long that the node itself must have been suspended.
    pub fn on_probe_result(&mut self, reachable: Option<bool>, now_us: u64) {
        self.is_probing = false;
        match reachable {
            Some(true) => self.on_progress(now_us),
            Some(false) => self.on_unreachable(now_us),
            None => {}
        }
    }

    /// Whether it is proven that the runner could not be reached, and it has not responded since.
    pub fn is_unreachable(&self) -> bool {
        self.reachability == Reachability::Unreachable
    }

    /// Whether it is guessed or proven that the runner cannot be reached. This suffices to choose
    /// another runner, and for nothing that cannot be taken back.
    pub fn is_suspected(&self) -> bool {
        self.reachability != Reachability::Presumed
    }

    /// Whether new requests must go to other runners. When the time of avoidance is over, a single
    /// request tries the runner before others follow.
    pub fn is_avoided(&self, in_flight: u32, now_us: u64) -> bool {
        now_us < self.avoided_until_us || (self.is_suspected() && in_flight > 0)
    }
}
