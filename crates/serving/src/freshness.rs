//! How fresh a node's copy of the store is, by its own answers and by other nodes' word.
//!
//! A watch that waits says nothing about whether it still works. Asking again and again costs
//! a call each time, at every node. So nodes tell each other up to which revision they know a
//! subject and how long ago the store confirmed that. A node whose copy reaches the last change
//! that any node has seen is as fresh as the freshest word, whatever its own watch does; one
//! that has heard nothing for a while asks the store itself, and what it learns spares the
//! others the same call. In a fleet the calls that only confirm therefore do not grow with it.
//!
//! Ages are handed on as ages, so clocks are never compared. A word that was held up on its way
//! is believed to be younger than it is, by that time; whoever believes it asks that much later,
//! counted from when it came.

use crate::store_replica::{StoreUpdate, Subject};
use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};

/// What a node tells of one subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessWord {
    /// Revision of the last change that the node has seen.
    #[serde(rename = "c")]
    changed_at: RevisionNumber,
    /// The era of that revision. Builds that know no eras tell none.
    #[serde(rename = "e", default, skip_serializing_if = "StoreEra::is_untold")]
    era: StoreEra,
    /// Milliseconds since the store confirmed that there was none after it; `None`: never.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
}

impl FreshnessWord {
    /// A word that the last change was at a revision, as the store confirmed so long ago.
    pub fn new(changed_at: StoreRevision, age_ms: Option<u64>) -> Self {
        Self { changed_at: changed_at.number(), era: changed_at.era(), age_ms }
    }

    /// Revision of the last change that the node has seen, as a node takes it that has heard of these eras.
    pub fn changed_at(&self, eras: &StoreEras) -> StoreRevision {
        StoreRevision::new(eras.of_word(self.era), self.changed_at)
    }
}

/// Whether a node's copy can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed lately.
    Fresh,
    /// Nobody has confirmed it lately.
    Unconfirmed,
    /// Another node has seen a later change for longer than a watch takes to tell.
    Behind,
}

/// Time that a node's own watch has to tell what another node has already seen, microseconds.
const TELLING_US: u64 = 300_000;
/// Time for which a node that has read everything waits for another one's word on which change
/// was the last, before it tells its own bound: that makes nodes that know better ask.
const SETTLING_US: u64 = 1_300_000;
/// Time without word from the store after which it counts as having been away, microseconds. While
/// all is well its word comes within 1.8 s on the users' deployments, and the first entries lapse
/// after three heartbeats of more than a second.
const AWAY_US: u64 = 2_200_000;
/// Time after its return within which entries that lapsed are back, microseconds: the platform
/// promises about two seconds. A little less, as a runner that is gone for good may get no request
/// two seconds after its entry was seen to be gone.
const RETURNING_US: u64 = 1_800_000;
/// Time after the last word of a later change within which it is believed that there is one, microseconds:
/// nodes repeat their words each second or some seconds, and one whose store has been replaced tells of
/// revisions that this node's store never had.
const TOLD_HOLDS_US: u64 = 5_000_000;
/// Later changes that are remembered: a storm of three a second for as long as words are believed.
const MOST_TOLD: usize = 16;
/// Added to an age for each time it is handed on, milliseconds.
const HOP_MS: u64 = 20;
const MICROS_PER_MILLI: u64 = 1_000;

/// A change that is not known here and that other nodes have told of.
#[derive(Clone, Copy, Debug)]
struct ToldChange {
    revision: StoreRevision,
    first_us: u64,
    last_us: u64,
}

/// Freshness of a node's copy of one subject.
#[derive(Clone, Debug, Default)]
pub struct CopyFreshness {
    /// The subject is one entry, which is never removed: the revision of the entry tells the last change. Otherwise
    /// what was removed before everything was read does not show.
    is_one_entry: bool,
    known_to: StoreRevision,
    /// No change after this revision is known. After everything has been read that is the
    /// read's own revision, as what was removed before it does not show.
    changed_at: StoreRevision,
    /// When everything was read, until it is known better which change was the last.
    read_at_us: Option<u64>,
    confirmed_at_us: Option<u64>,
    /// When the store was heard of again after it had been away.
    returned_at_us: Option<u64>,
    /// A later change that another node has seen, and when it was first told.
    seen_elsewhere: Option<(StoreRevision, u64)>,
    /// Later changes that others have told of, the earliest first.
    told: Vec<ToldChange>,
}

impl CopyFreshness {
    /// Of a subject that is one entry.
    pub fn of_one_entry() -> Self {
        Self { is_one_entry: true, ..Self::default() }
    }

