//! Enforces, across all nodes, the request rate that a runner has reported as its limit.
//!
//! In any 4 s, a runner with a limit of `L` requests per second may receive at most `6 L + 5`
//! requests: one and a half times its limit, plus five. The requests are counted by a keeper, the
//! node that schedules the runner's shard. Keepers are not elected: each node derives the order of
//! the keepers from its own membership view, and a node that receives no reply from one keeper
//! queries the next. Up to three nodes may therefore act as keepers of a shard at the same time,
//! each with its own share. All shares together stay within the bound, whichever nodes query
//! whichever keepers:
//!
//! | | first | second | third | total |
//! | --- | --- | --- | --- | --- |
//! | share of `L` per second | 1 | 0.1 | 0.05 | 1.15 |
//! | minimum per second | 0.4 | 0.2 | 0.2 | 0.8 |
//! | bucket capacity | 1 + 0.45 s of its share of `L` | the same | the same | 3 + 0.52 `L` |
//!
//! A raised or lifted limit is only noticed in the response to a request. Each keeper therefore
//! grants some requests even if the limit is 0 or close to it: the first one each 2.5 s, the others
//! each 5 s. Nothing of the minimum is saved beyond one request. In 4 s that is two requests of the
//! first keeper and one of each other one, four of the five that are allowed. The fifth is left for
//! a keeper that moves up meanwhile.
//!
//! A grant must be used within [`GRANT_TTL_US`], so requests that arrive within 4 s were granted
//! within 4.25 s: at most four below 0.4 per second, `4.77 L + 4.7` up to 4 per second, and
//! `5.41 L + 3` above. A new first keeper that replaces another one within that time starts with an
//! empty bucket. It adds to the sum what it accumulates later, but no second full rate.

use crate::ids::RunnerId;
use crate::report_time::ReportTime;
use crate::runner_limit::{LimitMessage, LimitQuery, LimitVerdict};
use crate::runner_notice::RequestRate;
use std::collections::BTreeMap;

/// Time after the query within which a grant must be used, in microseconds.
pub const GRANT_TTL_US: u64 = 250_000;
/// Maximum number of nodes that act as keepers of a shard's limits.
pub const MAX_KEEPERS: usize = 3;
/// How long a node must be first in its own view before it grants the first keeper's share, in
/// microseconds. By then the previous first keeper has received one or two digests that show the
/// change, and grants no more than the second share.
const SETTLING_PERIOD_US: u64 = 2_000_000;
/// Maximum time between two rank checks, in microseconds. A node that was paused for longer may
/// have been replaced meanwhile, and must wait for the settling period again.
const MAX_CHECK_GAP_US: u64 = 1_000_000;
/// Time whose refill fits into a bucket in addition to one request, in microseconds.
const BURST_TIME_US: u64 = 450_000;
/// One request, in millionths, the unit of bucket levels.
const ONE_REQUEST: u64 = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;
/// Maximum rate used in calculations. A limit above it has no effect.
const MAX_RATE: RequestRate = RequestRate(1_000_000_000_000);
/// Maximum wait sent with a refusal, in microseconds. It bounds how late a node notices that a
/// limit has been lifted.
pub const MAX_WAIT_US: u64 = 2_000_000;
/// Time after the last query or report about a runner until its bucket is removed, in microseconds.
const IDLE_BUCKET_TTL_US: u64 = 30_000_000;

/// The part of a limit that one keeper grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitKeeperShare {
    per_mille: u64,
    /// Minimum refill, in millionths of a request per second.
    min_per_s: u64,
}

impl LimitKeeperShare {
    /// The share of the first keeper.
    pub const FIRST: Self = Self { per_mille: 1_000, min_per_s: 400_000 };

    /// The share of the keeper with `rank` others before it; `None` if a node of this rank is not a
    /// keeper.
    pub fn at_rank(rank: usize) -> Option<Self> {
        const SECOND_PER_MILLE: u64 = 100;
        const MIN_PER_S_OF_OTHERS: u64 = 200_000;
        match rank {
            0 => Some(Self::FIRST),
            rank if rank < MAX_KEEPERS => {
                let per_mille = SECOND_PER_MILLE >> (rank - 1);
                Some(Self { per_mille, min_per_s: MIN_PER_S_OF_OTHERS })
            }
            _ => None,
        }
    }

