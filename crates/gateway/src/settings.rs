//! The settings file of a node: TOML that is validated completely before the node starts.

use pitchstall_policy::PolicyError;
use pitchstall_serving::capacity_planner::CapacityPolicy;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of one node. Unknown names in the file are rejected.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and location of the node, and addresses of other nodes.
    pub node: NodeSection,
    /// Addresses on which the node listens.
    pub listen: ListenSection,
    /// The platform's store.
    pub store: StoreSection,
    /// Time and retry bounds set by the users of the service.
    pub bounds: BoundsSection,
    /// The platform's interface for duties that one node performs on behalf of all; `None`: there are no such duties.
    pub cloud: Option<CloudSection>,
    /// Bounds on the number of runners that are ordered.
    #[serde(default)]
    pub capacity: CapacitySection,
    /// Resources of the machine that this process may use.
    #[serde(default)]
    pub machine: MachineSection,
    /// Tolerance for exceeding tenants' limits.
    #[serde(default)]
    pub quota: QuotaSection,
    /// The operators' policy program.
    #[serde(default)]
    pub policy: PolicySection,
    /// What the node logs.
    #[serde(default)]
    pub log: LogSection,
}

/// Name and location of the node, and addresses of other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Name of the node, which identifies it to other nodes.
    pub name: String,
    /// Zone in which the node runs.
    pub zone: String,
    /// The region of each zone, including this node's zone. A zone without an entry is a region of its own.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Addresses of some other machines (`IP:port`), for a start while the store is unavailable. They may be
    /// stale. Only the IP is used, because all nodes use the same port for peers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Addresses on which the node listens (`IP:port`).
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    /// Address on which clients connect, TCP.
    pub callers: SocketAddr,
    /// Address for readiness checks, metrics and reports, TCP.
    pub health: SocketAddr,
    /// Address for other nodes, UDP and TCP.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// Address of the store (`IP:port`).
    pub address: SocketAddr,
}

/// Time and retry bounds set by the users of the service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsSection {
    /// Time without faults after which a node counts as in contact, in milliseconds.
    pub contact_ms: u64,
    /// Grace period from a planned stop to the forced stop, in seconds.
    pub grace_s: f64,
    /// Minimum time between orders of two different nodes to the same runner, in milliseconds.
    pub lease_ms: u64,
    /// Number of extra attempts allowed per request, over all nodes; 0 to 10.
    pub retry_ratio: f64,
    /// Number of extra attempts allowed in addition, over all nodes; 0 or more.
    pub retry_slack: f64,
    /// Time within which all nodes apply a new configuration, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Whether a node that has lost contact with the store stops accepting keys after `revoke_ms`.
    #[serde(default)]
    pub revoke_strict: bool,
    /// Time after which a revoked key is no longer accepted, in milliseconds. Required if `revoke_strict` is set.
    pub revoke_ms: Option<u64>,
}

/// The strictest of the users' deployments requires a new configuration to be applied within 2 s.
fn default_config_apply_ms() -> u64 {
    2_000
}

/// The platform's interface for duties that one node performs on behalf of all.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSection {
    /// Address of the interface (`IP:port`).
    pub address: SocketAddr,
    /// The duties that the node performs while it holds the authority for them.
    pub duties: Vec<Duty>,
    /// Windows and due time of usage reports; `None`: usage is not reported.
    pub usage: Option<UsageSection>,
}

impl CloudSection {
    /// Whether the settings list a duty.
    pub fn has(&self, duty: Duty) -> bool {
        self.duties.contains(&duty)
    }
}

/// A duty that one node performs on behalf of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Duty {
    /// Reports how many requests of each tenant have started to run.
    #[serde(rename = "usage_report")]
    Usage,
    /// Adjusts the number of runners through orders to the platform.
    #[serde(rename = "autoscale")]
    Scaling,
    /// A duty that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Upper bound of times, in milliseconds and in seconds: a year. Computations with longer ones could overflow.
const MAX_TIME_MS: u64 = 365 * 86_400 * 1_000;
const MAX_TIME_S: f64 = 365.0 * 86_400.0;
const TIME_MS: &str = "more than 0, a year at most, in milliseconds";
const TIME_S: &str = "more than 0, a year at most, in seconds";
/// Upper bound of numbers of attempts and of cores.
const MAX_COUNT: f64 = 1e6;
/// Upper bound of the machine's memory in megabytes and of its file descriptors.
const MAX_RESOURCE: u64 = 1_000_000_000;
const RESOURCE: &str = "more than 0, a billion at most";

fn is_time_ms(time_ms: u64) -> bool {
    (1..=MAX_TIME_MS).contains(&time_ms)
}

fn is_time_s(time_s: f64) -> bool {
    time_s > 0.0 && time_s <= MAX_TIME_S
}

