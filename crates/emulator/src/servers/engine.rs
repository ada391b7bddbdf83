//! An engine's stand-in.
//!
//! | path | what it does |
//! | --- | --- |
//! | `POST /v1/completions` | runs an attempt; server-sent events |
//! | `POST /v1/streams/resume` | reads an attempt on |
//! | `POST /v1/streams/cancel` | gives an attempt up if nobody reads it |
//! | `GET /v1/load` | the load report |
//! | `POST /v1/orders` | a fenced order |
//! | `POST /v1/cache/export` | answers when the KV cache of an attempt has been handed out |
//! | `POST /faults/cut` | breaks all streams off |
//! | `POST /faults/leave` | takes no new work |

use crate::models::engine::{EngineAction, EngineModel, Reader};
use crate::models::profile::EngineProfile;
use crate::servers::{http_config, Clock};
use ntex::channel::mpsc;
use ntex::client::Client;
use ntex::http::HttpService;
use ntex::time::{sleep, Millis};
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse};
use pitchstall_coordination::Timestamp;
use pitchstall_platform::engines::{
    CANCEL_PATH, GENERATE_PATH, ORDER_PATH, REPORT_PATH, RESUME_PATH,
};
use pitchstall_platform::http::new_client;
use pitchstall_protocol::engine::{
    AttemptKey, EngineRole, GenerateRequest, ResumeRequest, RoleOrder,
};
use pitchstall_protocol::ids::{EngineId, ModelName, ZoneId};
use pitchstall_protocol::membership::{EngineMember, MemberState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;

/// Path by which an engine hands a KV cache to another one.
const EXPORT_PATH: &str = "/v1/cache/export";

/// Parameters of the stand-in.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Its name.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its first role.
    pub role: EngineRole,
    /// Its first model.
    pub model: ModelName,
    /// How it behaves.
    pub profile: EngineProfile,
    /// Address of the platform, to be listed there and to load weights; `IP:port`.
    pub platform: Option<String>,
}

type EventSender = mpsc::Sender<Result<Bytes, std::io::Error>>;

struct Host {
    clock: Clock,
    model: RefCell<EngineModel>,
    readers: RefCell<HashMap<Reader, EventSender>>,
    next_reader: Cell<u64>,
    wake_at: Cell<Option<Timestamp>>,
    client: Client,
    platform: Option<String>,
}

type Shared = State<Rc<Host>>;

/// Serves the stand-in until the process ends.
pub async fn serve(listener: TcpListener, params: EngineParams) -> std::io::Result<()> {
    let address = listener.local_addr()?.to_string();
    ntex::server::build()
        .workers(1)
        .disable_signals()
        .listen("engine", listener, async move |config: ntex::server::Config| {
            config.config(http_config("ENGINE"));
            let host = Rc::new(Host::new(&params).await);
            host.clone().register(&params, address.clone());
            HttpService::new(App::new().state(host).configure(routes))
        })?
        .run()
        .await
}

fn routes(config: &mut web::ServiceConfig) {
    /// A prompt of a few hundred thousand tokens fits.
    const BODY_LIMIT: usize = 16 * 1024 * 1024;
    config
        .state(web::types::PayloadConfig::new(BODY_LIMIT))
        .route(GENERATE_PATH, web::post().to(generate))
        .route(RESUME_PATH, web::post().to(resume))
        .route(CANCEL_PATH, web::post().to(cancel))
        .route(REPORT_PATH, web::get().to(report))
        .route(ORDER_PATH, web::post().to(order))
        .route(EXPORT_PATH, web::post().to(export))
        .route("/faults/cut", web::post().to(cut))
        .route("/faults/leave", web::post().to(leave));
}

impl Host {
    async fn new(params: &EngineParams) -> Self {
        let model = EngineModel::new(
            params.engine.clone(),
            params.zone.clone(),
            params.profile.clone(),
            params.role,
            params.model.clone(),
        );
        let client = match new_client().await {
            Ok(client) => client,
            Err(_) => Client::new().await,
        };
        Self {
            clock: Clock::start(),
            model: RefCell::new(model),
            readers: RefCell::new(HashMap::new()),
            next_reader: Cell::new(1),
            wake_at: Cell::new(None),
            client,
            platform: params.platform.clone(),
        }
    }

