//! Counts for all nodes what they send to a runner that has named a limit.
//!
//! In any 4 s such a runner may get `6 L + 5` requests, where `L` is its limit a second: one and a half times what it
//! names, and five. The requests are counted by a keeper, the node that schedules the runner's shard. Keepers agree on
//! nothing: which node is the first follows from what each knows, and nodes that miss its answers ask the next
//! one. So four nodes at most may be keepers of a shard, each with a share of its own, and all shares together stay within
//! the bound, whoever asks whom:
//!
//! | | first | second | third | fourth | all |
//! | --- | --- | --- | --- | --- | --- |
//! | share of `L` a second | 1 | 0.1 | 0.05 | 0.025 | 1.175 |
//! | but at the least, a second | 0.1 | 0.08 | 0.016 | 0.016 | 0.212 |
//! | saved at most | 1 + 0.45 of it | the same | the same | the same | 4 + 0.53 `L`, or 4.1 |
//!
//! Of a runner that takes next to nothing nobody else would hear that it takes more again, so that each keeper lets some
//! requests through whatever the limit is: all together 4.996 in 4 s with what is saved, where five may come.
//!
//! A grant is used within [`GRANT_LIFE_US`], so what arrives in 4 s was granted in 4.25 s: `5.53 L + 4` at most. A first one
//! that follows another within that time begins with nothing saved, and adds what it saves later to the sum, and no second rate.

use crate::ids::RunnerId;
use crate::runner_limit::{LimitMessage, LimitQuery, LimitVerdict};
use crate::runner_notice::RequestRate;
use std::collections::BTreeMap;

/// Time from the question within which a grant is used, microseconds.
pub const GRANT_TTL_US: u64 = 250_000;
/// Nodes that may be keepers of a shard's limits.
pub const MAX_KEEPERS: usize = 4;
/// Time for which a node has to be the first before it gives the first one's share, microseconds: the one before it has
/// heard of it by then, in a digest or two, and gives no more than a second one.
const SETTLING_PERIOD_US: u64 = 2_000_000;
/// Longest time between two looks at who is the first, microseconds. A node that stood still for longer may have been
/// replaced meanwhile, and settles anew.
const MAX_CHECK_GAP_US: u64 = 1_000_000;
/// Time whose refill a keeper saves besides one request, microseconds.
const BURST_TIME_US: u64 = 450_000;
/// One request, in the millionths that levels are counted in.
const ONE_REQUEST: u64 = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;
/// Rate that is counted with at the most: beyond it a limit is none.
const MAX_RATE: RequestRate = RequestRate(1_000_000_000_000);
/// Longest wait that is told, microseconds: how late a node may notice that the limit has been lifted.
const MAX_WAIT_US: u64 = 2_000_000;
/// Time after which a runner that nobody asked for is forgotten, microseconds.
const IDLE_BUCKET_TTL_US: u64 = 30_000_000;

/// The part of a limit that one keeper gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperShare {
    per_mille: u64,
    /// What it gives at the least, millionths of a request a second.
    min_per_second: u64,
}

impl KeeperShare {
    /// The first keeper's.
    pub const FIRST: Self = Self { per_mille: 1_000, min_per_second: 100_000 };

    /// That of a keeper with so many others before it; `None`: it is no keeper.
    pub fn at_rank(rank: usize) -> Option<Self> {
        const SECOND: KeeperShare = KeeperShare { per_mille: 100, min_per_second: 80_000 };
        const MIN_PER_SECOND_OF_OTHERS: u64 = 16_000;
        match rank {
            0 => Some(Self::FIRST),
            1 => Some(SECOND),
            rank if rank < MAX_KEEPERS => {
                let per_mille = SECOND.per_mille >> (rank - 1);
                Some(Self { per_mille, min_per_second: MIN_PER_SECOND_OF_OTHERS })
            }
            _ => None,
        }
    }

    /// What it gives in a second, in millionths of a request.
    fn per_second(self, rate: RequestRate) -> u128 {
        const THOUSAND: u128 = 1_000;
        let share = u128::from(rate.0) * u128::from(self.per_mille) / THOUSAND;
        share.max(u128::from(self.min_per_second))
    }

    /// What it gives in some time, in millionths of a request.
    fn refill(self, rate: RequestRate, time_us: u64) -> u64 {
        let total = self.per_second(rate) * u128::from(time_us);
        u64::try_from(total / MICROS_PER_SECOND).unwrap_or(u64::MAX)
    }

    /// The most that it saves.
    fn capacity(self, rate: RequestRate) -> u64 {
        ONE_REQUEST + self.refill(rate, BURST_TIME_US)
    }

    /// Time in which it gives so much, microseconds.
    fn time_to_refill(self, rate: RequestRate, millionths: u64) -> u64 {
        let needed = u128::from(millionths) * MICROS_PER_SECOND;
        u64::try_from(needed.div_ceil(self.per_second(rate))).unwrap_or(u64::MAX)
    }
}