    /// The share of a rate, without the minimum, in millionths of a request per second.
    fn share_per_s(self, rate: RequestRate) -> u128 {
        const THOUSAND: u128 = 1_000;
        u128::from(rate.0) * u128::from(self.per_mille) / THOUSAND
    }

    /// Refill in millionths of a request per second.
    fn per_s(self, rate: RequestRate) -> u128 {
        self.share_per_s(rate).max(u128::from(self.min_per_s))
    }

    /// Refill within `time_us` microseconds, in millionths of a request.
    fn refill(self, rate: RequestRate, time_us: u64) -> u64 {
        within(self.per_s(rate), time_us)
    }

    /// Capacity of a bucket, in millionths of a request. The minimum is not saved beyond one
    /// request.
    fn capacity(self, rate: RequestRate) -> u64 {
        ONE_REQUEST.saturating_add(within(self.share_per_s(rate), BURST_TIME_US))
    }

    /// Time that it takes to refill `millionths` of a request, in microseconds.
    fn time_to_refill(self, rate: RequestRate, millionths: u64) -> u64 {
        let needed = u128::from(millionths) * MICROS_PER_SECOND;
        u64::try_from(needed.div_ceil(self.per_s(rate))).unwrap_or(u64::MAX)
    }
}

/// Requests within `time_us` microseconds, both in millionths of a request.
fn within(per_s: u128, time_us: u64) -> u64 {
    let total = per_s * u128::from(time_us);
    u64::try_from(total / MICROS_PER_SECOND).unwrap_or(u64::MAX)
}

/// Tracks since when a node has been the first keeper of a shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitKeeperTerm {
    first_since_us: Option<u64>,
    checked_at_us: u64,
}

impl LimitKeeperTerm {
    /// Records a check of the node's rank: the number of nodes before it in its membership view.
    pub fn on_rank_checked(&mut self, rank: usize, now_us: u64) {
        let was_paused = now_us.saturating_sub(self.checked_at_us) > MAX_CHECK_GAP_US;
        self.checked_at_us = now_us;
        if rank > 0 {
            self.first_since_us = None;
        } else if was_paused {
            self.first_since_us = Some(now_us);
        } else {
            self.first_since_us.get_or_insert(now_us);
        }
    }

    /// The share that the node may grant at its rank; `None` if it is not a keeper.
    pub fn share(&self, rank: usize, now_us: u64) -> Option<LimitKeeperShare> {
        let is_check_recent = now_us.saturating_sub(self.checked_at_us) <= MAX_CHECK_GAP_US;
        let is_settled =
            self.first_since_us.is_some_and(|since| now_us >= since + SETTLING_PERIOD_US);
        let is_first = rank == 0 && is_check_recent && is_settled;
        LimitKeeperShare::at_rank(if is_first { 0 } else { rank.max(1) })
    }
}

/// The limit of one runner, and what is left of it at this keeper.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Option<RequestRate>,
    /// When the response with this limit arrived, at whichever node.
    reported_at: ReportTime,
    /// Requests left, in millionths.
    level: u64,
    updated_at_us: u64,
    last_queried_us: u64,
    /// The latest retry time given with a refusal. Further refusals get later times, so that the
    /// refused nodes do not all retry at once.
    last_retry_us: u64,
}

impl Bucket {
    /// Creates an empty bucket for a new runner: another keeper may just have granted a full one.
    fn new(now_us: u64) -> Self {
        Self {
            rate: None,
            reported_at: ReportTime::default(),
            level: 0,
            updated_at_us: now_us,
            last_queried_us: now_us,
            last_retry_us: 0,
        }
    }

