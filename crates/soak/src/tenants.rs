//! The tenants of a soak: one without a limit, and on some seeds others with one.

use pitchstall_platform_standins::documents::{LimitDocument, TenantDocument};

/// Length of the windows in which limits are judged, seconds, and the share by which the runs in
/// one may lie above what the limit allows: told to the nodes and used by the check.
pub const WINDOW_S: f64 = 2.0;
/// See [`WINDOW_S`].
pub const OVERAGE: f64 = 0.25;

/// Tokens in and out that each request tells.
const REQUEST_TOKENS: u64 = 900 + 20;

/// What a tenant with a limit may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakLimit {
    /// Units a second.
    pub rate_per_s: u64,
    /// Units above that which may come at once.
    pub burst: u64,
    /// Whether units are tokens; they are requests otherwise.
    pub counts_tokens: bool,
}

impl SoakLimit {
    /// Units of one run.
    pub fn units_per_run(&self) -> u64 {
        if self.counts_tokens {
            REQUEST_TOKENS
        } else {
            1
        }
    }

    /// Units that may run in any window.
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

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakTenant {
    /// Its name.
    pub name: &'static str,
    /// Its only key.
    pub key: &'static str,
    /// Its limit, if it has one.
    pub limit: Option<SoakLimit>,
    /// Milliseconds between two requests of its own callers, who ask at all nodes in turn.
    pub request_interval_ms: u64,
}

/// The tenant without a limit, whose callers send the load that every seed has.
pub const UNLIMITED: SoakTenant = SoakTenant {
    name: "taxis",
    key: "soak-m82thhkmgjqnirth5mgj",
    limit: None,
    request_interval_ms: 15,
};

const fn limit(rate_per_s: u64, burst: u64, counts_tokens: bool) -> Option<SoakLimit> {
    Some(SoakLimit { rate_per_s, burst, counts_tokens })
}

/// Tenants with limits: two that ask for some three times what they may, one that stays below.
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

/// The one that stays below.
pub const BELOW_LIMIT: &str = "cranes";

/// The tenants of a seed.
pub fn tenants(with_limits: bool) -> Vec<SoakTenant> {
    let limited = LIMITED.iter().filter(|_| with_limits);
    [UNLIMITED].iter().chain(limited).copied().collect()
}

/// The tenant whose name an id begins with; the usual one if there is none.
pub fn tenant_of(request: &str) -> SoakTenant {
    let has_prefix = |tenant: &&SoakTenant| {
        request.strip_prefix(tenant.name).is_some_and(|rest| rest.starts_with('-'))
    };
    LIMITED.iter().find(has_prefix).copied().unwrap_or(UNLIMITED)
}

/// A tenant as it stands in the configuration.
pub fn document(tenant: &SoakTenant) -> TenantDocument<'static> {
    let limit = tenant.limit.map(SoakLimit::document);
    TenantDocument { name: tenant.name, key: tenant.key, limit }
}
