//! Who may send requests: the tenants of a configuration, and what a key that came with a request
//! proves.
//!
//! Keys themselves are never kept. What is compared, stored and handed from node to node is a
//! SHA-256 digest of a key; keys are drawn at random, so a digest leads back to no key, and the
//! time that a look-up takes tells nothing of how much of a key was right.

use crate::ids::TenantName;
use crate::quota::TenantLimit;
use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// A key as a client sent it or an operator wrote it. It cannot be printed.
#[derive(Debug)]
pub struct ApiKey(SecretString);

impl ApiKey {
    /// Takes a key over.
    pub fn new(text: &str) -> Self {
        Self(SecretString::from(text))
    }

    /// What is kept of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.expose_secret().as_bytes()).into())
    }
}

/// What is kept of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest as text, two hexadecimal digits a byte.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads [`KeyDigest::to_hex`].
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

/// What a request shows of who sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Absent,
    /// A key.
    Key(KeyDigest),
    /// Something that can be no key, or several keys.
    Malformed,
}

/// Somebody whose requests are served and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name.
    pub name: TenantName,
    /// Rank of its requests, 0 first; `None`: that of the route.
    pub priority: Option<u8>,
    /// What it may have run; `None`: there is no limit.
    pub limit: Option<TenantLimit>,
}

/// The tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants {
    by_key: HashMap<KeyDigest, Rc<Tenant>>,
    count: usize,
    limited_count: usize,
}

impl Tenants {
    /// Adds a tenant with its keys.
    pub fn add(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = KeyDigest>) {
        let tenant = Rc::new(tenant);
        self.count += 1;
        self.limited_count += usize::from(tenant.limit.is_some());
        for key in keys {
            self.by_key.insert(key, tenant.clone());
        }
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        self.limited_count > 0
    }

    /// Whether the configuration knows no tenants: then no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The tenant that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Tenant>> {
        self.by_key.get(key)
    }
}

/// How far a node may rely on its copy of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAge {
    /// Milliseconds since the store confirmed it; `None`: it never has.
    pub confirmed_ago_ms: Option<u64>,
    /// Whether another node is known to have seen a later one.
    pub is_behind: bool,
}

impl ReplicaAge {
    /// Whether what the copy does not hold is not there: it was confirmed within the time in which a
    /// version comes into force, and nobody has seen a later one.
    pub fn is_current(&self, config_apply_ms: u64) -> bool {
        !self.is_behind && self.is_confirmed_within(config_apply_ms)
    }

    fn is_confirmed_within(&self, limit_ms: u64) -> bool {
        self.confirmed_ago_ms.is_some_and(|age_ms| age_ms <= limit_ms)
    }
}

/// Bounds on how long a node goes on by a copy that is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time within which a version is to be in force everywhere, milliseconds: a copy that was
    /// confirmed within it is taken to know every key.
    pub config_apply_ms: u64,
    /// Time after which a key that was taken away may not be served any more by a node that cannot
    /// know, milliseconds; `None`: a node that cannot know serves on.
    pub revoke_ms: Option<u64>,
}

/// Whether a request may run, and for whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may, for nobody in particular.
    Open,
    /// It may, for this tenant.
    Granted(Rc<Tenant>),
    /// It carries no key, or one that nobody holds.
    Denied,
    /// This node's copy is too old to tell: another node may know.
    Unverifiable,
}

/// Decides whether a request may run.
///
/// A key that the copy does not know is denied only by a node that would know it: one whose copy
/// was confirmed lately. A key that the copy knows is served, unless operators want nodes that have
/// lost touch for too long to stop.
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
        // No later version could allow it either.
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