/// Since when a node has been the first keeper of a shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitKeeperTerm {
    first_since_us: Option<u64>,
    checked_at_us: u64,
}

impl LimitKeeperTerm {
    /// The node looks at its place: so many nodes that it hears of come before it.
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

    /// What the node may give at its place; `None`: it is no keeper.
    pub fn share(&self, rank: usize, now_us: u64) -> Option<KeeperShare> {
        let is_check_recent = now_us.saturating_sub(self.checked_at_us) <= MAX_CHECK_GAP_US;
        let is_settled =
            self.first_since_us.is_some_and(|since| now_us >= since + SETTLING_PERIOD_US);
        let is_first = rank == 0 && is_check_recent && is_settled;
        KeeperShare::at_rank(if is_first { 0 } else { rank.max(1) })
    }
}

/// What one runner has named, and what is left of it here.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Option<RequestRate>,
    reported_at_us: u64,
    /// Left, in millionths of a request.
    level: u64,
    updated_at_us: u64,
    last_queried_us: u64,
    /// When the last one that was refused may ask again: the next ones come after it, not all at once.
    last_retry_us: u64,
}

impl Bucket {
    /// A runner that was not known: nothing is saved, as another keeper may have granted all of it just now.
    fn new(now_us: u64) -> Self {
        Self {
            rate: None,
            reported_at_us: 0,
            level: 0,
            updated_at_us: now_us,
            last_queried_us: now_us,
            last_retry_us: 0,
        }
    }

    /// Takes in what the runner has said; the later word holds.
    fn on_message(&mut self, message: &LimitMessage, now_us: u64) {
        let reported_at_us = now_us.saturating_sub(message.age_us);
        if reported_at_us <= self.reported_at_us && self.reported_at_us > 0 {
            return;
        }
        self.reported_at_us = reported_at_us;
        if self.rate.is_none() {
            // What was sent while there was no limit was not counted.
            self.level = 0;
            self.updated_at_us = now_us;
        }
        self.rate = message.rate;
    }

    fn refill(&mut self, rate: RequestRate, share: KeeperShare, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us);
        self.updated_at_us = self.updated_at_us.max(now_us);
        let refilled = self.level.saturating_add(share.refill(rate, elapsed_us));
        self.level = refilled.min(share.capacity(rate));
    }

    fn try_take(&mut self, rate: RequestRate, share: KeeperShare, now_us: u64) -> LimitVerdict {
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

/// What one node counts as a keeper.
#[derive(Clone, Debug, Default)]
pub struct LimitKeeper {
    buckets: BTreeMap<RunnerId, Bucket>,
}

impl LimitKeeper {
    /// A node has heard what a runner takes.
    pub fn on_message(&mut self, message: &LimitMessage, now_us: u64) {
        let bucket =
            self.buckets.entry(message.runner.clone()).or_insert_with(|| Bucket::new(now_us));
        bucket.on_message(message, now_us);
        bucket.last_queried_us = now_us;
    }

    /// A node asks whether it may send a request.
    pub fn on_query(
        &mut self,
        query: &LimitQuery,
        share: KeeperShare,
        now_us: u64,
    ) -> LimitVerdict {
        self.on_message(&query.message, now_us);
        let Some(bucket) = self.buckets.get_mut(&query.message.runner) else {
            return LimitVerdict::NotKeeper;
        };
        match bucket.rate {
            Some(rate) => bucket.try_take(capped(rate), share, now_us),
            None => {
                let age_us = now_us.saturating_sub(bucket.reported_at_us);
                LimitVerdict::Lifted { age_us }
            }
        }
    }

    /// Whether it knows of no limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Runners that have none left now, at a keeper with this share.
    pub fn exhausted(&self, share: KeeperShare, now_us: u64) -> Vec<RunnerId> {
        let is_exhausted = |(runner, bucket): (&RunnerId, &Bucket)| {
            let mut bucket = *bucket;
            bucket.refill(capped(bucket.rate?), share, now_us);
            (bucket.level < ONE_REQUEST).then(|| runner.clone())
        };
        self.buckets.iter().filter_map(is_exhausted).collect()
    }

    /// What the runners have said that are known here, the latest words first, so many at most.
    pub fn messages(&self, max_count: usize, now_us: u64) -> Vec<LimitMessage> {
        let message = |(runner, bucket): (&RunnerId, &Bucket)| LimitMessage {
            runner: runner.clone(),
            rate: bucket.rate,
            age_us: now_us.saturating_sub(bucket.reported_at_us),
        };
        let mut messages: Vec<LimitMessage> = self.buckets.iter().map(message).collect();
        messages.sort_by_key(|message| message.age_us);
        messages.truncate(max_count);
        messages
    }

    /// Forgets runners that nobody has asked for lately.
    pub fn remove_idle(&mut self, now_us: u64) {
        self.buckets
            .retain(|_, bucket| now_us < bucket.last_queried_us.saturating_add(IDLE_BUCKET_TTL_US));
    }
}
