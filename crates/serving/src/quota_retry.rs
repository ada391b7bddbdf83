//! When those that were refused are to come back, and whose turn is kept for it.
//!
//! Each refusal puts off the turns after it by what it costs, so those that come back come one
//! after the other. One of them, a large or urgent one, has its turn booked: others leave what it
//! needs by then. Nobody is known by name when it comes back: the booking is for any run that is
//! as large and as urgent.

use crate::scheduling::Ticket;

/// Time for which a booked turn is kept after it is due, microseconds: callers are told to come
/// back in whole seconds.
const RESERVATION_GRACE_US: u64 = 1_200_000;
/// Share of a booked run that small ones may take meanwhile, as a divisor.
const SMALL_REQUEST_SHARE_DIVISOR: i64 = 2;
/// Longest wait that is told, microseconds: about the time within which callers want an answer.
const MAX_WAIT_US: u64 = 4_000_000;

/// The turns at one bucket. Amounts are in millionths of a unit.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// When all turns that were told will have passed.
    end_us: u64,
    reservation: Option<Reservation>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    cost: i64,
    priority: u8,
    required_level: i64,
    due_us: u64,
    charged_by_small: i64,
}

impl RetrySchedule {
    /// The wait of a run for which there is room after `time_us`, after the turns before it;
    /// `turn_us` is the time that it puts off the next ones by.
    pub fn schedule(&mut self, ticket: Ticket, refill_us: u64, delay_us: u64, now_us: u64) -> u64 {
        let wait_us = refill_us.saturating_add(self.end_us.saturating_sub(now_us));
        if wait_us >= MAX_WAIT_US {
            return Self::spread_wait(ticket);
        }
        self.end_us = self.end_us.max(now_us).saturating_add(delay_us);
        wait_us
    }

    /// Some time up to the longest wait: what is refused in numbers comes back spread.
    pub fn spread_wait(ticket: Ticket) -> u64 {
        const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let hash = (ticket.number ^ ticket.incarnation).wrapping_mul(HASH_MULTIPLIER) >> 32;
        MAX_WAIT_US / 2 + hash % (MAX_WAIT_US / 2)
    }

    /// Books the turn of a run that needs a level of `need` at `due_us`, unless one is booked
    /// that is as urgent.
    pub fn reserve(&mut self, cost: i64, priority: u8, required_level: i64, due_us: u64) {
        if self.reservation.is_none_or(|reservation| priority < reservation.priority) {
            self.reservation =
                Some(Reservation { cost, priority, required_level, due_us, charged_by_small: 0 });
        }
    }

    /// The level that another run has to leave, and by when; `None`: it need leave none.
    pub fn reserved_level(
        &self,
        cost: i64,
        priority: u8,
        is_small: bool,
        now_us: u64,
    ) -> Option<(i64, u64)> {
        let reservation = self.reservation.as_ref()?;
        let max_by_small = reservation.cost / SMALL_REQUEST_SHARE_DIVISOR;
        let may_bypass = is_small && reservation.charged_by_small + cost <= max_by_small;
        if priority < reservation.priority || cost >= reservation.cost || may_bypass {
            return None;
        }
        Some((reservation.required_level, reservation.due_us.max(now_us)))
    }

    /// A run is let in: it may be the booked one, or one that may go before it.
    pub fn on_grant(&mut self, cost: i64, priority: u8, is_small: bool) {
        let Some(reservation) = &mut self.reservation else { return };
        if cost >= reservation.cost && priority <= reservation.priority {
            self.reservation = None;
        } else if is_small {
            reservation.charged_by_small += cost;
        }
    }

    /// Forgets a booking whose run has not come back.
    pub fn expire(&mut self, now_us: u64) {
        if self
            .reservation
            .is_some_and(|reservation| now_us > reservation.due_us + RESERVATION_GRACE_US)
        {
            self.reservation = None;
        }
    }

    /// The limit has changed: what was booked by the old one counts no more.
    pub fn cancel(&mut self) {
        self.reservation = None;
    }
}
