//! What the holder of a keeper hands to its successor before a planned stop.
//!
//! The holder stops granting before it reads the levels, and the successor starts granting only
//! after it has replaced the holder's key in the store, at the revision that the handover names. So
//! no other holder was in between, and at most one node uses the levels: both holders together
//! spend what one holder would. A handover that is lost leaves a successor that starts with
//! nothing.

use crate::ids::TenantName;
use crate::quota::TenantLimit;
use crate::quota_slots::KeeperId;
use crate::store_revision::{RevisionNumber, StoreEra, StoreRevision};
use serde::{Deserialize, Serialize};

/// Maximum number of tenants in a handover. A handover of this size fits into a datagram between
/// nodes.
pub const MAX_HANDOVER_TENANTS: usize = 128;

/// The state of a keeper whose holder has stopped granting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaHandover {
    /// The keeper that is handed over.
    #[serde(rename = "k")]
    pub keeper: KeeperId,
    /// Number of the store revision at which the holder acquired the keeper.
    #[serde(rename = "r")]
    revision: RevisionNumber,
    /// Era of that revision.
    #[serde(rename = "e", default)]
    era: StoreEra,
    /// The latest version of the configuration that the holder received.
    #[serde(rename = "v")]
    pub version: u64,
    /// Time for which the holder has counted for tenants that are not in `tenants`, microseconds. 0
    /// if tenants had to be left out.
    #[serde(rename = "a")]
    #[serde(deserialize_with = "crate::bounded::time_us")]
    pub counted_for_us: u64,
    /// The tenants that were queried recently.
    #[serde(rename = "t")]
    pub tenants: Vec<TenantHandover>,
}

/// What one tenant had left at a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantHandover {
    /// Name of the tenant.
    #[serde(rename = "n")]
    pub tenant: TenantName,
    /// The limit in force at the holder.
    #[serde(rename = "l")]
    pub limit: TenantLimit,
    /// The version of the configuration that the limit was read from.
    #[serde(rename = "v")]
    pub version: u64,
    /// Millionths of a unit left above full debt.
    #[serde(rename = "m")]
    pub available: i64,
}

impl QuotaHandover {
    /// The handover of a keeper that was acquired at `revision`. Tenants beyond
    /// [`MAX_HANDOVER_TENANTS`] are left out; they start with nothing at the successor.
    pub fn new(
        keeper: KeeperId,
        revision: StoreRevision,
        version: u64,
        counted_for_us: u64,
        mut tenants: Vec<TenantHandover>,
    ) -> Self {
        let is_complete = tenants.len() <= MAX_HANDOVER_TENANTS;
        tenants.truncate(MAX_HANDOVER_TENANTS);
        let counted_for_us = if is_complete { counted_for_us } else { 0 };
        let (revision, era) = (revision.number(), revision.era());
        Self { keeper, revision, era, version, counted_for_us, tenants }
    }

    /// Revision of the store at which the holder acquired the keeper. The successor replaces the
    /// key of this revision.
    pub fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }
}
