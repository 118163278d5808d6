//! Stand-ins for the external systems. Each has only the switches that a test or an experiment uses;
//! `POST /switch` with a JSON object sets the switches it contains.

pub mod engine;
pub mod list;
pub mod log;
pub mod service;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    thread,
};

use ntex::{
    rt,
    web::{self, App, HttpResponse, HttpServer},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// An external system that has a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The platform's log.
    Log,
    /// The platform's list of instances and backend servers.
    List,
}

/// Binds a listener to a free port of the loopback interface.
///
/// # Errors
///
/// Any I/O error of binding or serving.
pub fn free_port() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

/// Starts a stand-in on a new thread, which serves until the process exits, and returns its address.
///
/// # Errors
///
/// Any I/O error of binding or serving.
pub fn start(kind: Kind) -> io::Result<SocketAddr> {
    let listener = free_port()?;
    let address = listener.local_addr()?;
    thread::Builder::new().name(format!("{kind:?}")).spawn(move || serve(kind, listener))?;
    Ok(address)
}

/// Serves a stand-in on the current thread. Blocks.
///
/// # Errors
///
/// Any I/O error of binding or serving.
pub fn serve(kind: Kind, listener: TcpListener) -> io::Result<()> {
    let runtime = rt::System::build().name("stand-in").build(rt::DefaultRuntime);
    runtime.block_on(async move {
        let server = HttpServer::new(async move || {
            let app = App::new();
            match kind {
                Kind::Engine => app.configure(engine::routes()),
                Kind::Service => app.configure(service::routes()),
                Kind::Log => app.configure(log::routes()),
                Kind::List => app.configure(list::routes()),
            }
        });
        server.workers(1).disable_signals().maxconn(100_000).listen(listener)?.run().await
    })
}

/// Overrides the switches that the JSON object `change` contains. Rejects unknown names.
fn merge_switches<T: Serialize + DeserializeOwned>(
    switches: &T,
    change: &[u8],
) -> Result<T, String> {
    let mut merged = match serde_json::to_value(switches) {
        Ok(Value::Object(merged)) => merged,
        _ => return Err("switches do not serialize to an object".into()),
    };
    let change: Map<String, Value> = serde_json::from_slice(change).map_err(|e| e.to_string())?;
    for (name, value) in change {
        if merged.insert(name.clone(), value).is_none() {
            return Err(format!("unknown switch {name:?}"));
        }
    }
    serde_json::from_value(Value::Object(merged)).map_err(|e| e.to_string())
}

/// Applies merged switches with `set` and returns the response.
fn apply_switches<T>(result: Result<T, String>, set: impl FnOnce(T)) -> HttpResponse {
    match result {
        Ok(switches) => {
            set(switches);
            HttpResponse::Ok().body("switched\n")
        }
        Err(error) => HttpResponse::BadRequest().body(error),
    }
}

/// Response of a stand-in that is switched to be unavailable.
fn unavailable() -> HttpResponse {
    let mut response = HttpResponse::build(ntex::http::StatusCode::SERVICE_UNAVAILABLE);
    response.set_header("Retry-After", "1");
    response.body("unavailable\n")
}

/// The HTTP routes of a stand-in.
type Routes = Box<dyn FnOnce(&mut web::ServiceConfig)>;
