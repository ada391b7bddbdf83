//! The platform's stand-in: key-value service, membership list and weight store.
//!
//! | path | what it does |
//! | --- | --- |
//! | `POST /v3/…` | the key-value service, as etcd's JSON gateway |
//! | `GET /members?since=N` | the membership list if newer than N, else 204 |
//! | `POST /members/nodes`, `POST /members/engines` | a machine is there |
//! | `DELETE /members/nodes/NAME`, `DELETE /members/engines/NAME` | a machine is gone |
//! | `POST /members/nodes/NAME/leave`, `POST /members/engines/NAME/leave` | is about to go |
//! | `GET /weights?bytes=N` | answers when N bytes have been handed out |
//! | `POST /faults` | outage, lost answers; see [`StoreFaults`] |

use crate::models::membership::MembershipModel;
use crate::models::store::StoreModel;
use crate::models::weights::WeightStoreModel;
use crate::servers::{http_config, Clock};
use ntex::channel::mpsc;
use ntex::http::HttpService;
use ntex::time::{sleep, Millis};
use ntex::util::Bytes;
use ntex::web::types::{Path, Query, State};
use ntex::web::{self, App, HttpResponse};
use pitchstall_platform::etcd::{
    decode_transaction, Base64Text, GrantRequest, Header, KeyValue, LeaseRequest, LeaseResponse,
    Number, OperationResponse, RangeRequest, RangeResponse, Streamed, TransactionRequest,
    TransactionResponse, WatchEvent, WatchRequest, WatchResponse, GRANT_PATH, KEEP_ALIVE_PATH,
    RANGE_PATH, REVOKE_PATH, TRANSACTION_PATH, WATCH_PATH,
};
use pitchstall_platform::membership::MEMBERS_PATH;
use pitchstall_protocol::ids::{EngineId, NodeId};
use pitchstall_protocol::membership::{EngineMember, NodeMember};
use pitchstall_protocol::store::{StoreError, StoreLease, StoreReply, StoreRequest, StoredValue};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Parameters of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformParams {
    /// Requests a second that the key-value service takes.
    pub store_requests_per_second: u64,
    /// Lag of the membership list.
    pub membership_lag: Duration,
    /// Bytes a second that the weight store hands out.
    pub weight_bytes_per_second: u64,
}

impl Default for PlatformParams {
    fn default() -> Self {
        Self {
            store_requests_per_second: 200,
            membership_lag: Duration::from_millis(1_500),
            weight_bytes_per_second: 8_000_000_000,
        }
    }
}

/// Faults of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Requests are answered with an error and have no effect.
    pub down: bool,
    /// Requests take effect and are answered with an error.
    pub lose_answers: bool,
    /// Milliseconds added to each answer.
    pub delay_ms: u32,
}

/// Somebody who watches a key.
struct Watcher {
    key: String,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

struct Platform {
    clock: Clock,
    store: RefCell<StoreModel>,
    members: RefCell<MembershipModel>,
    weights: RefCell<WeightStoreModel>,
    faults: RefCell<StoreFaults>,
    watchers: RefCell<Vec<Watcher>>,
}

type Shared = State<Rc<Platform>>;

/// Serves the stand-in until the process ends.
pub async fn serve(listener: TcpListener, params: PlatformParams) -> std::io::Result<()> {
    ntex::server::build()
        .workers(1)
        .disable_signals()
        .listen("platform", listener, async move |config: ntex::server::Config| {
            config.config(http_config("PLATFORM"));
            let platform = Rc::new(Platform::new(params));
            HttpService::new(App::new().state(platform).configure(routes))
        })?
        .run()
        .await
}

impl Platform {
    fn new(params: PlatformParams) -> Self {
        Self {
            clock: Clock::start(),
            store: RefCell::new(StoreModel::new(params.store_requests_per_second)),
            members: RefCell::new(MembershipModel::new(params.membership_lag)),
            weights: RefCell::new(WeightStoreModel::new(params.weight_bytes_per_second)),
            faults: RefCell::new(StoreFaults::default()),
            watchers: RefCell::new(Vec::new()),
        }
    }

