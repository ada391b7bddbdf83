//! Counts quota requests and their outcomes by tenant. A limited number of tenants have their own
//! label; the others share one.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::collections::HashSet;

/// Maximum number of tenants with their own label, which bounds the size of a scrape of each node.
const MAX_NAMED_TENANTS: usize = 64;
/// Label shared by all other tenants.
const OTHER_TENANTS: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
}

/// Counters of quota requests, grants, refusals and refunds, by tenant.
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
    /// Queries that a keeper did not reply to in time.
    pub reply_timeouts: Counter,
    /// Queries that this node, as a keeper, forwarded because it had too few units.
    pub forwarded: Counter,
}

impl QuotaMetrics {
    /// Registers all metrics of this struct.
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

    /// Counts a run that is to be charged.
    pub fn on_requested(&self, tenant: &str) {
        self.requested.get_or_create(&self.labels(tenant)).inc();
    }

    /// Counts a charged run and its units.
    pub fn on_granted(&self, tenant: &str, units: u64) {
        self.granted.get_or_create(&self.labels(tenant)).inc();
        self.units.get_or_create(&self.labels(tenant)).inc_by(units);
    }

    /// Counts a run that was refused at its tenant's limit.
    pub fn on_refused(&self, tenant: &str) {
        self.refused.get_or_create(&self.labels(tenant)).inc();
    }

    /// Counts a charged run that was refunded, and its units.
    pub fn on_refunded(&self, tenant: &str, units: u64) {
        self.refunded.get_or_create(&self.labels(tenant)).inc();
        self.units_refunded.get_or_create(&self.labels(tenant)).inc_by(units);
    }

    /// Counts a run for which no keeper could be reached.
    pub fn on_unreachable(&self, tenant: &str) {
        self.unreachable.get_or_create(&self.labels(tenant)).inc();
    }

    /// Sets the units that a tenant has left at the keeper held by this node.
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
