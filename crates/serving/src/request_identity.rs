//! Identifies repetitions of a request, whatever request ids they carry.
//!
//! A client that retries uses a new request id each time, but the method, host, path, tenant and
//! body stay the same. The body states what is requested; if there is none, the query string does.
//! The identity is a digest of these parts, so it can be logged, sent to other nodes and kept in
//! the store without revealing keys, bodies or other client data. It is a cryptographic digest,
//! truncated to 128 bits, since a harmless request must never be mistaken for another one.

use crate::ids::TenantName;
use crate::prefix::{Prompt, PromptPart};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Bytes of an identity. The chance that two requests of one day share an identity is below 1 in
/// 10^20.
const IDENTITY_BYTES: usize = 16;

/// Distinguishes the digests of prompt parts from those of requests, which begin with the length of the method.
const PROMPT_PART_DOMAIN: &[u8] = b"prompt part";
/// Maximum number of parts of one prompt that are considered, from the first one on.
pub const MAX_SUSPECT_PARTS: u8 = 8;

/// The parts of a request that stay the same when it is repeated.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the client named, in any case.
    pub host: &'a str,
    /// Path and query. The query is only included if there is no body.
    pub target: &'a str,
    /// Tenant for which the request runs; `None` if no tenants are configured. Without tenants,
    /// nothing permanent distinguishes clients: addresses change, and many clients may share one.
    pub tenant: Option<&'a TenantName>,
    /// Request body; empty if there is none.
    pub body: &'a [u8],
}

/// Digest of the parts of a request that stay the same when it is repeated. As text it is 32
/// hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestIdentity([u8; IDENTITY_BYTES]);

/// Error for a text that is not an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an identity is 32 hexadecimal digits")]
pub struct InvalidIdentity;

impl RequestIdentity {
    /// Computes the identity of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let tenant = parts.tenant.map_or("", TenantName::as_str);
        let host = parts.host.to_ascii_lowercase();
        let path = parts.target.split('?').next().unwrap_or_default();
        let resource = if parts.body.is_empty() { parts.target } else { path };
        let fields = [parts.method, &host, resource, tenant];
        let mut hash = Sha256::new();
        for field in fields.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length prefix keeps the end of one field from being taken for the start of the
            // next.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self::truncated(hash)
    }

    /// The identity under which crashes are counted for a part of prompts, whatever request the part is in. `part` is the
    /// id that clients state.
    pub fn of_prompt_part(part: u64) -> Self {
        let mut hash = Sha256::new();
        hash.update(PROMPT_PART_DOMAIN);
        hash.update(part.to_le_bytes());
        Self::truncated(hash)
    }

    fn truncated(hash: Sha256) -> Self {
        let digest = hash.finalize();
        let mut identity = [0; IDENTITY_BYTES];
        identity.copy_from_slice(&digest[..IDENTITY_BYTES]);
        Self(identity)
    }
}

/// What may be the cause of a crash: a whole request, or a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspect {
    /// The identity under which crashes are counted.
    pub identity: RequestIdentity,
    /// Position of the part in the prompt, 0 first; `None` for a whole request.
    pub depth: Option<u8>,
}

impl Suspect {
    /// A whole request.
    pub fn request(identity: RequestIdentity) -> Self {
        Self { identity, depth: None }
    }
}

/// The parts of a prompt that may be the cause of a crash. The last one is the request's own, and is covered by the
/// request's identity. At most [`MAX_SUSPECT_PARTS`] are considered.
pub fn suspect_parts(prompt: &Prompt) -> Vec<Suspect> {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let suspect = |(part, depth): (&PromptPart, u8)| Suspect {
        identity: RequestIdentity::of_prompt_part(part.id),
        depth: Some(depth),
    };
    shared.iter().zip(0..MAX_SUSPECT_PARTS).map(suspect).collect()
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl From<RequestIdentity> for String {
    fn from(identity: RequestIdentity) -> Self {
        identity.to_string()
    }
}

impl std::str::FromStr for RequestIdentity {
    type Err = InvalidIdentity;

    fn from_str(text: &str) -> Result<Self, InvalidIdentity> {
        let digits = text.as_bytes();
        if digits.len() != 2 * IDENTITY_BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(InvalidIdentity);
        }
        let mut identity = [0; IDENTITY_BYTES];
        for (byte, offset) in identity.iter_mut().zip((0..digits.len()).step_by(2)) {
            *byte =
                u8::from_str_radix(&text[offset..offset + 2], 16).map_err(|_| InvalidIdentity)?;
        }
        Ok(Self(identity))
    }
}

impl TryFrom<String> for RequestIdentity {
    type Error = InvalidIdentity;

    fn try_from(text: String) -> Result<Self, InvalidIdentity> {
        text.parse()
    }
}
