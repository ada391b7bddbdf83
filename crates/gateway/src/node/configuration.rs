//! Holds the operators' configuration at a node: the version in force, and whether it is recent
//! enough to be relied on.

use super::Node;
use pitchstall_serving::configuration::{Configuration, EngineSpec};
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::tenancy::{KeyPolicy, ReplicaAge};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

impl Node {
    /// The configuration in force at this node; `None` until the first one has been received.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// How up to date this node's replica of the configuration is.
    pub fn configuration_age(&self) -> ReplicaAge {
        let now_us = self.now_us();
        let freshness = self.freshness.borrow();
        ReplicaAge {
            confirmed_ago_ms: freshness.configuration.confirmed_age_ms(now_us),
            is_behind: freshness.configuration.is_behind(now_us),
        }
    }

    /// How long other nodes have reported a configuration that this node has not received; zero if
    /// there is no such report.
    pub fn configuration_lag(&self) -> Duration {
        let behind_us = self.freshness.borrow().configuration.behind_for_us(self.now_us());
        Duration::from_micros(behind_us.unwrap_or_default())
    }

    /// Whether other nodes have had a later configuration for so long that this node must no longer
    /// apply its own. A configuration has to be in force everywhere within `bounds.config_apply_ms`
    /// of its acknowledgement. Reports of it take a second or more to arrive, so the limit is two
    /// thirds of that time.
    pub fn has_outdated_configuration(&self) -> bool {
        const TOTAL_PARTS: u64 = 3;
        const ALLOWED_PARTS: u64 = 2;
        let max_lag_ms = self.settings().bounds.config_apply_ms / TOTAL_PARTS * ALLOWED_PARTS;
        self.configuration_lag() > Duration::from_millis(max_lag_ms)
    }

    /// How long API keys are accepted without a confirmation by the store.
    pub fn key_policy(&self) -> KeyPolicy {
        let settings = self.settings();
        let bounds = &settings.bounds;
        KeyPolicy {
            config_apply_ms: bounds.config_apply_ms,
            revoke_ms: bounds.revoke_ms.filter(|_| bounds.revoke_strict),
        }
    }

    /// Puts a configuration into force, unless the same or a later version already is.
    pub fn adopt_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let before = self.configuration().map(|known| known.version);
        // The version never decreases: a stale read or a delayed response must not restore an old
        // one.
        if before.is_some_and(|before| before >= version) {
            return;
        }
        let routes = configuration.routes.len();
        let tenants = configuration.tenants.len();
        self.splitter.borrow_mut().retain(&configuration);
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        self.versions_changed.notify_one();
        let before = before.unwrap_or_default();
        let behind_ms = self.configuration_lag().as_millis();
        log::info!(target: "configuration", version, before, routes, tenants, behind_ms; "adopted");
    }

    /// The services whose streams may be continued by another runner; empty without a configuration.
    pub fn services_with_resumable_streams(&self) -> BTreeSet<ServiceName> {
        let Some(configuration) = self.configuration() else { return BTreeSet::new() };
        let routes = configuration.routes.iter().filter(|route| route.resumable);
        routes.flat_map(|route| &route.shares).map(|share| share.service.clone()).collect()
    }

    /// The services that serve language models, each with its engine specification; empty without a
    /// configuration.
    pub fn engine_services(&self) -> Vec<(ServiceName, EngineSpec)> {
        let Some(configuration) = self.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        services.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?))).collect()
    }

    /// Capacity of the KV cache of one runner of a service, in prompt tokens; 0 if the service is
    /// unknown or serves no language model.
    pub fn kv_cache_tokens(&self, service: &ServiceName) -> u64 {
        self.with_engine(service, |engine| engine.kv_tokens).unwrap_or_default()
    }

    /// Time to transfer the KV cache of one token between regions, in milliseconds; `None` if the
    /// service is unknown or the configuration does not determine the time.
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
