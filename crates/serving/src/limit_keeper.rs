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
use crate::runner_limit::{LimitQuestion, LimitVerdict, LimitWord};
use crate::runner_notice::RequestRate;
use std::collections::BTreeMap;

/// Time from the question within which a grant is used, microseconds.
pub const GRANT_LIFE_US: u64 = 250_000;
/// Nodes that may be keepers of a shard's limits.
pub const MOST_KEEPERS: usize = 4;
/// Time for which a node has to be the first before it gives the first one's share, microseconds: the one before it has
/// heard of it by then, in a digest or two, and gives no more than a second one.
const SETTLING_US: u64 = 2_000_000;
/// Longest time between two looks at who is the first, microseconds. A node that stood still for longer may have been
/// replaced meanwhile, and settles anew.
const LONGEST_GAP_US: u64 = 1_000_000;
/// Time whose refill a keeper saves besides one request, microseconds.
const SAVED_TIME_US: u64 = 450_000;
/// One request, in the millionths that levels are counted in.
const ONE: u64 = 1_000_000;
const MICROS_A_SECOND: u128 = 1_000_000;
/// Rate that is counted with at the most: beyond it a limit is none.
const MOST_RATE: RequestRate = RequestRate(1_000_000_000_000);
/// Longest wait that is told, microseconds: how late a node may notice that the limit has been lifted.
const LONGEST_WAIT_US: u64 = 2_000_000;
/// Time after which a runner that nobody asked for is forgotten, microseconds.
const FORGOTTEN_AFTER_US: u64 = 30_000_000;

/// The part of a limit that one keeper gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperShare {
    thousandths: u64,
    /// What it gives at the least, millionths of a request a second.
    least: u64,
}

impl KeeperShare {
    /// The first keeper's.
    pub const FIRST: Self = Self { thousandths: 1_000, least: 100_000 };

    /// That of a keeper with so many others before it; `None`: it is no keeper.
    pub fn of_place(place: usize) -> Option<Self> {
        const SECOND: KeeperShare = KeeperShare { thousandths: 100, least: 80_000 };
        const LEAST_OF_OTHERS: u64 = 16_000;
        match place {
            0 => Some(Self::FIRST),
            1 => Some(SECOND),
            place if place < MOST_KEEPERS => {
                let thousandths = SECOND.thousandths >> (place - 1);
                Some(Self { thousandths, least: LEAST_OF_OTHERS })
            }
            _ => None,
        }
    }

    /// What it gives in a second, in millionths of a request.
    fn a_second(self, rate: RequestRate) -> u128 {
        const THOUSAND: u128 = 1_000;
        let share = u128::from(rate.0) * u128::from(self.thousandths) / THOUSAND;
        share.max(u128::from(self.least))
    }

    /// What it gives in some time, in millionths of a request.
    fn refill(self, rate: RequestRate, time_us: u64) -> u64 {
        let all = self.a_second(rate) * u128::from(time_us);
        u64::try_from(all / MICROS_A_SECOND).unwrap_or(u64::MAX)
    }

    /// The most that it saves.
    fn most_saved(self, rate: RequestRate) -> u64 {
        ONE + self.refill(rate, SAVED_TIME_US)
    }

    /// Time in which it gives so much, microseconds.
    fn time_for(self, rate: RequestRate, millionths: u64) -> u64 {
        let needed = u128::from(millionths) * MICROS_A_SECOND;
        u64::try_from(needed.div_ceil(self.a_second(rate))).unwrap_or(u64::MAX)
    }
}

/// Since when a node has been the first keeper of a shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeeperTerm {
    first_since_us: Option<u64>,
    looked_at_us: u64,
}

impl KeeperTerm {
    /// The node looks at its place: so many nodes that it hears of come before it.
    pub fn on_look(&mut self, place: usize, now_us: u64) {
        let stood_still = now_us.saturating_sub(self.looked_at_us) > LONGEST_GAP_US;
        self.looked_at_us = now_us;
        if place > 0 {
            self.first_since_us = None;
        } else if stood_still {
            self.first_since_us = Some(now_us);
        } else {
            self.first_since_us.get_or_insert(now_us);
        }
    }

    /// What the node may give at its place; `None`: it is no keeper.
    pub fn share(&self, place: usize, now_us: u64) -> Option<KeeperShare> {
        let looked_lately = now_us.saturating_sub(self.looked_at_us) <= LONGEST_GAP_US;
        let is_settled = self.first_since_us.is_some_and(|since| now_us >= since + SETTLING_US);
        let is_first = place == 0 && looked_lately && is_settled;
        KeeperShare::of_place(if is_first { 0 } else { place.max(1) })
    }
}

