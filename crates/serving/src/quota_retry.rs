//! When refused runs should retry, and for which of them a level is reserved.
//!
//! Each refusal delays the retries after it by the time in which the refused cost is refilled, so
//! that retries arrive one after the other. For one of them, a large or urgent one, a reservation
//! is kept: other runs must leave the level that it needs when it is due. A retry is not
//! identified; the reservation serves any run that is at least as large and as urgent.

use crate::scheduling::Ticket;

/// Time for which a reservation is kept after it is due, in microseconds. Clients are told to retry
/// after whole seconds.
const RESERVATION_GRACE_US: u64 = 1_200_000;
/// Small runs may use up to `cost / SMALL_REQUEST_SHARE_DIVISOR` of a reserved run's cost before
/// it.
const SMALL_REQUEST_SHARE_DIVISOR: i64 = 2;
/// Upper bound of the wait that is returned, in microseconds: about the time within which clients
/// expect a response.
const MAX_WAIT_US: u64 = 4_000_000;

/// The retries scheduled at one bucket. Amounts are in millionths of a unit.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// Time at which all scheduled retries are served, in microseconds.
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
    /// Returns the wait of a run whose cost is refilled after `refill_us`, behind the retries that
    /// are scheduled already. The next retries are delayed by `delay_us`.
    pub fn schedule(&mut self, ticket: Ticket, refill_us: u64, delay_us: u64, now_us: u64) -> u64 {
        let wait_us = refill_us.saturating_add(self.end_us.saturating_sub(now_us));
        if wait_us >= MAX_WAIT_US {
            return Self::spread_wait(ticket);
        }
        self.end_us = self.end_us.max(now_us).saturating_add(delay_us);
        wait_us
    }

    /// A wait between half of `MAX_WAIT_US` and all of it, derived from the ticket, so that many
    /// runs refused together do not retry at the same time.
    pub fn spread_wait(ticket: Ticket) -> u64 {
        const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let hash = (ticket.number ^ ticket.incarnation).wrapping_mul(HASH_MULTIPLIER) >> 32;
        MAX_WAIT_US / 2 + hash % (MAX_WAIT_US / 2)
    }

    /// Reserves a level of `required_level` at `due_us`, unless a run that is at least as urgent
    /// has a reservation.
    pub fn reserve(&mut self, cost: i64, priority: u8, required_level: i64, due_us: u64) {
        if self.reservation.is_none_or(|reservation| priority < reservation.priority) {
            self.reservation =
                Some(Reservation { cost, priority, required_level, due_us, charged_by_small: 0 });
        }
    }

    /// The level that another run must leave and the time at which it must be reached; `None` if no
    /// reservation applies to that run.
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

    /// Accounts for a granted run: it consumes the reservation, or uses up the share of small runs.
    pub fn on_grant(&mut self, cost: i64, priority: u8, is_small: bool) {
        let Some(reservation) = &mut self.reservation else { return };
        if cost >= reservation.cost && priority <= reservation.priority {
            self.reservation = None;
        } else if is_small {
            reservation.charged_by_small += cost;
        }
    }

    /// Drops a reservation whose run has not come back in time.
    pub fn expire(&mut self, now_us: u64) {
        if self
            .reservation
            .is_some_and(|reservation| now_us > reservation.due_us + RESERVATION_GRACE_US)
        {
            self.reservation = None;
        }
    }

    /// Drops the reservation, since it was made under a limit that is no longer in force.
    pub fn cancel(&mut self) {
        self.reservation = None;
    }
}
