//! Authentication of requests: the tenants of a configuration, and which of them the key of a
//! request identifies.
//!
//! Keys are never kept in plain text. Only SHA-256 digests are compared, stored and sent between
//! nodes. Keys are random, so a digest does not reveal its key, and the duration of a look-up does
//! not reveal how much of a key was correct.

use crate::ids::TenantName;
use crate::quota::TenantLimit;
use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

const DIGEST_BYTES: usize = 32;

/// A key as a client sent it or an operator wrote it. Its `Debug` output does not contain the key.
#[derive(Debug)]
pub struct ApiKey(SecretString);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: &str) -> Self {
        Self(SecretString::from(text))
    }

    /// Digest under which the key is stored and compared.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.expose_secret().as_bytes()).into())
    }
}

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest as text, two hexadecimal digits per byte.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses the output of [`KeyDigest::to_hex`]; `None` if the text is not a digest.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, offset) in bytes.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[offset..offset + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The credential that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Absent,
    /// The digest of the request's key.
    Key(KeyDigest),
    /// The request has an invalid key or several keys.
    Malformed,
}

/// An account whose requests are authenticated, prioritized and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name under which its requests are counted and limited.
    pub name: TenantName,
    /// Priority of its requests, 0 first; `None` for the priority of the route.
    pub priority: Option<u8>,
    /// Limit on the requests that it may run; `None` if there is no limit.
    pub limit: Option<TenantLimit>,
}

/// The tenants of a configuration, indexed by key digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants {
    by_key: HashMap<KeyDigest, Rc<Tenant>>,
    count: usize,
    limited_count: usize,
}

impl Tenants {
    /// Adds a tenant with the digests of its keys.
    pub fn add(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = KeyDigest>) {
        let tenant = Rc::new(tenant);
        self.count += 1;
        self.limited_count += usize::from(tenant.limit.is_some());
        for key in keys {
            self.by_key.insert(key, tenant.clone());
        }
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        self.limited_count > 0
    }

    /// Whether the configuration has no tenants. In this case no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The tenant to which a key belongs.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Tenant>> {
        self.by_key.get(key)
    }
}

/// How up to date a node's replica of the configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAge {
    /// Time since the store last confirmed the replica, in milliseconds; `None` if it never has.
    pub confirmed_ago_ms: Option<u64>,
    /// Whether another node is known to have a later version.
    pub is_behind: bool,
}

impl ReplicaAge {
    /// Whether a key that is missing from the replica does not exist: the replica was confirmed
    /// within the time in which a new version takes effect, and no node has reported a later
    /// version.
    pub fn is_current(&self, config_apply_ms: u64) -> bool {
        !self.is_behind && self.is_confirmed_within(config_apply_ms)
    }

    fn is_confirmed_within(&self, limit_ms: u64) -> bool {
        self.confirmed_ago_ms.is_some_and(|age_ms| age_ms <= limit_ms)
    }
}

/// Bounds on how long a node relies on a replica that the store has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time within which a new version takes effect on all nodes, in milliseconds. A replica that
    /// was confirmed within this time is assumed to contain every key.
    pub config_apply_ms: u64,
    /// Time after which a node that cannot check whether a key has been revoked must stop accepting
    /// it, in milliseconds; `None` if it accepts the key without a time limit.
    pub revoke_ms: Option<u64>,
}

/// Whether a request may run, and for which tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The request may run without a tenant.
    Open,
    /// The request may run for this tenant.
    Granted(Rc<Tenant>),
    /// The request has no key, or one that belongs to no tenant.
    Denied,
    /// This node's replica is too old to decide; another node may be able to.
    Unverifiable,
}

/// Decides whether a request may run.
///
/// A node denies an unknown key only if its replica was confirmed recently; otherwise the key may
/// be missing from its replica alone. A known key is accepted unless `revoke_ms` is set and the
/// replica has not been confirmed within that time.
pub fn authorize(
    tenants: &Tenants,
    route_is_public: bool,
    credential: Credential,
    replica: ReplicaAge,
    policy: KeyPolicy,
) -> Access {
    if tenants.is_empty() {
        return Access::Open;
    }
    let key = match credential {
        Credential::Absent if route_is_public => return Access::Open,
        // No later version of the configuration could allow it either.
        Credential::Absent | Credential::Malformed => return Access::Denied,
        Credential::Key(key) => key,
    };
    match tenants.find_by_key(&key) {
        Some(_)
            if policy.revoke_ms.is_some_and(|limit_ms| !replica.is_confirmed_within(limit_ms)) =>
        {
            Access::Unverifiable
        }
        Some(tenant) => Access::Granted(tenant.clone()),
        None if replica.is_current(policy.config_apply_ms) => Access::Denied,
        None => Access::Unverifiable,
    }
}
