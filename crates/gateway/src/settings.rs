//! The settings file of a node: TOML, checked as a whole before anything starts.

use pitchstall_policy::PolicyError;
use pitchstall_serving::capacity_planner::CapacityPolicy;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    pub node: NodeSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// Where the platform's store is.
    pub store: StoreSection,
    /// What the users bound.
    pub bounds: BoundsSection,
    /// The platform's interface for duties of the whole system; none: there are none.
    pub cloud: Option<CloudSection>,
    /// Bounds on how many runners are ordered.
    #[serde(default)]
    pub capacity: CapacitySection,
    /// What the machine has.
    #[serde(default)]
    pub machine: MachineSection,
    /// How far tenants' limits may be exceeded.
    #[serde(default)]
    pub quota: QuotaSection,
    /// The operators' policy program.
    #[serde(default)]
    pub policy: PolicySection,
    /// Logs.
    #[serde(default)]
    pub log: LogSection,
}

/// Who the node is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The regions of the zones, this one's among them; a zone that is not named is a region of its own.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Addresses of some other machines, `IP:port`, for a start while the store is away. They may be
    /// stale. Only the IP counts: nodes listen for each other at the same port everywhere.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Where the node listens, `IP:port`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    /// For callers.
    pub callers: SocketAddr,
    /// For questions whether it takes callers, and for metrics.
    pub health: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// Where the platform's store is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// `IP:port`.
    pub address: SocketAddr,
}

/// What the users bound.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsSection {
    /// Time without faults after which a node counts as in touch, milliseconds.
    pub contact_ms: u64,
    /// Time from a planned stop to the forced one, seconds.
    pub grace_s: f64,
    /// Time that must lie between orders of two nodes to a runner, milliseconds.
    pub lease_ms: u64,
    /// Extra attempts for each request, over all nodes.
    pub retry_ratio: f64,
    /// Extra attempts besides, over all nodes.
    pub retry_slack: f64,
    /// Time within which a configuration is in force at all nodes, milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Whether a node that has lost touch with the store stops serving keys after `revoke_ms`.
    #[serde(default)]
    pub revoke_strict: bool,
    /// Time after which a key that was taken away is not served any more, milliseconds.
    pub revoke_ms: Option<u64>,
}

/// The users' deployments allow 2 s and more.
fn default_config_apply_ms() -> u64 {
    2_000
}

/// The platform's interface for duties that one node does for all.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSection {
    /// `IP:port`.
    pub address: SocketAddr,
    /// What there is to do.
    pub duties: Vec<Duty>,
    /// When usage is reported; none: it is not.
    pub usage: Option<UsageSection>,
}

impl CloudSection {
    /// Whether there is such a duty.
    pub fn has(&self, duty: Duty) -> bool {
        self.duties.contains(&duty)
    }
}

/// Something that one node does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Duty {
    /// To report how many requests of each tenant began to run.
    #[serde(rename = "usage_report")]
    Usage,
    /// To order how many runners there are.
    #[serde(rename = "autoscale")]
    Scaling,
    /// Something that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Windows that are shorter could not be told apart by clocks of different machines.
const MIN_WINDOW_S: f64 = 0.1;

/// When usage is reported.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageSection {
    /// Length of the windows for which requests are counted, seconds.
    pub window_s: f64,
    /// Time after the end of a window within which its report is due, seconds.
    pub due_s: f64,
}

/// Bounds on how many runners are ordered, where they can be.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacitySection {
    /// Whether runners that may be taken away are ordered.
    pub preemptible: bool,
    /// Share of the runners found at first that stand on ones that stay.
    pub least_reserved: f64,
    /// Runners beyond those found at first, as a share of them.
    pub headroom: f64,
}

impl Default for CapacitySection {
    fn default() -> Self {
        let policy = CapacityPolicy::default();
        Self {
            preemptible: policy.uses_preemptible,
            least_reserved: policy.min_reserved_share,
            headroom: policy.headroom,
        }
    }
}

/// How far the sum over all nodes may lie above a tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSection {
    /// Length of the windows in which that is judged, seconds.
    pub window_s: f64,
    /// Share of what the limit allows in a window.
    pub overage: f64,
    /// Units, requests or tokens, besides.
    pub slack: u64,
}

impl Default for QuotaSection {
    /// The strictest that the users' deployments ask for a window, and nothing above the limit.
    fn default() -> Self {
        Self { window_s: 8.0, overage: 0.0, slack: 0 }
    }
}

