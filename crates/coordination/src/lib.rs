//! Coordination parts without I/O.
//!
//! Each part is a deterministic state machine: it is given the time and what happened, and
//! returns what to do. None holds a clock, a socket or a random source, so the daemon and
//! the simulation run the same code, and another program can embed it over a transport of
//! its own (see `examples/embed.rs`).
//!
//! | part | failure it is there for |
//! | --- | --- |
//! | [`lease`] | a holder that was paused and wakes after its lease has lapsed |
//! | [`fence`] | an order that arrives after its giver lost the authority |
//! | [`authority`] | a crash or a lost answer in the middle of a role change |
//! | [`commit`] | a store's answer that was lost after the write took effect |
//! | [`configuration`] | a node that is cut off with an old configuration |
//! | [`detector`] | a node that stops without a word |
//! | [`members`] | a membership list that lags |
//! | [`claims`] | a booking that is submitted twice |
//! | [`stream`] | answers that arrive late, doubled, crossed or cut |

pub mod authority;
pub mod claims;
pub mod commit;
pub mod configuration;
pub mod detector;
pub mod fence;
pub mod lease;
pub mod members;
pub mod placement;
pub mod stream;
pub mod time;

pub use time::Timestamp;
