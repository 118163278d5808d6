//! Requests that are passed through unchanged along routes: their entry, their way through the
//! dispatcher to backend servers, and their answers.
//!
//! | module | duty |
//! |---|---|
//! | [`handler`] | takes a caller's request, finds its route and workspace |
//! | [`digest`] | what tells a request from others when it comes anew |
//! | [`client_connections`] | callers' connections, for a planned stop |
//! | [`ticket`] | one request's place at the dispatcher: ask, reports, end |
//! | [`exchange`] | attempts at backend servers until there is an answer or none is possible |
//! | [`relay`] | passes a stream of events on, and resumes it elsewhere where it may be |
//! | [`refusal`] | answers of the instance's own |

pub mod client_connections;
pub mod digest;
pub mod exchange;
pub mod handler;
pub mod refusal;
pub mod relay;
pub mod ticket;

use std::rc::Rc;
use std::sync::Arc;

use crate::{process::Shared, upstream};

/// What the requests of one HTTP worker share.
pub struct Worker<D> {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// How headers are read and written.
    pub dialect: D,
    /// Connections to backend servers.
    pub conns: upstream::Pool,
    /// Connections of callers.
    pub client_connections: client_connections::ClientConnections,
}

/// A worker as its requests hold it.
pub type Handle<D> = Rc<Worker<D>>;