    /// Gets the engine listed by the platform.
    fn register(self: Rc<Self>, params: &EngineParams, address: String) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let member = EngineMember {
            engine: params.engine.clone(),
            zone: params.zone.clone(),
            address,
            state: MemberState::Live,
        };
        ntex::rt::spawn(async move {
            const RETRY: Millis = Millis(100);
            let url = format!("http://{platform}/members/engines");
            while self.client.post(&url).send_json(&member).await.is_err() {
                sleep(RETRY).await;
            }
        });
    }

    fn open(&self) -> (Reader, mpsc::Receiver<Result<Bytes, std::io::Error>>) {
        let reader = Reader(self.next_reader.get());
        self.next_reader.set(reader.0 + 1);
        let (sender, receiver) = mpsc::channel();
        self.readers.borrow_mut().insert(reader, sender);
        (reader, receiver)
    }

    /// Does what the model asks for and sees that it is woken again.
    fn perform(self: &Rc<Self>, actions: Vec<EngineAction>) {
        for action in actions {
            match action {
                EngineAction::Send(reader, event) => self.send(reader, &event),
                EngineAction::End(reader) => {
                    self.readers.borrow_mut().remove(&reader);
                }
                EngineAction::FetchCache { needed_by, address, key, .. } => {
                    ntex::rt::spawn(self.clone().fetch_cache(needed_by, address, key));
                }
                EngineAction::LoadWeights { bytes } => {
                    ntex::rt::spawn(self.clone().load_weights(bytes));
                }
            }
        }
        self.schedule();
    }

    fn send(&self, reader: Reader, event: &pitchstall_protocol::engine::EngineEvent) {
        let Ok(json) = serde_json::to_string(event) else {
            return;
        };
        let line = Bytes::from(format!("data: {json}\n\n"));
        let gone = match self.readers.borrow().get(&reader) {
            Some(sender) => sender.send(Ok(line)).is_err(),
            None => false,
        };
        if gone {
            self.readers.borrow_mut().remove(&reader);
            self.model.borrow_mut().reader_gone(self.clock.now(), reader);
        }
    }

    fn schedule(self: &Rc<Self>) {
        let Some(wake) = self.model.borrow().next_wake() else {
            return;
        };
        if self.wake_at.get().is_some_and(|scheduled| scheduled <= wake) {
            return;
        }
        self.wake_at.set(Some(wake));
        let host = self.clone();
        ntex::rt::spawn(async move {
            let wait = wake.since(host.clock.now());
            sleep(Millis(wait.as_micros().div_ceil(1_000) as u32)).await;
            if host.wake_at.get() == Some(wake) {
                host.wake_at.set(None);
            }
            let actions = host.model.borrow_mut().advance(host.clock.now());
            host.perform(actions);
        });
    }

    async fn fetch_cache(self: Rc<Self>, needed_by: AttemptKey, address: String, key: AttemptKey) {
        const TIMEOUT: Millis = Millis(10_000);
        let url = format!("http://{address}{EXPORT_PATH}");
        let answer = self.client.post(url).timeout(TIMEOUT).send_json(&key).await;
        let found = answer.is_ok_and(|answer| answer.status().is_success());
        let now = self.clock.now();
        let actions = self.model.borrow_mut().cache_arrived(now, &needed_by, found);
        self.perform(actions);
    }

    async fn load_weights(self: Rc<Self>, bytes: u64) {
        const RETRY: Millis = Millis(500);
        if let Some(platform) = self.platform.clone() {
            let url = format!("http://{platform}/weights?bytes={bytes}");
            while self.client.get(&url).timeout(Millis(600_000)).send().await.is_err() {
                sleep(RETRY).await;
            }
        }
        self.model.borrow_mut().weights_arrived(self.clock.now());
        self.perform(Vec::new());
    }
}

async fn generate(host: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<GenerateRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (reader, receiver) = host.open();
    let now = host.clock.now();
    let actions = host.model.borrow_mut().generate(now, reader, &request);
    host.perform(actions);
    HttpResponse::Ok().content_type("text/event-stream").streaming(receiver)
}

async fn resume(host: Shared, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<ResumeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (reader, receiver) = host.open();
    let actions = host.model.borrow_mut().resume(host.clock.now(), reader, &request);
    host.perform(actions);
    HttpResponse::Ok().content_type("text/event-stream").streaming(receiver)
}

async fn cancel(host: Shared, body: Bytes) -> HttpResponse {
    let Ok(key) = serde_json::from_slice::<AttemptKey>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    host.model.borrow_mut().cancel(&key);
    HttpResponse::NoContent().finish()
}

async fn report(host: Shared) -> HttpResponse {
    let report = host.model.borrow_mut().report(host.clock.now());
    HttpResponse::Ok().json(&report)
}

async fn order(host: Shared, body: Bytes) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<RoleOrder>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (reply, actions) = host.model.borrow_mut().on_order(host.clock.now(), &order);
    host.perform(actions);
    HttpResponse::Ok().json(&reply)
}

async fn export(host: Shared, body: Bytes) -> HttpResponse {
    let Ok(key) = serde_json::from_slice::<AttemptKey>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let time = {
        let model = host.model.borrow();
        model.export(&key).map(|tokens| model.transfer_time(tokens))
    };
    let Some(time) = time else {
        return HttpResponse::NotFound().finish();
    };
    sleep(Millis(time.as_millis() as u32)).await;
    HttpResponse::NoContent().finish()
}

async fn cut(host: Shared) -> HttpResponse {
    let cut: Vec<Reader> = host.readers.borrow_mut().drain().map(|(reader, _)| reader).collect();
    for reader in cut {
        host.model.borrow_mut().reader_gone(host.clock.now(), reader);
    }
    HttpResponse::NoContent().finish()
}

async fn leave(host: Shared) -> HttpResponse {
    host.model.borrow_mut().leave();
    HttpResponse::NoContent().finish()
}