    /// The store has answered: everything up to a revision is known.
    pub fn on_store_answer(&mut self, known_to: StoreRevision, now_us: u64) {
        self.known_to = known_to;
        // The store itself knows of no later change: what was told before is of another store.
        self.told.clear();
        self.confirm(now_us, now_us);
        self.seen_elsewhere = self.seen_elsewhere.filter(|(revision, _)| *revision > known_to);
    }

    /// Everything has been read from the store.
    pub fn on_read(&mut self, update: &StoreUpdate, now_us: u64) {
        self.on_whole(update, now_us);
        self.on_store_answer(update.known_to(), now_us);
    }

    /// All entries are known, as they stood at a revision.
    fn on_whole(&mut self, update: &StoreUpdate, now_us: u64) {
        let latest = update.entries.iter().map(|entry| update.revision_of(entry)).max();
        match latest.filter(|_| self.is_one_entry) {
            Some(revision) => {
                self.changed_at = revision;
                self.read_at_us = None;
            }
            None => {
                self.changed_at = update.known_to();
                self.read_at_us = Some(now_us);
            }
        }
    }

    /// Another node has handed on its copy, which the store confirmed so long ago.
    pub fn on_handed_on(&mut self, update: &StoreUpdate, age_ms: Option<u64>, now_us: u64) {
        if update.whole {
            self.on_whole(update, now_us);
        }
        // A word that left a change out would confirm copies that have not seen it.
        update.entries.iter().for_each(|entry| self.on_change(update.revision_of(entry)));
        self.known_to = self.known_to.max(update.known_to());
        let known_to = self.known_to;
        self.told.retain(|told| told.revision > known_to);
        self.seen_elsewhere = self.seen_elsewhere.filter(|(revision, _)| *revision > known_to);
        let Some(age_ms) = age_ms else { return };
        let confirmed_at_us = now_us.saturating_sub((age_ms + HOP_MS) * MICROS_PER_MILLI);
        self.confirm(confirmed_at_us, now_us);
    }

