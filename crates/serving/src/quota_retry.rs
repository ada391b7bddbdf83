//! When those that were refused are to come back, and whose turn is kept for it.
//!
//! Each refusal puts off the turns after it by what it costs, so those that come back come one
//! after the other. One of them, a large or urgent one, has its turn booked: others leave what it
//! needs by then. Nobody is known by name when it comes back: the booking is for any run that is
//! as large and as urgent.

use crate::scheduling::Ticket;

/// Time for which a booked turn is kept after it is due, microseconds: callers are told to come
/// back in whole seconds.
const TURN_KEPT_US: u64 = 1_200_000;
/// Share of a booked run that small ones may take meanwhile, as a divisor.
const SMALL_SHARE_DIVISOR: i64 = 2;
/// Longest wait that is told, microseconds: about the time within which callers want an answer.
const LONGEST_WAIT_US: u64 = 4_000_000;

/// The turns at one bucket. Amounts are in millionths of a unit.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// When all turns that were told will have passed.
    end_us: u64,
    booking: Option<Booking>,
}

#[derive(Clone, Copy, Debug)]
struct Booking {
    cost: i64,
    rank: u8,
    need: i64,
    due_us: u64,
    taken_by_small: i64,
}

impl Turns {
    /// The wait of a run for which there is room after `time_us`, after the turns before it;
    /// `turn_us` is the time that it puts off the next ones by.
    pub fn wait(&mut self, ticket: Ticket, time_us: u64, turn_us: u64, now_us: u64) -> u64 {
        let wait_us = time_us.saturating_add(self.end_us.saturating_sub(now_us));
        if wait_us >= LONGEST_WAIT_US {
            return Self::longest_wait(ticket);
        }
        self.end_us = self.end_us.max(now_us).saturating_add(turn_us);
        wait_us
    }

    /// Some time up to the longest wait: what is refused in numbers comes back spread.
    pub fn longest_wait(ticket: Ticket) -> u64 {
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        let drawn = (ticket.number ^ ticket.incarnation).wrapping_mul(SPREAD) >> 32;
        LONGEST_WAIT_US / 2 + drawn % (LONGEST_WAIT_US / 2)
    }

    /// Books the turn of a run that needs a level of `need` at `due_us`, unless one is booked
    /// that is as urgent.
    pub fn book(&mut self, cost: i64, rank: u8, need: i64, due_us: u64) {
        if self.booking.is_none_or(|booking| rank < booking.rank) {
            self.booking = Some(Booking { cost, rank, need, due_us, taken_by_small: 0 });
        }
    }

    /// The level that another run has to leave, and by when; `None`: it need leave none.
    pub fn level_to_leave(
        &self,
        cost: i64,
        rank: u8,
        is_small: bool,
        now_us: u64,
    ) -> Option<(i64, u64)> {
        let booking = self.booking.as_ref()?;
        let most_by_small = booking.cost / SMALL_SHARE_DIVISOR;
        let may_slip_in = is_small && booking.taken_by_small + cost <= most_by_small;
        if rank < booking.rank || cost >= booking.cost || may_slip_in {
            return None;
        }
        Some((booking.need, booking.due_us.max(now_us)))
    }

    /// A run is let in: it may be the booked one, or one that may go before it.
    pub fn on_grant(&mut self, cost: i64, rank: u8, is_small: bool) {
        let Some(booking) = &mut self.booking else { return };
        if cost >= booking.cost && rank <= booking.rank {
            self.booking = None;
        } else if is_small {
            booking.taken_by_small += cost;
        }
    }

    /// Forgets a booking whose run has not come back.
    pub fn forget(&mut self, now_us: u64) {
        if self.booking.is_some_and(|booking| now_us > booking.due_us + TURN_KEPT_US) {
            self.booking = None;
        }
    }

    /// The limit has changed: what was booked by the old one counts no more.
    pub fn cancel(&mut self) {
        self.booking = None;
    }
}
