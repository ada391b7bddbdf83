//! The operators' configuration at a node: which is in force, and how far it can be relied on.

use super::Node;
use pitchstall_serving::configuration::{Configuration, EngineSpec};
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::tenancy::{KeyPolicy, ReplicaAge};
use std::rc::Rc;
use std::time::Duration;

impl Node {
    /// The configuration in force here.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// How far this node's copy of the configuration can be relied on.
    pub fn configuration_age(&self) -> ReplicaAge {
        let now_us = self.now_us();
        let freshness = self.freshness.borrow();
        ReplicaAge {
            confirmed_ago_ms: freshness.configuration.confirmed_age_ms(now_us),
            is_behind: freshness.configuration.is_behind(now_us),
        }
    }

    /// For how long other nodes have told of a configuration that this one has not got.
    pub fn configuration_behind(&self) -> Duration {
        let behind_us = self.freshness.borrow().configuration.behind_for_us(self.now_us());
        Duration::from_micros(behind_us.unwrap_or_default())
    }

    /// Whether a later configuration has been in force elsewhere for so long that this node may not go by
    /// its own any more: it is to be in force everywhere within `config_apply_ms` of its acknowledgement,
    /// and words of it take up to a second and more to come.
    pub fn is_outdated(&self) -> bool {
        const THIRDS: u64 = 3;
        const ALLOWED_THIRDS: u64 = 2;
        let allowed_ms = self.settings().bounds.config_apply_ms / THIRDS * ALLOWED_THIRDS;
        self.configuration_behind() > Duration::from_millis(allowed_ms)
    }

    /// For how long keys are believed without word from the store.
    pub fn key_policy(&self) -> KeyPolicy {
        let settings = self.settings();
        let bounds = &settings.bounds;
        KeyPolicy {
            config_apply_ms: bounds.config_apply_ms,
            revoke_ms: bounds.revoke_ms.filter(|_| bounds.revoke_strict),
        }
    }

    /// Takes a configuration into force, unless one as new is already.
    pub fn adopt_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let before = self.configuration().map(|known| known.version);
        // Never backwards: a stale read or a late answer must not bring an old version back.
        if before.is_some_and(|before| before >= version) {
            return;
        }
        let routes = configuration.routes.len();
        let tenants = configuration.tenants.len();
        self.splitter.borrow_mut().retain(&configuration);
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        let before = before.unwrap_or_default();
        let behind_ms = self.configuration_behind().as_millis();
        log::info!(target: "configuration", version, before, routes, tenants, behind_ms; "adopted");
    }

    /// Services of language models, with what their runners are.
    pub fn engine_services(&self) -> Vec<(ServiceName, EngineSpec)> {
        let Some(configuration) = self.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        services.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?))).collect()
    }

    /// Prompt tokens that the KV cache of a service's runner holds.
    pub fn cache_tokens(&self, service: &ServiceName) -> u64 {
        self.with_engine(service, |engine| engine.kv_tokens).unwrap_or_default()
    }

    /// Time that a move of KV cache between regions takes, milliseconds a token; `None`: not told.
    pub fn cross_region_ms_per_token(&self, service: &ServiceName) -> Option<f64> {
        self.with_engine(service, EngineSpec::cross_region_ms_per_token).flatten()
    }

    fn with_engine<R>(
        &self,
        service: &ServiceName,
        use_engine: impl FnOnce(&EngineSpec) -> R,
    ) -> Option<R> {
        let configuration = self.configuration.borrow();
        let services = configuration.as_ref().map(|configuration| &configuration.services);
        services.and_then(|services| services.get(service)?.engine.as_ref()).map(use_engine)
    }
}
