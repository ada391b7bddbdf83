//! Stand-ins served over HTTP, each on one thread.

pub mod engine;
pub mod platform;

use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::SharedCfg;
use pitchstall_coordination::Timestamp;
use std::time::Instant;

/// The monotonic clock of a server.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since its start.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.0.elapsed().as_micros() as u64)
    }
}

/// Connections stay open for longer than the node's client keeps them.
fn http_config(name: &'static str) -> SharedCfg {
    const KEEP_ALIVE: Seconds = Seconds(30);
    SharedCfg::new(name).add(HttpServiceConfig::new().set_keepalive_timeout(KEEP_ALIVE)).into()
}
