//! Which software versions the runners of each service have run recently.
//!
//! A stream may only go on at the version that began it, so a node has to know whether all streams that are still of
//! interest to a client began at the same one.

use crate::ids::{ServiceName, SoftwareVersion};
use crate::runner::RunnerRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a version counts after its last runner has left, in microseconds. It exceeds the longest deadline of
/// a client, within which it resumes a stream.
pub const MAX_STREAM_AGE_US: u64 = 60_000_000;

/// Time for which a version is remembered after its last runner has left, in microseconds.
const RETENTION_US: u64 = 3 * MAX_STREAM_AGE_US;

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

    /// Handles a complete list of runners that was read after a part of the history had been missed. A version may have had
    /// runners until then, so the time since it had any begins again.
    pub(super) fn on_list_replaced(&mut self) {
        for presence in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            if let Presence::Gone { since_us } = presence {
                *since_us = None;
            }
        }
    }

    /// The versions of a service that have runners, or had any within [`MAX_STREAM_AGE_US`].
    pub fn counted(&mut self, service: &ServiceName, now_us: u64) -> BTreeSet<SoftwareVersion> {
        let Some(versions) = self.services.get_mut(service) else { return BTreeSet::new() };
        versions.retain(|_, presence| {
            let Presence::Gone { since_us } = presence else { return true };
            now_us < *since_us.get_or_insert(now_us) + RETENTION_US
        });
        let is_counted = |presence: &Presence| match presence {
            Presence::Gone { since_us: Some(since_us) } => now_us < since_us + MAX_STREAM_AGE_US,
            Presence::Gone { since_us: None } | Presence::Present(_) => true,
        };
        let counted = versions.iter().filter(|(_, presence)| is_counted(presence));
        counted.map(|(version, _)| version.clone()).collect()
    }

    /// Whether a version has a runner.
    pub fn has_runner(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        matches!(self.presence(service, version), Some(Presence::Present(_)))
    }

    /// Since when a version has had no runner, in microseconds; `None` if it has one, or has had none for so long that it is
    /// forgotten.
    pub fn gone_since_us(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_us: u64,
    ) -> Option<u64> {
        self.counted(service, now_us);
        match self.presence(service, version)? {
            Presence::Present(_) => None,
            Presence::Gone { since_us } => *since_us,
        }
    }

    fn presence(&self, service: &ServiceName, version: &SoftwareVersion) -> Option<&Presence> {
        self.services.get(service)?.get(version)
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
