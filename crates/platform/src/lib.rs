//! Adapters to what is not pitchstall's: the key-value service, the membership list and the
//! engines.
//!
//! Each is a trait with an implementation over HTTP. A site with another service writes
//! another implementation; nothing else changes. The traits are for one thread: the node's.

pub mod engines;
pub mod etcd;
pub mod http;
pub mod lines;
pub mod membership;
pub mod store;

use std::future::Future;
use std::pin::Pin;

/// A future of the node's own thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
