//! Decisions without I/O: which requests are let in, in which order, which engine serves
//! them, and which role each engine should have.
//!
//! The modules follow a request: [`limits`], [`policy`], [`queue`], [`routing`],
//! [`retry_budget`]; [`planner`] works beside them.

pub mod limits;
pub mod load;
pub mod planner;
pub mod policy;
pub mod queue;
pub mod retry_budget;
pub mod routing;
