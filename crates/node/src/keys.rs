//! Keys of callers and operators. Only their SHA-256 is kept anywhere.

use pitchstall_protocol::configuration::Configuration;
use pitchstall_protocol::ids::TenantId;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt::Write;

/// SHA-256 of a key, in hexadecimal.
pub fn digest_of(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::with_capacity(digest.len() * 2);
    for byte in digest {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The key in an `Authorization: Bearer` header.
pub fn bearer_key(header: Option<&str>) -> Option<&str> {
    let key = header?.strip_prefix("Bearer ")?.trim();
    (!key.is_empty()).then_some(key)
}

/// Tenants by the digest of their key, as of one revision of the configuration.
#[derive(Clone, Debug, Default)]
pub struct TenantKeys {
    revision: u64,
    tenants: HashMap<String, TenantId>,
}

impl TenantKeys {
    /// Brings the table in line with the configuration.
    pub fn refresh(&mut self, revision: u64, configuration: &Configuration) {
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        self.tenants = configuration
            .tenants
            .iter()
            .map(|(tenant, spec)| (spec.key_sha256.to_ascii_lowercase(), tenant.clone()))
            .collect();
    }

    /// The tenant that a key belongs to. The table is searched by digest, so the time it
    /// takes tells nothing of other keys.
    pub fn tenant_of(&self, key: &str) -> Option<&TenantId> {
        self.tenants.get(&digest_of(key))
    }
}
