//! The giver's side of the authority: how the holder of a zone's lease orders its engines.
//!
//! For each engine the holder first raises the fence and reads back the engine's state under
//! its own epoch; only then does it give orders, one at a time, each confirmed before the
//! next. So an order of an earlier holder either was seen in the state read back, or is
//! refused by the fence: two holders never give conflicting orders that both take effect.

use crate::time::Timestamp;
use pitchstall_protocol::engine::{
    EngineRole, EngineStanding, EngineState, FencingToken, OrderKind, OrderReply, RoleOrder,
};
use pitchstall_protocol::ids::{EngineId, Epoch, ModelName, OrderSequence};
use std::collections::BTreeMap;
use std::time::Duration;

/// What the holder wants of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The role.
    pub role: EngineRole,
    /// The model.
    pub model: ModelName,
}

#[derive(Clone, Debug)]
struct EngineRecord {
    /// State read back under the present epoch; `None` until the fence is raised.
    confirmed: Option<EngineStanding>,
    target: Option<Target>,
    drain: bool,
    outstanding: Option<Outstanding>,
    retry_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Outstanding {
    order: RoleOrder,
    sent: Timestamp,
}

/// Orders to the engines of a zone.
#[derive(Clone, Debug)]
pub struct Authority {
    epoch: Option<Epoch>,
    next_sequence: OrderSequence,
    engines: BTreeMap<EngineId, EngineRecord>,
    resend_after: Duration,
}

impl Authority {
    /// An authority without an epoch, which orders nothing. An order without an answer is
    /// sent again after `resend_after`, under the same token.
    pub fn new(resend_after: Duration) -> Self {
        Self {
            epoch: None,
            next_sequence: OrderSequence(1),
            engines: BTreeMap::new(),
            resend_after,
        }
    }

    /// Tells which epoch is held now. A new epoch forgets all that was confirmed before.
    pub fn set_epoch(&mut self, epoch: Option<Epoch>) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.next_sequence = OrderSequence(1);
        self.engines.clear();
    }

    /// The epoch held.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Tells which engines there are. Others are forgotten.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = EngineId>) {
        let mut previous = std::mem::take(&mut self.engines);
        for engine in engines {
            let record = previous.remove(&engine).unwrap_or(EngineRecord {
                confirmed: None,
                target: None,
                drain: false,
                outstanding: None,
                retry_at: Timestamp(0),
            });
            self.engines.insert(engine, record);
        }
    }

    /// Sets what an engine should become. Returns whether the engine is known.
    pub fn set_target(&mut self, engine: &EngineId, target: Target) -> bool {
        match self.engines.get_mut(engine) {
            Some(record) => {
                record.target = Some(target);
                true
            }
            None => false,
        }
    }

    /// Asks an engine to finish its work and take none. Returns whether it is known.
    pub fn drain(&mut self, engine: &EngineId) -> bool {
        match self.engines.get_mut(engine) {
            Some(record) => {
                record.drain = true;
                true
            }
            None => false,
        }
    }

    /// The state of an engine as confirmed under the present epoch.
    pub fn confirmed(&self, engine: &EngineId) -> Option<&EngineStanding> {
        self.engines.get(engine)?.confirmed.as_ref()
    }

    /// The role an engine has or is to have.
    pub fn intended_role(&self, engine: &EngineId) -> Option<EngineRole> {
        let record = self.engines.get(engine)?;
        let target = record.target.as_ref().map(|target| target.role);
        target.or_else(|| record.confirmed.as_ref().map(|standing| standing.role))
    }

    /// Engines that are in a change, or are ordered into one.
    pub fn engines_away(&self) -> usize {
        self.engines
            .values()
            .filter(|record| {
                let changing = record
                    .confirmed
                    .as_ref()
                    .is_some_and(|standing| standing.state == EngineState::Changing);
                changing || wanted_order(record).is_some()
            })
            .count()
    }

    /// A newer report of an engine. It counts only if it shows our own fence: otherwise it
    /// was made before we raised it.
    pub fn on_report(&mut self, engine: &EngineId, standing: &EngineStanding) {
        let Some(epoch) = self.epoch else {
            return;
        };
        let Some(record) = self.engines.get_mut(engine) else {
            return;
        };
        let Some(confirmed) = &record.confirmed else {
            return;
        };
        if standing.fence.epoch == epoch && standing.fence >= confirmed.fence {
            record.confirmed = Some(standing.clone());
        }
    }

    /// Orders that are due. The caller must have checked the lease at this same instant.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(EngineId, RoleOrder)> {
        let Some(epoch) = self.epoch else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (engine, record) in &mut self.engines {
            if let Some(outstanding) = &mut record.outstanding {
                if now.since(outstanding.sent) >= self.resend_after {
                    outstanding.sent = now;
                    orders.push((engine.clone(), outstanding.order.clone()));
                }
                continue;
            }
            if now < record.retry_at {
                continue;
            }
            let kind = match &record.confirmed {
                None => Some(OrderKind::RaiseFence),
                Some(_) => wanted_order(record),
            };
            let Some(kind) = kind else {
                continue;
            };
            let token = FencingToken { epoch, sequence: self.next_sequence };
            self.next_sequence = self.next_sequence.next();
            let order = RoleOrder { token, kind };
            record.outstanding = Some(Outstanding { order: order.clone(), sent: now });
            orders.push((engine.clone(), order));
        }
        orders
    }

    /// The answer to an order; `None`: it did not arrive. The order is then sent again.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        engine: &EngineId,
        token: FencingToken,
        reply: Option<&OrderReply>,
    ) {
        let resend_after = self.resend_after;
        let Some(record) = self.engines.get_mut(engine) else {
            return;
        };
        let answered = record.outstanding.as_ref().is_some_and(|it| it.order.token == token);
        if !answered {
            return;
        }
        match reply {
            None => {}
            Some(OrderReply::Accepted { standing }) => {
                record.outstanding = None;
                record.confirmed = Some(standing.clone());
            }
            Some(OrderReply::Busy { standing }) => {
                record.outstanding = None;
                record.confirmed = Some(standing.clone());
                record.retry_at = now + resend_after;
            }
            // A later holder has been here. Our lease is about to lapse; wait for that.
            Some(OrderReply::Stale { .. }) => {
                record.outstanding = None;
                record.confirmed = None;
                record.retry_at = now + resend_after;
            }
        }
    }
}

/// The order that brings a confirmed engine nearer to its target.
fn wanted_order(record: &EngineRecord) -> Option<OrderKind> {
    let confirmed = record.confirmed.as_ref()?;
    if record.drain && confirmed.state != EngineState::Leaving {
        return Some(OrderKind::Drain);
    }
    if confirmed.state != EngineState::Ready {
        return None;
    }
    let target = record.target.as_ref()?;
    if target.model != confirmed.model {
        return Some(OrderKind::LoadModel { model: target.model.clone() });
    }
    if target.role != confirmed.role {
        return Some(OrderKind::SetRole { role: target.role });
    }
    None
}
