//! Stand-ins for what is not pitchstall's: engines and platform; and the tools that use
//! them: the simulation in virtual time, fault injection, load and experiments.
//!
//! [`models`] holds the stand-ins as state machines without I/O. [`servers`] serves them
//! over HTTP as real processes.

pub mod load;
pub mod models;
pub mod servers;
