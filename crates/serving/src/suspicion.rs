//! Whether a runner counts as unreachable, from what one node sees of it.
//!
//! A busy runner is as silent towards one request as a dead one, so silence alone proves
//! nothing. Three kinds of evidence are told apart:
//!
//! - *progress*: a head, an event, a connection that was opened. It takes suspicion back.
//! - *doubt*: a request heard nothing for a while, or its connection broke. It is settled by
//!   opening a connection: a runner whose process is gone refuses it, one that is dark or cut
//!   off does not answer, one that is only busy accepts it.
//! - *proof*: a connection could not be opened, or nobody heard anything for the whole time
//!   that an attempt may take, if that is no short one. The runner is avoided for a time that doubles with each proof
//!   in a row.

/// Silence of an attempt that is shorter proves nothing, even if nobody else heard anything.
const MIN_SILENCE_US: u64 = 500_000;
/// First and longest time for which a runner that could not be reached is avoided.
const MIN_BACKOFF_US: u64 = 500_000;
const MAX_BACKOFF_US: u64 = 8_000_000;

/// What one node believes of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    avoided_until_us: u64,
    /// 0: not suspected.
    backoff_us: u64,
    progress_at_us: u64,
    is_probing: bool,
}

impl Suspicion {
    /// Something came from the runner.
    pub fn on_progress(&mut self, now_us: u64) {
        self.progress_at_us = now_us;
        self.avoided_until_us = 0;
        self.backoff_us = 0;
    }

    /// A connection could not be opened.
    pub fn on_unreachable(&mut self, now_us: u64) {
        if now_us >= self.avoided_until_us {
            self.backoff_us = (self.backoff_us * 2).clamp(MIN_BACKOFF_US, MAX_BACKOFF_US);
            self.avoided_until_us = now_us + self.backoff_us;
        }
    }

    /// The time of an attempt that was sent at `sent_at_us` is over without any answer. A
    /// runner that has answered somebody since is busy, or lost this one request.
    pub fn on_attempt_timeout(&mut self, sent_at_us: u64, now_us: u64) {
        let is_long = now_us >= sent_at_us + MIN_SILENCE_US;
        if is_long && self.progress_at_us < sent_at_us {
            self.on_unreachable(now_us);
        }
    }

    /// Nothing has come for a request since `since_us`, or its connection broke then. Returns
    /// whether the caller is to open a connection, and then to tell the result by
    /// [`Self::on_probe_result`]: one such look at a time is enough.
    pub fn begin_probe(&mut self, since_us: u64) -> bool {
        let is_settled = self.progress_at_us > since_us || self.is_suspected();
        !is_settled && !std::mem::replace(&mut self.is_probing, true)
    }

    /// A connection was opened, or could not be. `None`: the look took so long that the node
    /// itself must have stood still.
    pub fn on_probe_result(&mut self, reachable: Option<bool>, now_us: u64) {
        self.is_probing = false;
        match reachable {
            Some(true) => self.on_progress(now_us),
            Some(false) => self.on_unreachable(now_us),
            None => {}
        }
    }

    /// Whether it could not be reached and has not answered since.
    pub fn is_suspected(&self) -> bool {
        self.backoff_us > 0
    }

    /// Whether new requests go elsewhere. After the time for which a runner is suspected, one
    /// request tries it before others follow.
    pub fn is_avoided(&self, in_flight: u32, now_us: u64) -> bool {
        now_us < self.avoided_until_us || (self.is_suspected() && in_flight > 0)
    }
}
