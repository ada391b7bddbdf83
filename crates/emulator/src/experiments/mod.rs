//! Experiments in virtual time: faults against the promises, and the cost of control
//! against the size of the fleet.

pub mod faults;
pub mod scale;
