//! Builds the report on tenants' limits at this node, for operators.

use super::has_limits;
use crate::node::Node;
use pitchstall_serving::quota_keeper::{QuotaKeeper, TenantLevel};
use serde_json::{json, Value};

const MICROS_PER_MILLI: u64 = 1_000;

/// Lists the keepers that this node holds, with the units left for each tenant, and the known
/// holders of all keepers.
pub fn report(node: &Node) -> Value {
    let now_us = node.now_us();
    let held: Vec<Value> = {
        let mut keepers = node.quotas.keepers.borrow_mut();
        keepers.values_mut().map(|keeper| held_keeper_report(keeper, now_us)).collect()
    };
    let holders = node.quotas.holders.borrow();
    let known: Vec<Value> = holders
        .all()
        .map(|(keeper, holder)| {
            json!({
                "keeper": keeper.to_string(),
                "node": holder.node.as_str(),
                "address": holder.address.to_string(),
                "revision": holder.revision.number(),
                "heard_ms": now_us.saturating_sub(holder.last_received_us) / MICROS_PER_MILLI,
                "asked": holders.query_address(keeper, now_us).is_some(),
            })
        })
        .collect();
    json!({ "has_limits": has_limits(node), "held": held, "keepers": known })
}

fn held_keeper_report(keeper: &mut QuotaKeeper, now_us: u64) -> Value {
    let tenants: Vec<Value> = keeper.levels(now_us).iter().map(level).collect();
    json!({
        "keeper": keeper.id().to_string(),
        "revision": keeper.term().revision.number(),
        "left_ms": keeper.term().remaining_us(now_us) / MICROS_PER_MILLI,
        "tenants": tenants,
    })
}

fn level(level: &TenantLevel) -> Value {
    json!({
        "tenant": level.tenant.as_str(),
        "level": level.level,
        "debt": level.debt,
        "granted": level.granted,
        "version": level.version,
    })
}