    /// Handles a request with the faults in force; `None`: no answer is to be given.
    async fn handle(&self, request: StoreRequest) -> Option<Result<StoreReply, StoreError>> {
        let faults = *self.faults.borrow();
        if faults.delay_ms > 0 {
            sleep(Millis(faults.delay_ms)).await;
        }
        if faults.down {
            return None;
        }
        let (reply, changed) = self.store.borrow_mut().handle(self.clock.now(), &request);
        self.notify(changed);
        (!faults.lose_answers).then_some(reply)
    }

    fn notify(&self, changed: Vec<StoredValue>) {
        for value in changed {
            let key = value.key.clone();
            let event = WatchEvent { kv: value.into() };
            let response = Streamed { result: WatchResponse { events: vec![event] } };
            let Ok(mut line) = serde_json::to_string(&response) else {
                continue;
            };
            line.push('\n');
            let bytes = Bytes::from(line);
            self.watchers.borrow_mut().retain(|watcher| {
                watcher.key != key || watcher.sender.send(Ok(bytes.clone())).is_ok()
            });
        }
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route(RANGE_PATH, web::post().to(range))
        .route(TRANSACTION_PATH, web::post().to(transaction))
        .route(GRANT_PATH, web::post().to(grant))
        .route(KEEP_ALIVE_PATH, web::post().to(keep_alive))
        .route(REVOKE_PATH, web::post().to(revoke))
        .route(WATCH_PATH, web::post().to(watch))
        .route(MEMBERS_PATH, web::get().to(members))
        .route("/members/nodes", web::post().to(add_node))
        .route("/members/engines", web::post().to(add_engine))
        .route("/members/nodes/{name}", web::delete().to(remove_node))
        .route("/members/engines/{name}", web::delete().to(remove_engine))
        .route("/members/nodes/{name}/leave", web::post().to(node_leaves))
        .route("/members/engines/{name}/leave", web::post().to(engine_leaves))
        .route("/weights", web::get().to(weights))
        .route("/faults", web::post().to(set_faults));
}

// --- key-value service --------------------------------------------------------------------

async fn range(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<RangeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let reply = platform.handle(StoreRequest::Get { keys: vec![request.key.0] }).await;
    answer(reply, |reply| match reply {
        StoreReply::Values { values, revision } => HttpResponse::Ok().json(&RangeResponse {
            header: header(revision),
            kvs: values.into_iter().map(KeyValue::from).collect(),
        }),
        _ => HttpResponse::InternalServerError().finish(),
    })
}

async fn transaction(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<TransactionRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let reply = platform.handle(decode_transaction(&request)).await;
    answer(reply, |reply| match reply {
        StoreReply::Values { values, revision } => {
            let kvs = values.into_iter().map(KeyValue::from).collect();
            let range = RangeResponse { header: header(revision), kvs };
            HttpResponse::Ok().json(&TransactionResponse {
                header: header(revision),
                succeeded: true,
                responses: vec![OperationResponse { response_range: Some(range) }],
            })
        }
        StoreReply::Transaction { succeeded, revision } => {
            HttpResponse::Ok().json(&TransactionResponse {
                header: header(revision),
                succeeded,
                responses: Vec::new(),
            })
        }
        _ => HttpResponse::InternalServerError().finish(),
    })
}

async fn grant(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<GrantRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let reply = platform.handle(StoreRequest::Grant { ttl_s: request.ttl.0 }).await;
    answer(reply, |reply| match reply {
        StoreReply::Granted { lease } => {
            HttpResponse::Ok().json(&LeaseResponse { id: Number(lease.0), ttl: request.ttl })
        }
        _ => HttpResponse::InternalServerError().finish(),
    })
}

async fn keep_alive(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<LeaseRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let lease = StoreLease(request.id.0);
    let reply = platform.handle(StoreRequest::KeepAlive { lease }).await;
    answer(reply, |reply| match reply {
        StoreReply::KeptAlive { ttl_s } => HttpResponse::Ok()
            .json(&Streamed { result: LeaseResponse { id: request.id, ttl: Number(ttl_s) } }),
        _ => HttpResponse::InternalServerError().finish(),
    })
}

async fn revoke(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<LeaseRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let lease = StoreLease(request.id.0);
    let reply = platform.handle(StoreRequest::Revoke { lease }).await;
    answer(reply, |_| HttpResponse::Ok().json(&TransactionResponse::default()))
}

async fn watch(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<WatchRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if platform.faults.borrow().down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (sender, receiver) = mpsc::channel();
    let Base64Text(key) = request.create_request.key;
    platform.watchers.borrow_mut().push(Watcher { key, sender });
    HttpResponse::Ok().content_type("application/json").streaming(receiver)
}

fn header(revision: u64) -> Header {
    Header { revision: Number(revision) }
}

fn answer(
    reply: Option<Result<StoreReply, StoreError>>,
    encode: impl FnOnce(StoreReply) -> HttpResponse,
) -> HttpResponse {
    match reply {
        Some(Ok(reply)) => encode(reply),
        Some(Err(StoreError::RateLimited)) => HttpResponse::TooManyRequests().finish(),
        Some(Err(_)) | None => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn set_faults(platform: Shared, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<StoreFaults>(&body) {
        Ok(faults) => {
            if faults.down {
                platform.watchers.borrow_mut().clear();
            }
            *platform.faults.borrow_mut() = faults;
            HttpResponse::NoContent().finish()
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

// --- membership list ------------------------------------------------------------------------

#[derive(Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn members(platform: Shared, query: Query<Since>) -> HttpResponse {
    let now = platform.clock.now();
    match platform.members.borrow_mut().poll(now, query.since) {
        Some(list) => HttpResponse::Ok().json(list),
        None => HttpResponse::NoContent().finish(),
    }
}

async fn add_node(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(member) = serde_json::from_slice::<NodeMember>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    platform.members.borrow_mut().add_node(platform.clock.now(), member);
    HttpResponse::NoContent().finish()
}

async fn add_engine(platform: Shared, body: Bytes) -> HttpResponse {
    let Ok(member) = serde_json::from_slice::<EngineMember>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    platform.members.borrow_mut().add_engine(platform.clock.now(), member);
    HttpResponse::NoContent().finish()
}

async fn remove_node(platform: Shared, name: Path<String>) -> HttpResponse {
    let node = NodeId::new(name.as_str());
    platform.members.borrow_mut().remove_node(platform.clock.now(), &node);
    HttpResponse::NoContent().finish()
}

async fn remove_engine(platform: Shared, name: Path<String>) -> HttpResponse {
    let engine = EngineId::new(name.as_str());
    platform.members.borrow_mut().remove_engine(platform.clock.now(), &engine);
    HttpResponse::NoContent().finish()
}

async fn node_leaves(platform: Shared, name: Path<String>) -> HttpResponse {
    let node = NodeId::new(name.as_str());
    platform.members.borrow_mut().node_leaves(platform.clock.now(), &node);
    HttpResponse::NoContent().finish()
}

async fn engine_leaves(platform: Shared, name: Path<String>) -> HttpResponse {
    let engine = EngineId::new(name.as_str());
    platform.members.borrow_mut().engine_leaves(platform.clock.now(), &engine);
    HttpResponse::NoContent().finish()
}

// --- weight store ----------------------------------------------------------------------------

#[derive(Deserialize)]
struct WeightQuery {
    bytes: u64,
}

async fn weights(platform: Shared, query: Query<WeightQuery>) -> HttpResponse {
    let now = platform.clock.now();
    let done = platform.weights.borrow_mut().load(now, query.bytes);
    let wait_ms = done.since(now).as_millis();
    sleep(Millis(u32::try_from(wait_ms).unwrap_or(u32::MAX))).await;
    HttpResponse::NoContent().finish()
}