    /// The store confirmed the copy at a time that has been learnt now.
    fn confirm(&mut self, at_us: u64, now_us: u64) {
        if self.confirmed_at_us.is_some_and(|before_us| at_us > before_us + AWAY_US) {
            self.returned_at_us = Some(now_us);
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
    }

    /// The store has come back from an older copy: entries that it lacks may be written again.
    pub fn on_later_era(&mut self, now_us: u64) {
        self.returned_at_us = Some(now_us);
    }

    /// Until when an entry that is gone may only have lapsed while the store was away; `None`: the
    /// store has been there, and whoever is gone from it is gone.
    pub fn lapses_until_us(&self, now_us: u64) -> Option<u64> {
        if self.confirmed_at_us.is_some_and(|at_us| now_us > at_us + AWAY_US) {
            return Some(now_us + RETURNING_US);
        }
        let until_us = self.returned_at_us.map(|at_us| at_us + RETURNING_US);
        until_us.filter(|until_us| now_us < *until_us)
    }

    /// Milliseconds since the store confirmed the copy; `None`: it never has.
    pub fn confirmed_age_ms(&self, now_us: u64) -> Option<u64> {
        let age_us = self.confirmed_at_us.map(|at_us| now_us.saturating_sub(at_us));
        age_us.map(|it| it / MICROS_PER_MILLI)
    }

    /// A change has been told by a watch.
    pub fn on_change(&mut self, revision: StoreRevision) {
        if revision > self.changed_at {
            self.changed_at = revision;
            self.read_at_us = None;
        }
    }

    /// Another node's word. One that has seen no change that is unknown here confirms the copy, unless it is of an
    /// era that is over: then it does not know what was written since.
    pub fn on_word(&mut self, word: FreshnessWord, eras: &StoreEras, now_us: u64) {
        let changed_at = word.changed_at(eras);
        if changed_at > self.known_to {
            self.on_told(changed_at, now_us);
            let first_us = self.seen_elsewhere.map_or(now_us, |(_, told_at_us)| told_at_us);
            let highest = self.seen_elsewhere.map_or(changed_at, |(revision, _)| revision);
            self.seen_elsewhere = Some((highest.max(changed_at), first_us));
            return;
        }
        if changed_at.era() < self.known_to.era() {
            return;
        }
        let Some(age_ms) = word.age_ms else { return };
        let confirmed_at_us = now_us.saturating_sub((age_ms + HOP_MS) * MICROS_PER_MILLI);
        self.confirm(confirmed_at_us, now_us);
        // Confirmed after everything was read here: nothing has changed in between.
        if self.read_at_us.is_some_and(|read_at_us| read_at_us < confirmed_at_us) {
            self.changed_at = changed_at;
            self.read_at_us = None;
        }
    }

    fn on_told(&mut self, revision: StoreRevision, now_us: u64) {
        self.told.retain(|told| now_us < told.last_us + TOLD_HOLDS_US);
        // Whoever has seen a change has seen those before it.
        let earlier = self.told.iter_mut().filter(|told| told.revision <= revision);
        earlier.for_each(|told| told.last_us = now_us);
        let is_known = self.told.iter().any(|told| told.revision == revision);
        if !is_known && self.told.len() < MOST_TOLD {
            self.told.push(ToldChange { revision, first_us: now_us, last_us: now_us });
        }
    }

    /// For how long others have told of a change that is not known here, microseconds; `None`: nobody
    /// does, or the store itself has said since that there is none.
    pub fn behind_for_us(&self, now_us: u64) -> Option<u64> {
        let believed = self.told.iter().filter(|told| now_us < told.last_us + TOLD_HOLDS_US);
        let first_us = believed.map(|told| told.first_us).min()?;
        Some(now_us.saturating_sub(first_us))
    }

    /// What to tell the other nodes.
    pub fn word(&self, now_us: u64) -> FreshnessWord {
        if self.read_at_us.is_some_and(|read_at_us| now_us < read_at_us + SETTLING_US) {
            return FreshnessWord::default();
        }
        FreshnessWord::new(self.changed_at, self.confirmed_age_ms(now_us))
    }

    /// Whether another node has seen a later change for longer than a watch takes to tell.
    pub fn is_behind(&self, now_us: u64) -> bool {
        let told_long_ago = |(_, first_us): (StoreRevision, u64)| now_us >= first_us + TELLING_US;
        self.seen_elsewhere.is_some_and(told_long_ago)
    }

    /// Whether the copy can be relied on, if a confirmation holds for so long.
    pub fn verdict(&self, now_us: u64, confirmation_us: u64) -> Freshness {
        if self.is_behind(now_us) {
            return Freshness::Behind;
        }
        match self.confirmed_at_us {
            Some(at_us) if now_us < at_us + confirmation_us => Freshness::Fresh,
            _ => Freshness::Unconfirmed,
        }
    }

    /// The store was asked because another node was ahead; it is given time again.
    pub fn on_asked(&mut self, now_us: u64) {
        if let Some((revision, _)) = self.seen_elsewhere {
            self.seen_elsewhere = Some((revision, now_us));
        }
    }
}

/// Freshness of a node's copies.
#[derive(Clone, Debug)]
pub struct StoreFreshness {
    /// The operators' configuration.
    pub configuration: CopyFreshness,
    /// The runners' entries.
    pub runners: CopyFreshness,
    /// Requests under which runners have ended.
    pub crashes: CopyFreshness,
}

impl Default for StoreFreshness {
    fn default() -> Self {
        Self {
            configuration: CopyFreshness::of_one_entry(),
            runners: CopyFreshness::default(),
            crashes: CopyFreshness::default(),
        }
    }
}

/// What a node tells of its copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWord {
    /// The operators' configuration.
    #[serde(rename = "f")]
    pub configuration: FreshnessWord,
    /// The runners' entries.
    #[serde(rename = "r")]
    pub runners: FreshnessWord,
    /// Requests under which runners have ended.
    #[serde(rename = "q", default)]
    pub crashes: FreshnessWord,
}

impl StoreFreshness {
    /// The copy of a subject.
    pub fn copy_of(&self, subject: Subject) -> &CopyFreshness {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// The copy of a subject, to be changed.
    pub fn copy_of_mut(&mut self, subject: Subject) -> &mut CopyFreshness {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }

    /// What to tell the other nodes.
    pub fn word(&self, now_us: u64) -> StoreWord {
        StoreWord {
            configuration: self.configuration.word(now_us),
            runners: self.runners.word(now_us),
            crashes: self.crashes.word(now_us),
        }
    }

    /// Another node's word.
    pub fn on_word(&mut self, word: &StoreWord, eras: &StoreEras, now_us: u64) {
        self.configuration.on_word(word.configuration, eras, now_us);
        self.runners.on_word(word.runners, eras, now_us);
        self.crashes.on_word(word.crashes, eras, now_us);
    }

    /// The store has come back from an older copy.
    pub fn on_later_era(&mut self, now_us: u64) {
        Subject::ALL.into_iter().for_each(|it| self.copy_of_mut(it).on_later_era(now_us));
    }
}
