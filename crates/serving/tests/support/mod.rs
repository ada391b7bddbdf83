//! Helpers that several tests share.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{RunnerId, ServiceName, SoftwareVersion, ZoneId};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_revision::StoreRevision;
use std::net::{Ipv4Addr, SocketAddr};

/// The entry of a runner of the service `llm` in the zone `north`, with eight slots and no stage,
/// at revision 1.
pub fn runner_record(id: RunnerId) -> RunnerRecord {
    RunnerRecord {
        id,
        service: ServiceName::new("llm"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        zone: ZoneId::new("north"),
        version: SoftwareVersion::new("v1"),
        slots: 8,
        draining: false,
        preemptible: false,
        leaves_ms: None,
        stage: None,
        revision: at(1),
    }
}

/// A revision of a store that does not report eras.
pub fn at(number: u64) -> StoreRevision {
    StoreRevision::without_era(number)
}
