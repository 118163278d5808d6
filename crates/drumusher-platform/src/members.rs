//! The platform's list of instances and backend servers, which lags behind their actual state.

use std::future::Future;

use serde::Deserialize;

use crate::{Error, Http};

/// Kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An instance; its address is the one for other instances.
    Instance,
    /// A model engine.
    Engine,
    /// A backend server of a plain service.
    Service,
}

/// Whether a member accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It is shutting down.
    Leaving,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Name, unique among all members.
    pub name: String,
    /// Kind.
    pub kind: Kind,
    /// Availability zone.
    pub availability_zone: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Whether it accepts new requests.
    pub state: State,
    /// Models or services that it serves.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Whether it checks which instance sends it an order.
    #[serde(default)]
    pub checks_orders: bool,
}

/// The list at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct List {
    /// Time of the list, in Unix milliseconds.
    pub as_of_ms: u64,
    /// The members.
    pub members: Vec<Member>,
}

/// Access to the list.
pub trait Members {
    /// The members of one availability zone, or of all if `None`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn list(&self, availability_zone: Option<&str>) -> impl Future<Output = Result<List, Error>>;
}

/// Client of the list over HTTP.
#[derive(Clone, Debug)]
pub struct Service {
    http: Http,
    url: String,
}

impl Service {
    /// Creates a client of the list at `address` (`ip:port`).
    pub fn new(http: Http, address: &str) -> Self {
        Service { http, url: format!("http://{address}/members") }
    }
}

impl Members for Service {
    async fn list(&self, availability_zone: Option<&str>) -> Result<List, Error> {
        let url = match availability_zone {
            Some(zone) => format!("{}?availability_zone={zone}", self.url),
            None => self.url.clone(),
        };
        self.http.get(&url).await?.json()
    }
}
