//! Grants that may still be given back.
//!
//! A run that was granted and has not begun is given back as if it had never been granted. Had it
//! not been, the bucket would have been fuller since, and might have been full: what would have
//! run over then is not given back. So a grant remembers the least room that the bucket has had
//! since; what is given back for another one takes its part of that room. Each grant is given
//! back once; one that is not remembered is not given back.

use crate::scheduling::Ticket;
use std::collections::VecDeque;

/// Time within which a grant can be given back, microseconds: a prompt that waits to be read may
/// take as long as callers wait, and the grant that has lapsed meanwhile is given back after it.
const RETURN_LIFE_US: u64 = 8_000_000;
/// Grants that are remembered: later ones push out the earliest. A tenant of 50 runs a second at a
/// keeper has 400 in that time.
const MOST_GRANTS: usize = 1_024;

/// A grant, in millionths of a unit.
#[derive(Clone, Copy, Debug)]
struct RememberedGrant {
    ticket: Ticket,
    paid: i64,
    at_us: u64,
    least_room: i64,
}

impl RememberedGrant {
    /// What may be given back of it.
    fn returnable(&self) -> i64 {
        self.paid.min(self.least_room).max(0)
    }
}

/// A grant that was given back, in millionths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenBack {
    /// What had been paid.
    pub paid: i64,
    /// What of it the bucket gets back.
    pub returned: i64,
}

/// The grants of one bucket, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct RememberedGrants {
    grants: VecDeque<RememberedGrant>,
}

impl RememberedGrants {
    /// A run was granted, which left so much room below a full bucket.
    pub fn add(&mut self, ticket: Ticket, paid: i64, room: i64, now_us: u64) {
        if self.grants.len() == MOST_GRANTS {
            self.grants.pop_front();
        }
        self.grants.push_back(RememberedGrant { ticket, paid, at_us: now_us, least_room: room });
    }

    /// What was paid for a run.
    pub fn paid(&self, ticket: Ticket) -> Option<i64> {
        let grant = self.grants.iter().find(|grant| grant.ticket == ticket)?;
        Some(grant.paid)
    }

    /// A run is given back.
    pub fn give_back(&mut self, ticket: Ticket) -> Option<GivenBack> {
        let place = self.grants.iter().position(|grant| grant.ticket == ticket)?;
        let grant = self.grants.remove(place)?;
        let returned = grant.returnable();
        // Without it the bucket would have been full at some time: what others leave then is lost.
        let is_whole = returned == grant.paid;
        for other in &mut self.grants {
            other.least_room = if is_whole { other.least_room - returned } else { 0 };
        }
        Some(GivenBack { paid: grant.paid, returned })
    }

    /// The bucket has so much room now. An earlier grant has seen all that a later one has, so its
    /// least room is never more.
    pub fn note_room(&mut self, room: i64) {
        for grant in self.grants.iter_mut().rev().take_while(|grant| grant.least_room > room) {
            grant.least_room = room;
        }
    }

    /// Forgets what is too old to be given back.
    pub fn forget(&mut self, now_us: u64) {
        let is_old = |grant: &RememberedGrant| now_us >= grant.at_us + RETURN_LIFE_US;
        while self.grants.front().is_some_and(is_old) {
            self.grants.pop_front();
        }
        if self.grants.is_empty() && self.grants.capacity() > 0 {
            self.grants = VecDeque::new();
        }
    }
}
