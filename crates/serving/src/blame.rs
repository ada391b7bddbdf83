//! Determines which requests and prompt parts are to blame for the crashes that are known.
//!
//! At each crash dozens of requests are in progress, each with several parts in its prompt, and most of them share their
//! first parts. All of them are suspects. The suspect with the most crashes is blamed first, and the crashes under it count as
//! explained. Another suspect is blamed only if enough of its own crashes are not explained by then. A part that crashes
//! runners therefore explains the crashes of the parts and requests that were in progress beside it, including those before
//! it was blamed.

use crate::ids::RunnerId;
use crate::request_identity::RequestIdentity;
use std::collections::{BTreeMap, BTreeSet};

/// Number of crashes after which a suspect is blamed. The requirement allows three crashes, and three more repetitions
/// after the third one is known.
pub const CRASHES_TO_BLAME: usize = 3;
/// The same for a part that a runner has completed a response on before the first of its crashes. Such parts are shared by
/// many requests, so that several crashes in a row may meet them by chance.
pub const CRASHES_TO_BLAME_PROVEN_PART: usize = 5;
/// Minimum time between the first and the last of the crashes for which a proven part is blamed, in milliseconds. Many
/// runners may crash at once for another reason; a part that is in use has a response within this time.
const MIN_PROVEN_PART_SPAN_MS: u64 = 2_000;

/// What is known of a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectFacts {
    /// Position of the part in its prompts; `None` for a whole request, or if it is not known.
    pub depth: Option<u8>,
    /// Whether a runner has completed a response on the part before its first crash.
    pub was_proven: bool,
}

/// The times of a suspect's crashes, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashSpan {
    /// The first crash.
    pub first_ms: u64,
    /// The last crash.
    pub last_ms: u64,
}

impl SuspectFacts {
    /// Number of crashes after which the suspect is blamed.
    pub fn crashes_to_blame(self) -> usize {
        match self.was_proven {
            true => CRASHES_TO_BLAME_PROVEN_PART,
            false => CRASHES_TO_BLAME,
        }
    }

    /// Whether the suspect begins prompts. It is in nearly all requests of a route, so several later parts that crash
    /// runners look like it.
    fn is_first_part(self) -> bool {
        self.depth == Some(0)
    }

    /// Among suspects with the same crashes, a whole request ranks before parts and a later part before an earlier one:
    /// it is in fewer other requests.
    fn specificity(self) -> u16 {
        self.depth.map_or(u16::MAX, u16::from)
    }
}

/// A suspect with the runners that have crashed under it.
#[derive(Clone, Debug)]
pub struct SuspectCrashes<'a> {
    /// The request or the part.
    pub identity: RequestIdentity,
    /// What is known of it.
    pub facts: SuspectFacts,
    /// The runners that have crashed under it.
    pub runners: BTreeSet<&'a RunnerId>,
    /// When they crashed.
    pub span: CrashSpan,
}

impl SuspectCrashes<'_> {
    fn may_be_blamed(&self) -> bool {
        let CrashSpan { first_ms, last_ms } = self.span;
        let is_long = last_ms.saturating_sub(first_ms) >= MIN_PROVEN_PART_SPAN_MS;
        self.runners.len() >= self.facts.crashes_to_blame() && (is_long || !self.facts.was_proven)
    }

    fn shares_crash_with(&self, other: &SuspectCrashes<'_>) -> bool {
        self.identity != other.identity && !self.runners.is_disjoint(&other.runners)
    }
}

/// The suspects that are to blame, and the crashes that they explain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blame {
    /// `true` if the suspect may be harmless: another one explains the same crashes as well, or it is a part that was
    /// proven before or that begins prompts.
    blamed: BTreeMap<RequestIdentity, bool>,
    explained: BTreeSet<RunnerId>,
}

impl Blame {
    /// Blames the suspect with the most crashes first, then the one with the most crashes that are not explained yet.
    /// Proven parts come last: one that several crashing parts share has more crashes than each of them. Suspects that cannot be told apart are blamed together.
    pub fn of<'a>(suspects: impl Iterator<Item = SuspectCrashes<'a>>) -> Self {
        let mut blame = Self::default();
        let mut open: Vec<SuspectCrashes<'a>> =
            suspects.filter(|it| it.runners.len() >= CRASHES_TO_BLAME).collect();
        loop {
            open.retain_mut(|suspect| {
                suspect.runners.retain(|runner| !blame.explained.contains(*runner));
                suspect.may_be_blamed()
            });
            let rank = |it: &SuspectCrashes<'a>| {
                (!it.facts.was_proven, it.runners.len(), it.facts.specificity())
            };
            let Some(best) = open.iter().map(rank).max() else { return blame };
            let (equals, others): (Vec<_>, Vec<_>) =
                open.into_iter().partition(|it| rank(it) == best);
            for suspect in &equals {
                let is_uncertain = suspect.facts.was_proven
                    || suspect.facts.is_first_part()
                    || equals.iter().any(|other| other.shares_crash_with(suspect));
                blame.blamed.insert(suspect.identity, is_uncertain);
            }
            for suspect in equals {
                blame.explained.extend(suspect.runners.into_iter().cloned());
            }
            open = others;
        }
    }

    /// Whether no suspect is blamed.
    pub fn is_empty(&self) -> bool {
        self.blamed.is_empty()
    }

    /// Whether a suspect is blamed.
    pub fn is_blamed(&self, identity: RequestIdentity) -> bool {
        self.blamed.contains_key(&identity)
    }

    /// Whether a suspect is blamed that may be harmless.
    pub fn is_uncertain(&self, identity: RequestIdentity) -> bool {
        self.blamed.get(&identity) == Some(&true)
    }

    /// Whether a crash is explained by a suspect that is blamed.
    pub fn explains(&self, runner: &RunnerId) -> bool {
        self.explained.contains(runner)
    }

    /// The suspects that are blamed.
    pub fn blamed(&self) -> impl Iterator<Item = RequestIdentity> + '_ {
        self.blamed.keys().copied()
    }
}
