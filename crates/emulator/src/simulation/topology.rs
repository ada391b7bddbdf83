//! What a simulated deployment consists of.

use crate::models::profile::EngineProfile;
use pitchstall_protocol::configuration::{
    Configuration, ModelSpec, PlannerSpec, ServiceSpec, TenantSpec,
};
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{ModelName, ServiceName, TenantId, ZoneId};
use pitchstall_runtime::NodeSettings;
use std::time::Duration;

/// The model that simulated engines have loaded.
pub const MODEL: &str = "base";

/// A zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Its name.
    pub zone: ZoneId,
    /// Its nodes.
    pub nodes: usize,
    /// The first roles of its engines.
    pub engines: Vec<EngineRole>,
}

/// Changes the default settings of nodes.
pub type Tune = fn(&mut NodeSettings);

/// A deployment.
#[derive(Clone)]
pub struct Topology {
    /// Its zones.
    pub zones: Vec<ZoneSpec>,
    /// How its engines behave.
    pub profile: EngineProfile,
    /// One-way delay inside a zone.
    pub delay_in_zone: Duration,
    /// One-way delay between zones.
    pub delay_between_zones: Duration,
    /// Requests a second that the store takes.
    pub store_rate: u64,
    /// Lag of the membership list.
    pub membership_lag: Duration,
    /// Between two ticks of a node.
    pub tick: Duration,
    /// Changes to the nodes' settings.
    pub tune: Tune,
    /// The first configuration, if there is one at the start.
    pub configuration: Option<Configuration>,
}

impl Topology {
    /// Zones of one size with mixed, prefill and decode engines in turn.
    pub fn uniform(zones: usize, nodes: usize, engines: usize) -> Self {
        const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
        let zones = (0..zones).map(|number| ZoneSpec {
            zone: ZoneId::new(format!("zone-{number:02}")),
            nodes,
            engines: ROLES.iter().copied().cycle().take(engines).collect(),
        });
        Self {
            zones: zones.collect(),
            profile: EngineProfile::default(),
            delay_in_zone: Duration::from_micros(200),
            delay_between_zones: Duration::from_micros(1_200),
            store_rate: 200,
            membership_lag: Duration::from_millis(1_500),
            tick: Duration::from_millis(20),
            tune: |_| {},
            configuration: None,
        }
    }

    /// The names of the zones.
    pub fn zone_names(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|spec| spec.zone.clone()).collect()
    }

    /// A configuration with a repeatable and a non-repeatable service in all zones.
    pub fn default_configuration(&self) -> Configuration {
        let zones: std::collections::BTreeSet<ZoneId> = self.zone_names().into_iter().collect();
        let model = ModelSpec {
            kv_bytes_per_token: self.profile.kv_bytes_per_token,
            speed: self.profile.speed(),
        };
        let service = |repeatable, priority| ServiceSpec {
            model: ModelName::new(MODEL),
            zones: zones.clone(),
            repeatable,
            priority,
            limits: Default::default(),
            policy: None,
        };
        let tenant = TenantSpec {
            key_sha256: "0".repeat(64),
            services: Default::default(),
            tokens_per_second: 10_000_000,
            burst_tokens: 100_000_000,
        };
        Configuration {
            models: [(ModelName::new(MODEL), model)].into(),
            services: [
                (ServiceName::new("status"), service(true, 0)),
                (ServiceName::new("booking"), service(false, 0)),
            ]
            .into(),
            tenants: [(TenantId::new("tenant"), tenant)].into(),
            planner: PlannerSpec { enabled: false, ..PlannerSpec::default() },
        }
    }
}
