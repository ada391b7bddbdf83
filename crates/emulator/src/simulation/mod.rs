//! Nodes, engines, platform and callers in virtual time.
//!
//! The nodes are the daemon's own state machines; the engines and the platform are those of
//! the real stand-ins. One seed gives one run: all randomness comes from one generator, and
//! events at one instant keep the order in which they were made.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod history;
pub mod network;
pub mod topology;
pub mod world;
