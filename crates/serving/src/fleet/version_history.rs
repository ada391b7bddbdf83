//! Which software versions the runners of each service have run recently.
//!
//! A stream may only go on at the version that began it, so a node has to know whether all streams that are still of
//! interest to a client began at the same one.

use crate::ids::{ServiceName, SoftwareVersion};
use crate::runner::RunnerRecord;
use std::collections::BTreeMap;

/// Time for which a version counts after its last runner has left, in microseconds. It exceeds the longest deadline of
/// a client, within which it resumes a stream.
pub const MAX_STREAM_AGE_US: u64 = 60_000_000;

/// The runners of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// Number of runners, at least one.
    Present(usize),
    /// All have left. `None`: since the history was last looked at.
    Gone { since_us: Option<u64> },
}

/// The software versions of each service, those of the recent past included.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Presence>>,
}

impl VersionHistory {
    pub(super) fn on_joined(&mut self, record: &RunnerRecord) {
        let versions = self.services.entry(record.service.clone()).or_default();
        let presence = versions.entry(record.version.clone()).or_insert(Presence::Present(0));
        *presence = match *presence {
            Presence::Present(runners) => Presence::Present(runners + 1),
            Presence::Gone { .. } => Presence::Present(1),
        };
    }

    pub(super) fn on_left(&mut self, record: &RunnerRecord) {
        let Some(versions) = self.services.get_mut(&record.service) else { return };
        let Some(presence) = versions.get_mut(&record.version) else { return };
        *presence = match *presence {
            Presence::Present(runners) if runners > 1 => Presence::Present(runners - 1),
            _ => Presence::Gone { since_us: None },
        };
    }

    /// Whether runners of several versions have served a service within [`MAX_STREAM_AGE_US`].
    pub fn has_several(&mut self, service: &ServiceName, now_us: u64) -> bool {
        let Some(versions) = self.services.get_mut(service) else { return false };
        versions.retain(|_, presence| {
            let Presence::Gone { since_us } = presence else { return true };
            now_us < *since_us.get_or_insert(now_us) + MAX_STREAM_AGE_US
        });
        versions.len() > 1
    }

    /// Number of runners of each version that has any.
    pub fn runners_by_version(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion, usize)> {
        let versions_of =
            |(service, versions)| BTreeMap::iter(versions).map(move |it| (service, it));
        self.services.iter().flat_map(versions_of).filter_map(|(service, (version, presence))| {
            match presence {
                Presence::Present(runners) => Some((service, version, *runners)),
                Presence::Gone { .. } => None,
            }
        })
    }
}
