//! The tenants of a soak: one without a limit, and on some seeds others with limits.

use pitchstall_platform_standins::documents::{LimitDocument, TenantDocument};

/// Length of the windows over which limits apply, seconds. Nodes get it in their settings, and the
/// check uses it.
pub const WINDOW_S: f64 = 2.0;
/// Share by which the runs in a window may exceed the limit. Nodes get it in their settings, and
/// the check uses it.
pub const OVERAGE: f64 = 0.25;

/// Sum of prompt and output tokens that each request states.
const REQUEST_TOKENS: u64 = 900 + 20;

/// The limit of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakLimit {
    /// Units per second.
    pub rate_per_s: u64,
    /// Units that may run at once in addition to the rate.
    pub burst: u64,
    /// Whether a unit is a token; otherwise it is a request.
    pub counts_tokens: bool,
}

impl SoakLimit {
    /// Units that one run costs.
    pub fn units_per_run(&self) -> u64 {
        if self.counts_tokens {
            REQUEST_TOKENS
        } else {
            1
        }
    }

    /// Maximum number of units that may run in any window, with the overage.
    pub fn max_units_per_window(&self) -> f64 {
        (self.rate_per_s as f64 * WINDOW_S + self.burst as f64) * (1.0 + OVERAGE)
    }

    fn document(self) -> LimitDocument {
        LimitDocument {
            rate_per_s: self.rate_per_s,
            burst: self.burst,
            unit: if self.counts_tokens { "tokens" } else { "requests" },
            plain_tokens: REQUEST_TOKENS,
        }
    }
}

/// A tenant and the load that its clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakTenant {
    /// Name of the tenant, also the prefix of its request ids.
    pub name: &'static str,
    /// Its only API key.
    pub key: &'static str,
    /// Its limit; `None` if it is unlimited.
    pub limit: Option<SoakLimit>,
    /// Time between two requests of the tenant's own clients, which address all nodes in turn,
    /// milliseconds.
    pub request_interval_ms: u64,
}

/// The tenant without a limit, which sends the load that every seed has.
pub const UNLIMITED: SoakTenant = SoakTenant {
    name: "taxis",
    key: "soak-m82thhkmgjqnirth5mgj",
    limit: None,
    request_interval_ms: 15,
};

const fn limit(rate_per_s: u64, burst: u64, counts_tokens: bool) -> Option<SoakLimit> {
    Some(SoakLimit { rate_per_s, burst, counts_tokens })
}

/// Tenants with limits: two that request about three times their limit, and one that stays below
/// it.
pub const LIMITED: [SoakTenant; 3] = [
    SoakTenant {
        name: "couriers",
        key: "soak-q6v1nmrsd4p8zwkhy3tx",
        limit: limit(20, 10, false),
        request_interval_ms: 16,
    },
    SoakTenant {
        name: "planners",
        key: "soak-t9b5gxc2fj7lqa0eunvr",
        limit: limit(9_200, 9_200, true),
        request_interval_ms: 33,
    },
    SoakTenant {
        name: "cranes",
        key: "soak-w3yk8dhz1m6ocs5pibfj",
        limit: limit(60, 60, false),
        request_interval_ms: 100,
    },
];

/// Name of the tenant that stays below its limit.
pub const BELOW_LIMIT: &str = "cranes";

/// The tenants of a seed.
pub fn tenants(with_limits: bool) -> Vec<SoakTenant> {
    let limited = LIMITED.iter().filter(|_| with_limits);
    [UNLIMITED].iter().chain(limited).copied().collect()
}

/// The tenant whose name is the prefix of a request id; [`UNLIMITED`] if there is none.
pub fn tenant_of(request: &str) -> SoakTenant {
    let has_prefix = |tenant: &&SoakTenant| {
        request.strip_prefix(tenant.name).is_some_and(|rest| rest.starts_with('-'))
    };
    LIMITED.iter().find(has_prefix).copied().unwrap_or(UNLIMITED)
}

/// The tenant's entry in the configuration.
pub fn document(tenant: &SoakTenant) -> TenantDocument<'static> {
    let limit = tenant.limit.map(SoakLimit::document);
    TenantDocument { name: tenant.name, key: tenant.key, limit }
}
