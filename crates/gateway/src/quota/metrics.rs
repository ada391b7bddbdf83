//! Metrics by tenant. So many tenants have their own name there; the others are counted together.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::collections::HashSet;

/// Tenants with their own name in the metrics: what is scraped from each node stays small.
const MAX_NAMED_TENANTS: usize = 64;
/// What the others are called together.
const OTHER_TENANTS: &str = "other";

/// Labels of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
}

/// What was asked for, granted and refused, by tenant.
#[derive(Debug, Default)]
pub struct QuotaMetrics {
    named: RefCell<HashSet<String>>,
    requested: Family<TenantLabels, Counter>,
    granted: Family<TenantLabels, Counter>,
    refused: Family<TenantLabels, Counter>,
    refunded: Family<TenantLabels, Counter>,
    units: Family<TenantLabels, Counter>,
    units_refunded: Family<TenantLabels, Counter>,
    unreachable: Family<TenantLabels, Counter>,
    level: Family<TenantLabels, Gauge>,
    /// Questions that a keeper did not answer soon.
    pub reply_timeouts: Counter,
    /// Questions that this node handed on as a keeper that was short.
    pub forwarded: Counter,
}

impl QuotaMetrics {
    /// Registers all of them.
    pub fn register(&self, registry: &mut Registry) {
        let families = [
            ("quota_asked", "Runs that were to be paid for", &self.requested),
            ("quota_granted", "Runs that were paid for", &self.granted),
            ("quota_refused", "Runs refused at a tenant's limit", &self.refused),
            ("quota_returned", "Runs paid for and given back", &self.refunded),
            ("quota_units", "Units of runs that were paid for", &self.units),
            ("quota_units_returned", "Units that were given back", &self.units_refunded),
            ("quota_unanswered", "Runs for which no keeper could be asked", &self.unreachable),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        let help =
            "Units left for a tenant at the keeper that this node holds, at the last question";
        registry.register("quota_level", help, self.level.clone());
        let help = "Questions that a keeper did not answer soon";
        registry.register("quota_missed", help, self.reply_timeouts.clone());
        let help = "Questions handed on by a keeper that was short";
        registry.register("quota_handed_on", help, self.forwarded.clone());
    }

    /// A run is to be paid for.
    pub fn on_requested(&self, tenant: &str) {
        self.requested.get_or_create(&self.labels(tenant)).inc();
    }

    /// A run was paid for.
    pub fn on_granted(&self, tenant: &str, units: u64) {
        self.granted.get_or_create(&self.labels(tenant)).inc();
        self.units.get_or_create(&self.labels(tenant)).inc_by(units);
    }

    /// A run was refused.
    pub fn on_refused(&self, tenant: &str) {
        self.refused.get_or_create(&self.labels(tenant)).inc();
    }

    /// A run that was paid for did not begin.
    pub fn on_refunded(&self, tenant: &str, units: u64) {
        self.refunded.get_or_create(&self.labels(tenant)).inc();
        self.units_refunded.get_or_create(&self.labels(tenant)).inc_by(units);
    }

    /// No keeper could be asked.
    pub fn on_unreachable(&self, tenant: &str) {
        self.unreachable.get_or_create(&self.labels(tenant)).inc();
    }

    /// What a keeper that this node holds has left.
    pub fn on_level(&self, tenant: &str, level: i64) {
        self.level.get_or_create(&self.labels(tenant)).set(level);
    }

    fn labels(&self, tenant: &str) -> TenantLabels {
        let mut named = self.named.borrow_mut();
        let is_named = named.contains(tenant)
            || (named.len() < MAX_NAMED_TENANTS && named.insert(tenant.to_owned()));
        TenantLabels { tenant: if is_named { tenant } else { OTHER_TENANTS }.to_owned() }
    }
}
