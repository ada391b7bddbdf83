//! Stand-ins as state machines without I/O.

pub mod engine;
pub mod membership;
pub mod profile;
pub mod store;
pub mod text;
pub mod weights;
