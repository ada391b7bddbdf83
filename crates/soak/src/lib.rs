//! A randomized soak of the real programs.
//!
//! Nodes run as processes of their own; store, runners and callers are stand-ins in the soak's
//! process, behind proxies that delay, reset, cut and silence connections. What callers and
//! runners see goes into one history, which is checked promise by promise.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`history`] | what was seen, in the order of one clock |
//! | [`checks`] | one check for each promise |
//! | [`plan`] | the faults of a seed |
//! | [`proxy`] | a link that can be faulty or long |
//! | [`client`] | sends a request and sees every byte of its answer |
//! | [`fleet`] | the stand-ins: store, runners, configuration |
//! | [`tenants`] | for whom requests run, and what may be run for them |
//! | [`regions`] | the way between two regions |
//! | `runner_script` | what a runner does with a request, and what it says of itself |
//! | [`tenant_limit_checks`], [`region_checks`], `self_report_checks` | the checks on limits, on regions that are cut off, and on what runners say of themselves |
//!
//! The processes themselves are started by the example `soak`, and end with it.

pub mod checks;
pub mod client;
pub mod fleet;
pub mod history;
pub mod plan;
pub mod region_checks;
pub mod regions;
mod reported_limit_checks;
mod reported_limits;
mod runner_script;
mod self_report_checks;
pub mod tenant_limit_checks;
pub mod tenants;

pub use pitchstall_platform_standins::proxy;
