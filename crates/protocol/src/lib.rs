//! Typed messages between callers, nodes, engines, operators and the platform.
//!
//! Every byte that crosses a process border is described here once. The modules hold
//! data only: no clock, socket or policy. Times inside messages are integers whose
//! unit is part of the field name.

pub mod caller;
pub mod configuration;
pub mod engine;
pub mod error;
pub mod ids;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod store;

pub use caller::{CompletionRequest, ResumePoint, ServiceLimits};
pub use configuration::{Configuration, Document, ModelSpec, ServiceSpec, TenantSpec};
pub use engine::{EngineEvent, EngineReport, EngineRole, GenerateRequest, OrderReply, RoleOrder};
pub use error::{ErrorBody, ErrorCode, Execution};
pub use ids::{
    AttemptNumber, ChangeId, ClaimId, ConnectionId, EngineId, Epoch, Incarnation, ModelName,
    NodeId, OrderSequence, RequestId, Revision, ServiceName, TenantId, ZoneId,
};
