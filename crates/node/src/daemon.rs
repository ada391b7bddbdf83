//! Assembly: listeners, adapters and the driver on one thread.

use crate::callers::{self, Callers};
use crate::driver::{Adapters, Driver};
use crate::operators::{self, Operators};
use crate::peers;
use crate::settings::DaemonSettings;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::io::Io;
use ntex::server::Config;
use ntex::time::{sleep, Millis, Seconds};
use ntex::web::{types::PayloadConfig, App};
use ntex::{fn_service, SharedCfg};
use pitchstall_platform::engines::{EngineTimeouts, HttpEngines};
use pitchstall_platform::http::{new_client, ClientUnavailable};
use pitchstall_platform::membership::HttpMembership;
use pitchstall_platform::store::EtcdStore;
use pitchstall_runtime::Input;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Why a node cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: std::io::Error,
    },
    /// The HTTP client cannot be built.
    #[error(transparent)]
    Client(#[from] ClientUnavailable),
    /// The server failed.
    #[error("the server failed: {0}")]
    Server(#[from] std::io::Error),
}

/// The listeners of a node, already bound.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let bind = |address: std::net::SocketAddr| {
            TcpListener::bind(address)
                .map_err(|source| DaemonError::Listen { address: address.to_string(), source })
        };
        Ok(Self {
            callers: bind(settings.listen.callers)?,
            operators: bind(settings.listen.operators)?,
            peers: bind(settings.listen.peers)?,
        })
    }
}

/// Where a node listens, once it does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

impl Listeners {
    /// The addresses, with the ports that were chosen for port 0.
    pub fn addresses(&self) -> std::io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

/// Ties a node's worker thread to whoever may ask it to leave.
#[derive(Clone, Debug, Default)]
pub struct Departure(Arc<DepartureFlags>);

#[derive(Debug, Default)]
struct DepartureFlags {
    requested: AtomicBool,
    done: AtomicBool,
}

impl Departure {
    /// Asks the node to finish its work and leave.
    pub fn request(&self) {
        self.0.requested.store(true, Ordering::Release);
    }

    /// Whether the node has left.
    pub fn is_done(&self) -> bool {
        self.0.done.load(Ordering::Acquire)
    }
}

/// Between two looks at a departure.
const DEPARTURE_POLL: Millis = Millis(20);

thread_local! {
    /// The driver of the worker thread. All listeners of a node are served by one worker.
    static DRIVER: RefCell<Option<Rc<Driver>>> = const { RefCell::new(None) };
}

/// Serves a node until it has left, and then until its last connection is closed.
pub async fn serve(
    settings: DaemonSettings,
    listeners: Listeners,
    departure: Departure,
) -> Result<(), DaemonError> {
    /// For connections that stay open without a request.
    const SHUTDOWN: Seconds = Seconds(2);
    let (for_driver, for_callers, for_operators) =
        (settings.clone(), settings.clone(), settings.clone());
    let peer_address = listeners.peers.local_addr()?;
    let of_worker = departure.clone();
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN)
        .on_worker_start(async move || {
            start_driver(&for_driver, peer_address, of_worker.clone()).await
        })
        .listen("callers", listeners.callers, async move |config: Config| {
            config.config(http_config("CALLERS"));
            let section = for_callers.requests.clone();
            let state = Rc::new(Callers { driver: current_driver(), section });
            HttpService::new(App::new().state(state).configure(callers::routes))
        })?
        .listen("operators", listeners.operators, async move |config: Config| {
            config.config(http_config("OPERATORS"));
            let key_sha256 = for_operators.operators.key_sha256.clone();
            let state = Rc::new(Operators { driver: current_driver(), key_sha256 });
            let body_limit = PayloadConfig::new(for_operators.requests.body_limit);
            HttpService::new(App::new().state(state).state(body_limit).configure(operators::routes))
        })?
        .listen("peers", listeners.peers, async |_: Config| {
            fn_service(async |io: Io| peers::serve(current_driver(), io).await)
        })?
        .run();
    let handle = server.clone();
    ntex::rt::spawn(async move {
        while !departure.is_done() {
            sleep(DEPARTURE_POLL).await;
        }
        handle.stop(true).await;
    });
    Ok(server.await?)
}

/// The driver of this worker thread.
///
/// # Panics
///
/// If the worker serves before it was started, which the server's order of work rules out.
fn current_driver() -> Rc<Driver> {
    let driver = DRIVER.with(|driver| driver.borrow().clone());
    driver.expect("a worker starts its driver before it serves")
}

async fn start_driver(
    settings: &DaemonSettings,
    peer_address: SocketAddr,
    departure: Departure,
) -> Result<(), ClientUnavailable> {
    let client = new_client().await?;
    let platform = &settings.platform;
    let store = EtcdStore::new(client.clone(), &platform.store.to_string(), platform.timeout.0);
    let membership =
        HttpMembership::new(client.clone(), &platform.members.to_string(), platform.timeout.0);
    let timeouts = EngineTimeouts {
        stream_head: settings.requests.first_token_timeout.0,
        ..EngineTimeouts::default()
    };
    let adapters = Adapters {
        store: Rc::new(store),
        membership: Rc::new(membership),
        engines: Rc::new(HttpEngines::new(client, timeouts)),
    };
    let (driver, has_left) = Driver::start(settings.node_settings(peer_address), adapters);
    DRIVER.with(|slot| *slot.borrow_mut() = Some(driver.clone()));
    log::info!(
        node = settings.node.name.as_str(),
        zone = settings.node.zone.as_str(),
        callers:% = settings.listen.callers;
        "node started"
    );
    ntex::rt::spawn(watch_departure(driver, departure.clone()));
    ntex::rt::spawn(async move {
        // An error means that the driver is gone, which comes to the same.
        let _ = has_left.await;
        departure.0.done.store(true, Ordering::Release);
    });
    Ok(())
}

async fn watch_departure(driver: Rc<Driver>, departure: Departure) {
    while !departure.0.requested.load(Ordering::Acquire) {
        sleep(DEPARTURE_POLL).await;
    }
    log::info!(node:% = driver.name(); "node is leaving");
    driver.input(Input::Leave);
}

fn http_config(name: &'static str) -> SharedCfg {
    const KEEP_ALIVE: Seconds = Seconds(30);
    SharedCfg::new(name).add(HttpServiceConfig::new().set_keepalive_timeout(KEEP_ALIVE)).into()
}
