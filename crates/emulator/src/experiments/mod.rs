//! Experiments in virtual time: faults against the promises.

pub mod faults;
