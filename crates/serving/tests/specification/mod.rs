//! A small specification of the protocols between nodes, store and runners, for exhaustive search.
//! Messages may be lost, delayed and reordered; nodes pause (they take no step for a while, as
//! every interleaving is searched), crash and restart. Time is abstract.
//!
//! Each safeguard has a switch; the search must find a violation when any one of them is off.

pub mod adoption;
pub mod authority;
pub mod quota;
pub mod regional_authority;
pub mod resuming;
pub mod retry_budget;
pub mod retry_pool;
pub mod usage;
pub mod version_record;
pub mod version_record_services;