fn is_resource(amount: u64) -> bool {
    (1..=MAX_RESOURCE).contains(&amount)
}

/// Minimum length of a window, in seconds. Shorter windows could not be distinguished by the clocks of different
/// machines.
const MIN_WINDOW_S: f64 = 0.1;

/// For which windows usage is reported, and how soon.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageSection {
    /// Length of the windows for which requests are counted, in seconds.
    pub window_s: f64,
    /// Time after the end of a window within which its report is due, in seconds.
    pub due_s: f64,
}

/// Bounds on the number of runners that are ordered, on platforms where runners can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacitySection {
    /// Whether preemptible runners are ordered.
    pub preemptible: bool,
    /// Minimum share of reserved (not preemptible) runners, relative to the number of runners found at start; 0 to 1.
    pub least_reserved: f64,
    /// Number of runners beyond those found at start, as a share of them; -0.9 to 10.
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

/// How far the sum over all nodes may exceed a tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSection {
    /// Length of the windows for which the excess is judged, in seconds.
    pub window_s: f64,
    /// Allowed excess as a share of what the limit allows in a window; 0 to 10.
    pub overage: f64,
    /// Allowed excess in addition, in units of the limit (requests or tokens).
    pub slack: u64,
}

impl Default for QuotaSection {
    /// No excess, over the shortest window that the users' deployments require.
    fn default() -> Self {
        Self { window_s: 8.0, overage: 0.0, slack: 0 }
    }
}

/// Resources of the machine that this process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSection {
    /// Memory available to this process, in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors available to this process.
    pub file_descriptors: u64,
    /// Processor share available to this process, in cores.
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
    /// Path of the program; `None`: requests may run in every zone.
    pub program: Option<PathBuf>,
}

/// What the node logs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSection {
    /// Log levels, such as `info` or `info,pitchstall_gateway=debug`.
    pub levels: String,
}

impl Default for LogSection {
    fn default() -> Self {
        Self { levels: "info".to_owned() }
    }
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file or the policy program cannot be read.
    #[error("{path}: {cause}")]
    Unreadable {
        /// Path of the settings file or of the policy program.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML or does not match the expected structure.
    #[error("{path}: {cause}")]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Line, column and the expected value.
        cause: Box<toml::de::Error>,
    },
    /// The policy program does not compile.
    #[error("{path}: {cause}")]
    Policy {
        /// Path of the policy program.
        path: PathBuf,
        /// The error of the compiler.
        cause: PolicyError,
    },
    /// A value is out of its range.
    #[error("{path}: {field}: expected {expected}")]
    Value {
        /// Path of the settings file.
        path: PathBuf,
        /// Section and name of the field.
        field: &'static str,
        /// Description of the accepted values.
        expected: &'static str,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        Self::parse(path, &text)
    }

    /// Parses and validates the text of a settings file. `path` is used in error messages only.
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
            (is_time_ms(bounds.contact_ms), "bounds.contact_ms", TIME_MS),
            (is_time_ms(bounds.lease_ms), "bounds.lease_ms", TIME_MS),
            (is_time_s(bounds.grace_s), "bounds.grace_s", TIME_S),
            (is_time_ms(bounds.config_apply_ms), "bounds.config_apply_ms", TIME_MS),
            (
                bounds.revoke_ms.is_none_or(|it| it <= MAX_TIME_MS),
                "bounds.revoke_ms",
                "a year at most, in milliseconds",
            ),
            (
                !bounds.revoke_strict || bounds.revoke_ms.is_some(),
                "bounds.revoke_ms",
                "a time, because revoke_strict is set",
            ),
            (
                usage.is_none_or(|it| it.window_s >= MIN_WINDOW_S && is_time_s(it.window_s)),
                "cloud.usage.window_s",
                "0.1 to a year, in seconds",
            ),
            (usage.is_none_or(|it| is_time_s(it.due_s)), "cloud.usage.due_s", TIME_S),
            ((0.0..=10.0).contains(&bounds.retry_ratio), "bounds.retry_ratio", "0 to 10"),
            (
                (0.0..=MAX_COUNT).contains(&bounds.retry_slack),
                "bounds.retry_slack",
                "0 to a million",
            ),
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
            (is_resource(self.machine.memory_mb), "machine.memory_mb", RESOURCE),
            (is_resource(self.machine.file_descriptors), "machine.file_descriptors", RESOURCE),
            (
                self.machine.processor_share > 0.0 && self.machine.processor_share <= MAX_COUNT,
                "machine.processor_share",
                "more than 0, a million at most",
            ),
            (!self.log.levels.is_empty(), "log.levels", "a level"),
        ];
        let invalid = checks.into_iter().find(|(is_valid, _, _)| !is_valid);
        invalid.map(|(_, field, expected)| (field, expected))
    }
}