/// What one runner has named, and what is left of it here.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Option<RequestRate>,
    heard_at_us: u64,
    /// Left, in millionths of a request.
    level: u64,
    updated_at_us: u64,
    asked_at_us: u64,
    /// When the last one that was refused may ask again: the next ones come after it, not all at once.
    last_turn_us: u64,
}

impl Bucket {
    /// A runner that was not known: nothing is saved, as another keeper may have granted all of it just now.
    fn new(now_us: u64) -> Self {
        Self {
            rate: None,
            heard_at_us: 0,
            level: 0,
            updated_at_us: now_us,
            asked_at_us: now_us,
            last_turn_us: 0,
        }
    }

    /// Takes in what the runner has said; the later word holds.
    fn on_word(&mut self, word: &LimitWord, now_us: u64) {
        let heard_at_us = now_us.saturating_sub(word.heard_ago_us);
        if heard_at_us <= self.heard_at_us && self.heard_at_us > 0 {
            return;
        }
        self.heard_at_us = heard_at_us;
        if self.rate.is_none() {
            // What was sent while there was no limit was not counted.
            self.level = 0;
            self.updated_at_us = now_us;
        }
        self.rate = word.rate;
    }

    fn refill(&mut self, rate: RequestRate, share: KeeperShare, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_at_us);
        self.updated_at_us = self.updated_at_us.max(now_us);
        let refilled = self.level.saturating_add(share.refill(rate, passed_us));
        self.level = refilled.min(share.most_saved(rate));
    }

    fn take(&mut self, rate: RequestRate, share: KeeperShare, now_us: u64) -> LimitVerdict {
        self.refill(rate, share, now_us);
        if self.level >= ONE {
            self.level -= ONE;
            return LimitVerdict::Granted;
        }
        let first_us = now_us.saturating_add(share.time_for(rate, ONE - self.level));
        let after_last_us = self.last_turn_us.saturating_add(share.time_for(rate, ONE));
        let turn_us = first_us.max(after_last_us).min(now_us + LONGEST_WAIT_US);
        self.last_turn_us = turn_us;
        LimitVerdict::Refused { wait_us: turn_us.saturating_sub(now_us) }
    }
}

fn counted(rate: RequestRate) -> RequestRate {
    rate.min(MOST_RATE)
}

/// What one node counts as a keeper.
#[derive(Clone, Debug, Default)]
pub struct LimitKeeper {
    buckets: BTreeMap<RunnerId, Bucket>,
}

impl LimitKeeper {
    /// A node has heard what a runner takes.
    pub fn on_word(&mut self, word: &LimitWord, now_us: u64) {
        let bucket = self.buckets.entry(word.runner.clone()).or_insert_with(|| Bucket::new(now_us));
        bucket.on_word(word, now_us);
        bucket.asked_at_us = now_us;
    }

    /// A node asks whether it may send a request.
    pub fn on_question(
        &mut self,
        question: &LimitQuestion,
        share: KeeperShare,
        now_us: u64,
    ) -> LimitVerdict {
        self.on_word(&question.word, now_us);
        let Some(bucket) = self.buckets.get_mut(&question.word.runner) else {
            return LimitVerdict::NotKeeper;
        };
        match bucket.rate {
            Some(rate) => bucket.take(counted(rate), share, now_us),
            None => {
                let heard_ago_us = now_us.saturating_sub(bucket.heard_at_us);
                LimitVerdict::Lifted { heard_ago_us }
            }
        }
    }

    /// Whether it knows of no limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Runners that have none left now, at a keeper with this share.
    pub fn short(&self, share: KeeperShare, now_us: u64) -> Vec<RunnerId> {
        let is_short = |(runner, bucket): (&RunnerId, &Bucket)| {
            let mut bucket = *bucket;
            bucket.refill(counted(bucket.rate?), share, now_us);
            (bucket.level < ONE).then(|| runner.clone())
        };
        self.buckets.iter().filter_map(is_short).collect()
    }

    /// What the runners have said that are known here, the latest words first, so many at most.
    pub fn words(&self, most: usize, now_us: u64) -> Vec<LimitWord> {
        let word = |(runner, bucket): (&RunnerId, &Bucket)| LimitWord {
            runner: runner.clone(),
            rate: bucket.rate,
            heard_ago_us: now_us.saturating_sub(bucket.heard_at_us),
        };
        let mut words: Vec<LimitWord> = self.buckets.iter().map(word).collect();
        words.sort_by_key(|word| word.heard_ago_us);
        words.truncate(most);
        words
    }

    /// Forgets runners that nobody has asked for lately.
    pub fn sweep(&mut self, now_us: u64) {
        self.buckets
            .retain(|_, bucket| now_us < bucket.asked_at_us.saturating_add(FORGOTTEN_AFTER_US));
    }
}
