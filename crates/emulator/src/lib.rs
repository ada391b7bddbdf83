//! Stand-ins for what is not pitchstall's: engines and platform; and the tools that use
//! them: the simulation in virtual time, fault injection, load and experiments.
//!
//! [`models`] holds the stand-ins as state machines without I/O. [`servers`] serves them
//! over HTTP as real processes; [`simulation`] runs them, with nodes and callers, in virtual
//! time under faults.

pub mod experiments;
pub mod load;
pub mod models;
pub mod servers;
pub mod simulation;