    /// Applies a report of the runner's limit. The later report wins.
    fn on_message(&mut self, message: &LimitMessage, now_us: u64) {
        let reported_at = ReportTime::before(now_us, message.age_us);
        if reported_at <= self.reported_at {
            return;
        }
        self.reported_at = reported_at;
        if self.rate.is_none() {
            // Requests sent while there was no limit were not counted.
            self.level = 0;
            self.updated_at_us = now_us;
        }
        self.rate = message.rate;
    }

    fn refill(&mut self, rate: RequestRate, share: LimitKeeperShare, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us);
        self.updated_at_us = self.updated_at_us.max(now_us);
        let refilled = self.level.saturating_add(share.refill(rate, elapsed_us));
        self.level = refilled.min(share.capacity(rate));
    }

    fn try_take(
        &mut self,
        rate: RequestRate,
        share: LimitKeeperShare,
        now_us: u64,
    ) -> LimitVerdict {
        self.refill(rate, share, now_us);
        if self.level >= ONE_REQUEST {
            self.level -= ONE_REQUEST;
            return LimitVerdict::Granted;
        }
        let refilled_us =
            now_us.saturating_add(share.time_to_refill(rate, ONE_REQUEST - self.level));
        let after_last_us =
            self.last_retry_us.saturating_add(share.time_to_refill(rate, ONE_REQUEST));
        let retry_us = refilled_us.max(after_last_us).min(now_us + MAX_WAIT_US);
        self.last_retry_us = retry_us;
        LimitVerdict::Refused { wait_us: retry_us.saturating_sub(now_us) }
    }
}

fn capped(rate: RequestRate) -> RequestRate {
    rate.min(MAX_RATE)
}

/// The limits that one node enforces as a keeper.
#[derive(Clone, Debug, Default)]
pub struct LimitKeeper {
    buckets: BTreeMap<RunnerId, Bucket>,
}

impl LimitKeeper {
    /// Applies a report of a runner's limit that a node has received.
    pub fn on_message(&mut self, message: &LimitMessage, now_us: u64) {
        let bucket =
            self.buckets.entry(message.runner.clone()).or_insert_with(|| Bucket::new(now_us));
        bucket.on_message(message, now_us);
        bucket.last_queried_us = now_us;
    }

    /// Decides whether a node may send one request to a runner.
    pub fn on_query(
        &mut self,
        query: &LimitQuery,
        share: LimitKeeperShare,
        now_us: u64,
    ) -> LimitVerdict {
        self.on_message(&query.message, now_us);
        let Some(bucket) = self.buckets.get_mut(&query.message.runner) else {
            return LimitVerdict::NotKeeper;
        };
        match bucket.rate {
            Some(rate) => bucket.try_take(capped(rate), share, now_us),
            None => {
                let age_us = bucket.reported_at.age_us(now_us);
                LimitVerdict::Lifted { age_us }
            }
        }
    }

    /// Whether no runner is tracked.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Runners with less than one request left at `now_us`, for a keeper with this share.
    pub fn exhausted(&self, share: LimitKeeperShare, now_us: u64) -> Vec<RunnerId> {
        let is_exhausted = |(runner, bucket): (&RunnerId, &Bucket)| {
            let mut bucket = *bucket;
            bucket.refill(capped(bucket.rate?), share, now_us);
            (bucket.level < ONE_REQUEST).then(|| runner.clone())
        };
        self.buckets.iter().filter_map(is_exhausted).collect()
    }

    /// The most recent limit report of each tracked runner, newest first, at most `max_count`.
    pub fn messages(&self, max_count: usize, now_us: u64) -> Vec<LimitMessage> {
        let message = |(runner, bucket): (&RunnerId, &Bucket)| LimitMessage {
            runner: runner.clone(),
            rate: bucket.rate,
            age_us: bucket.reported_at.age_us(now_us),
        };
        let mut messages: Vec<LimitMessage> = self.buckets.iter().map(message).collect();
        messages.sort_by_key(|message| message.age_us);
        messages.truncate(max_count);
        messages
    }

    /// Removes runners without a query or report for 30 s.
    pub fn remove_idle(&mut self, now_us: u64) {
        self.buckets
            .retain(|_, bucket| now_us < bucket.last_queried_us.saturating_add(IDLE_BUCKET_TTL_US));
    }
}
