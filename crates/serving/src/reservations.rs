//! What a scheduler has set aside at its runners for requests of other nodes.
//!
//! A reservation is made with the answer to a question and ends with the word that the request
//! is over. Words may be lost, come twice or late, and nodes die: each reservation ends by
//! itself a little after the request's deadline, and a word on one that is not known changes
//! nothing.

use crate::fleet::Fleet;
use crate::ids::{RunnerId, ServiceName};
use crate::prefix::PromptPart;
use crate::runner::AttemptDemand;
use crate::scheduling::Ticket;
use std::collections::HashMap;

/// Time after a request's deadline for which its reservation is kept, microseconds: what is left
/// of it at a runner ends with the deadline, and the word of that is on its way.
const EXPIRY_GRACE_US: u64 = 250_000;

/// What is set aside for one request at one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerReservation {
    /// The runner.
    pub runner: RunnerId,
    /// What the request asks of it.
    pub demand: AttemptDemand,
}

/// What is set aside for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The service.
    pub service: ServiceName,
    /// Who reads the prompt.
    pub prefill: RunnerReservation,
    /// Who writes the answer, if that is another one.
    pub decode: Option<RunnerReservation>,
    /// The shared parts of the prompt.
    pub shared_prefixes: Vec<PromptPart>,
    /// Whether the reader was believed to have nothing else to read.
    pub was_unqueued: bool,
    /// When the request's time is up, microseconds.
    pub deadline_us: u64,
    /// Whether the prompt has been read.
    pub is_prefilled: bool,
}

/// All reservations of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    open: HashMap<Ticket, Reservation>,
}

impl Reservations {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether a request's needs are set aside.
    pub fn is_open(&self, ticket: Ticket) -> bool {
        self.open.contains_key(&ticket)
    }

    /// Sets a request's needs aside. One that is made twice replaces the first.
    pub fn reserve(&mut self, fleet: &mut Fleet, ticket: Ticket, reservation: Reservation) {
        self.end(fleet, ticket);
        for reserved in
            [Some(&reservation.prefill), reservation.decode.as_ref()].into_iter().flatten()
        {
            fleet.on_reserved(&reserved.runner, reserved.demand);
        }
        if let Some(decode) = &reservation.decode {
            fleet.on_awaiting_prompt(&decode.runner);
        }
        self.open.insert(ticket, reservation);
    }

    /// The prompt has been read: what it took at the reader alone is free again. Returns the
    /// reservation as it was, unless it is not known or the prompt had been read before.
    pub fn on_prefilled(&mut self, fleet: &mut Fleet, ticket: Ticket) -> Option<Reservation> {
        let reservation =
            self.open.get_mut(&ticket).filter(|reservation| !reservation.is_prefilled)?;
        let before = reservation.clone();
        reservation.is_prefilled = true;
        let prefill = &mut reservation.prefill;
        match reservation.decode.take() {
            // Only the writer is left.
            Some(decode) => {
                fleet.on_awaited_prompt(&decode.runner);
                fleet.on_reservation_ended(&prefill.runner, prefill.demand);
                *prefill = decode;
            }
            None => {
                fleet.on_reserved_prompt_read(&prefill.runner, prefill.demand);
                prefill.demand.prefill_tokens = 0;
                prefill.demand.overdue_tokens = 0;
            }
        }
        Some(before)
    }

    /// The request is over.
    pub fn end(&mut self, fleet: &mut Fleet, ticket: Ticket) {
        let Some(reservation) = self.open.remove(&ticket) else { return };
        if let Some(decode) = &reservation.decode {
            fleet.on_awaited_prompt(&decode.runner);
        }
        for reserved in [Some(reservation.prefill), reservation.decode].into_iter().flatten() {
            fleet.on_reservation_ended(&reserved.runner, reserved.demand);
        }
    }

    /// Ends reservations whose request is over though no word of it has come.
    pub fn expire(&mut self, fleet: &mut Fleet, now_us: u64) -> usize {
        let is_expired =
            |reservation: &Reservation| now_us > reservation.deadline_us + EXPIRY_GRACE_US;
        let expired = self.open.iter().filter(|(_, reservation)| is_expired(reservation));
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        expired.iter().for_each(|ticket| self.end(fleet, *ticket));
        expired.len()
    }
}
