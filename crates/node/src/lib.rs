//! The node daemon: the state machine of `pitchstall-runtime` assembled over ntex.
//!
//! One thread serves callers, operators and other nodes and runs the state machine, so that
//! no lock stands between a token and its caller. The modules follow a request: [`callers`],
//! [`driver`], [`peers`]; [`operators`], [`metrics`] and [`settings`] are for those who run it.

pub mod callers;
pub mod daemon;
pub mod driver;
pub mod duration;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod settings;

pub use daemon::serve;
pub use settings::DaemonSettings;
