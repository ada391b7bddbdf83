//! Capacity that a scheduler has reserved at its runners for requests of other nodes.
//!
//! The scheduler makes a reservation when it replies to a placement query and ends it when the
//! requesting node reports the end of the request. Such messages may be lost, duplicated or late,
//! and nodes may crash. Each reservation therefore expires a little after the request's deadline,
//! and a message about an unknown reservation has no effect.

use crate::fleet::Fleet;
use crate::ids::{RunnerId, ServiceName};
use crate::prefix::PromptPart;
use crate::runner::AttemptDemand;
use crate::scheduling::Ticket;
use std::collections::HashMap;

/// Time for which a reservation is kept after the request's deadline, in microseconds. The
/// request's work at the runner ends with the deadline, and the message about it is still under
/// way.
const EXPIRY_GRACE_US: u64 = 250_000;

/// Capacity reserved at one runner for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerReservation {
    /// Incarnation of the runner.
    pub runner: RunnerId,
    /// Resources that the request needs at the runner.
    pub demand: AttemptDemand,
}

/// Capacity reserved for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Service of the request.
    pub service: ServiceName,
    /// Reservation at the runner that prefills the prompt.
    pub prefill: RunnerReservation,
    /// Reservation at the decode runner; `None` if the same runner prefills and decodes.
    pub decode: Option<RunnerReservation>,
    /// Parts of the shared prefix of the prompt, in order.
    pub shared_prefix: Vec<PromptPart>,
    /// Whether the prefill runner was estimated to have no other prefill.
    pub was_unqueued: bool,
    /// Deadline of the request, in microseconds.
    pub deadline_us: u64,
    /// Whether the prompt has been prefilled.
    pub is_prefilled: bool,
}

/// All open reservations of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    open: HashMap<Ticket, Reservation>,
}

impl Reservations {
    /// Number of open reservations.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no reservation is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether a reservation is open for a request.
    pub fn is_open(&self, ticket: Ticket) -> bool {
        self.open.contains_key(&ticket)
    }

    /// Reserves capacity for a request. A second reservation for the same request replaces the
    /// first.
    pub fn reserve(&mut self, fleet: &mut Fleet, ticket: Ticket, reservation: Reservation) {
        self.end(fleet, ticket);
        for reserved in
            [Some(&reservation.prefill), reservation.decode.as_ref()].into_iter().flatten()
        {
            fleet.on_reserved(&reserved.runner, reserved.demand);
        }
        if let Some(decode) = &reservation.decode {
            fleet.on_remote_prefill_pending(&decode.runner);
        }
        self.open.insert(ticket, reservation);
    }

    /// Releases the capacity that only the prefill needed. Returns the reservation as it was
    /// before, or `None` if it is unknown or its prompt had been prefilled already.
    pub fn on_prefilled(&mut self, fleet: &mut Fleet, ticket: Ticket) -> Option<Reservation> {
        let reservation =
            self.open.get_mut(&ticket).filter(|reservation| !reservation.is_prefilled)?;
        let before = reservation.clone();
        reservation.is_prefilled = true;
        let prefill = &mut reservation.prefill;
        match reservation.decode.take() {
            // Only the decode reservation remains.
            Some(decode) => {
                fleet.on_remote_prefill_finished(&decode.runner);
                fleet.on_reservation_ended(&prefill.runner, prefill.demand);
                *prefill = decode;
            }
            None => {
                fleet.on_reserved_prefilled(&prefill.runner, prefill.demand);
                prefill.demand.prefill_tokens = 0;
                prefill.demand.overdue_tokens = 0;
            }
        }
        Some(before)
    }

    /// Releases all capacity of a request that has ended.
    pub fn end(&mut self, fleet: &mut Fleet, ticket: Ticket) {
        let Some(reservation) = self.open.remove(&ticket) else { return };
        if let Some(decode) = &reservation.decode {
            fleet.on_remote_prefill_finished(&decode.runner);
        }
        for reserved in [Some(reservation.prefill), reservation.decode].into_iter().flatten() {
            fleet.on_reservation_ended(&reserved.runner, reserved.demand);
        }
    }

    /// Ends reservations whose request is past its deadline though no message about its end has
    /// arrived; returns their number.
    pub fn expire(&mut self, fleet: &mut Fleet, now_us: u64) -> usize {
        let is_expired =
            |reservation: &Reservation| now_us > reservation.deadline_us + EXPIRY_GRACE_US;
        let expired = self.open.iter().filter(|(_, reservation)| is_expired(reservation));
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        expired.iter().for_each(|ticket| self.end(fleet, *ticket));
        expired.len()
    }
}