/// What the machine has.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSection {
    /// Memory for this process, megabytes.
    pub memory_mb: u64,
    /// File descriptors for this process.
    pub file_descriptors: u64,
    /// Share of a processor for this process, in cores.
    #[serde(default = "default_processor_share")]
    pub processor_share: f64,
}

impl Default for MachineSection {
    fn default() -> Self {
        Self { memory_mb: 256, file_descriptors: 1_024, processor_share: default_processor_share() }
    }
}

fn default_processor_share() -> f64 {
    1.0
}

/// The operators' policy program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySection {
    /// File with the program; none: requests may go to every zone.
    pub program: Option<PathBuf>,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSection {
    /// Levels, as `info` or `info,pitchstall_gateway=debug`.
    pub levels: String,
}

impl Default for LogSection {
    fn default() -> Self {
        Self { levels: "info".to_owned() }
    }
}

/// Settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is not what is expected.
    #[error("{path}: {cause}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line, column and what is expected.
        cause: Box<toml::de::Error>,
    },
    /// The policy program does not compile.
    #[error("{path}: {cause}")]
    Policy {
        /// The program's file.
        path: PathBuf,
        /// Why.
        cause: PolicyError,
    },
    /// A value is out of its range.
    #[error("{path}: {field}: expected {expected}")]
    Value {
        /// The file.
        path: PathBuf,
        /// Section and field.
        field: &'static str,
        /// What is expected.
        expected: &'static str,
    },
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        Self::parse(path, &text)
    }

    /// Checks the text of a file.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|cause| SettingsError::Invalid {
            path: path.to_owned(),
            cause: Box::new(cause),
        })?;
        match settings.first_invalid_value() {
            Some((field, expected)) => {
                Err(SettingsError::Value { path: path.to_owned(), field, expected })
            }
            None => Ok(settings),
        }
    }

    fn first_invalid_value(&self) -> Option<(&'static str, &'static str)> {
        let bounds = &self.bounds;
        let usage = self.cloud.as_ref().and_then(|cloud| cloud.usage);
        let checks = [
            (!self.node.name.is_empty(), "node.name", "a name"),
            (!self.node.zone.is_empty(), "node.zone", "the name of a zone"),
            (bounds.contact_ms > 0, "bounds.contact_ms", "more than 0"),
            (bounds.lease_ms > 0, "bounds.lease_ms", "more than 0"),
            (bounds.grace_s > 0.0, "bounds.grace_s", "more than 0"),
            (bounds.config_apply_ms > 0, "bounds.config_apply_ms", "more than 0"),
            (
                !bounds.revoke_strict || bounds.revoke_ms.is_some(),
                "bounds.revoke_ms",
                "a time, as revoke_strict is set",
            ),
            (
                usage.is_none_or(|it| it.window_s >= MIN_WINDOW_S),
                "cloud.usage.window_s",
                "0.1 or more",
            ),
            (usage.is_none_or(|it| it.due_s > 0.0), "cloud.usage.due_s", "more than 0"),
            ((0.0..=10.0).contains(&bounds.retry_ratio), "bounds.retry_ratio", "0 to 10"),
            (bounds.retry_slack >= 0.0, "bounds.retry_slack", "0 or more"),
            (
                (0.0..=1.0).contains(&self.capacity.least_reserved),
                "capacity.least_reserved",
                "0 to 1",
            ),
            ((-0.9..=10.0).contains(&self.capacity.headroom), "capacity.headroom", "-0.9 to 10"),
            (
                self.node
                    .regions
                    .iter()
                    .all(|(zone, region)| !zone.is_empty() && !region.is_empty()),
                "node.regions",
                "the name of a region for each zone",
            ),
            (
                (MIN_WINDOW_S..=3_600.0).contains(&self.quota.window_s),
                "quota.window_s",
                "0.1 to 3600",
            ),
            ((0.0..=10.0).contains(&self.quota.overage), "quota.overage", "0 to 10"),
            (self.machine.memory_mb > 0, "machine.memory_mb", "more than 0"),
            (self.machine.file_descriptors > 0, "machine.file_descriptors", "more than 0"),
            (self.machine.processor_share > 0.0, "machine.processor_share", "more than 0"),
            (!self.log.levels.is_empty(), "log.levels", "a level"),
        ];
        let invalid = checks.into_iter().find(|(holds, _, _)| !holds);
        invalid.map(|(_, field, expected)| (field, expected))
    }
}
