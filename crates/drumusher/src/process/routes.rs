//! Running an instance that forwards requests by configured routes.

use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
};

use drumusher_platform::{catalog::Store, dialect::Dialect, duty::Duties, engine::Engines};
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    SharedCfg,
    http::{self, HttpService, HttpServiceConfig, Response, StatusCode},
    rt, server,
    time::{Millis, Seconds, sleep},
    util::stream_recv,
};

use super::{
    Shared, catalog, platform,
    serve::{self, Parts},
};
use crate::{
    client_connections::ClientConnections,
    error::{Error, Kind},
    operator,
    routed::{
        Worker, error_response,
        exchange::probe_lost_paths,
        handler::{self, Never},
    },
    settings::Settings,
    upstream,
};

/// Keep-alive timeout of callers' connections. Longer than the idle timeout of the platform's callers, so
/// that no request is sent on a connection that is being closed.
const KEEP_ALIVE: Seconds = Seconds(60);
/// Time after the start of a planned stop at which idle connections are closed: the load balancer probes each
/// second and sends no new ones after two failed probes.
const CLOSE_IDLE_AFTER: Micros = 2_200 * MILLISECOND;
/// Interval at which idle connections to backend servers are pruned; they are kept for some seconds.
const PRUNE_INTERVAL: Millis = Millis(5_000);
/// Interval at which a planned stop is checked for.
const POLL_INTERVAL: Millis = Millis(100);
/// Path for operators' statements.
const QUERY_PATH: &str = "/operator/query";
/// Maximum length of an operator's statement, in bytes.
const MAX_STATEMENT_BYTES: usize = 16 * 1024;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Runs an instance on the platform's store until it is told to stop. Returns the number of requests that
/// were cut.
///
/// # Errors
///
/// A message for the operator if the instance cannot start.
pub fn run<S, D, F>(settings: Settings, dialect: D, store: F) -> Result<usize, String>
where
    S: Store + Engines + Duties + 'static,
    D: Dialect + Sync,
    F: AsyncFnOnce() -> Result<S, drumusher_platform::Error> + Send + 'static,
{
    let listeners = Listeners::new(&settings)?;
    serve::run_with(settings, move |parts| start(parts, listeners, dialect, store))
}

/// The listening sockets, bound before anything else is started.
struct Listeners {
    callers: TcpListener,
    status: Vec<TcpListener>,
}

impl Listeners {
    fn new(settings: &Settings) -> Result<Self, String> {
        let status: Vec<SocketAddr> = settings.status.into_iter().chain(settings.metrics).collect();
        let status = status.into_iter().map(serve::listen).collect::<Result<_, _>>()?;
        Ok(Listeners { callers: serve::listen(settings.http)?, status })
    }
}

fn start<S, D, F>(
    parts: Parts,
    listeners: Listeners,
    dialect: D,
    store: F,
) -> Result<Vec<server::Server>, String>
where
    S: Store + Engines + Duties + 'static,
    D: Dialect + Sync,
    F: AsyncFnOnce() -> Result<S, drumusher_platform::Error> + Send + 'static,
{
    let Parts { shared, platform } = parts;
    start_store(shared.clone(), store, platform);
    let mut servers = vec![serve_callers(shared.clone(), listeners.callers, dialect)?];
    for listener in listeners.status {
        servers.push(serve_status(shared.clone(), listener)?);
    }
    Ok(servers)
}

fn start_store<S, F>(shared: Arc<Shared>, store: F, receiver: platform::Receiver)
where
    S: Store + Engines + Duties + 'static,
    F: AsyncFnOnce() -> Result<S, drumusher_platform::Error> + Send + 'static,
{
    let thread = rt::Arbiter::with_name("platform".into());
    thread.handle().spawn(async move {
        rt::spawn(async move {
            match store().await {
                Ok(store) => catalog::run(shared, store, receiver).await,
                Err(error) => log::error!("cannot create a client for the store: {error}"),
            }
        });
    });
}

/// A server with one worker, which leaves signals to the process.
fn server_builder(name: &str) -> server::ServerBuilder {
    server::build().name(name).workers(1).disable_signals()
}

fn serve_callers<D: Dialect + Sync>(
    shared: Arc<Shared>,
    listener: TcpListener,
    dialect: D,
) -> Result<server::Server, String> {
    let header = Seconds(shared.settings.limits.header_seconds);
    let config = HttpServiceConfig::new()
        .set_headers_read_rate(header, header, 16)
        .set_keepalive(KEEP_ALIVE);
    let builder = server_builder("http").listen("callers", listener, async move |_| {
        let worker = Worker {
            shared: shared.clone(),
            dialect: dialect.clone(),
            conns: upstream::Pool::new(),
            watches: RefCell::default(),
            client_connections: ClientConnections::new(),
        };
        rt::spawn(close_idle_callers(shared.clone(), worker.client_connections.clone()));
        rt::spawn(worker.client_connections.clone().hold_stop(shared.clone()));
        rt::spawn(prune(worker.conns.clone()));
        let worker = Rc::new(worker);
        rt::spawn(probe_lost_paths(worker.clone()));
        serve::limit_unread(HttpService::h1(ntex::fn_service(move |request: http::Request| {
            handler::serve(worker.clone(), request)
        })))
    });
    let builder = builder.map_err(|e| e.to_string())?;
    Ok(builder.config("callers", SharedCfg::new("callers").add(config)).run())
}

/// Closes connections to backend servers that have been idle for too long.
async fn prune(conns: upstream::Pool) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        conns.prune();
    }
}

/// Closes callers' idle connections once a planned stop has lasted for [`CLOSE_IDLE_AFTER`].
async fn close_idle_callers(shared: Arc<Shared>, callers: ClientConnections) {
    loop {
        sleep(POLL_INTERVAL).await;
        if shared.stopping_for().is_some_and(|time| time > CLOSE_IDLE_AFTER) {
            let closed = callers.close_idle();
            if closed > 0 {
                log::info!(closed = closed; "stopping: idle connections closed");
            }
        }
    }
}

/// Serves the readiness probe of the load balancer, the metrics and operators' statements.
fn serve_status(shared: Arc<Shared>, listener: TcpListener) -> Result<server::Server, String> {
    let builder = server_builder("status").listen("status", listener, async move |_| {
        let shared = shared.clone();
        serve::limit_unread(HttpService::h1(ntex::fn_service(move |request: http::Request| {
            let shared = shared.clone();
            async move { Ok::<Response, Never>(answer_status(shared, request).await) }
        })))
    });
    Ok(builder.map_err(|e| e.to_string())?.run())
}

/// Answers a readiness probe, a metrics scrape or an operator's statement.
async fn answer_status(shared: Arc<Shared>, mut request: http::Request) -> Response {
    if request.path() != QUERY_PATH {
        return status(&shared, &request);
    }
    let author = match operator::author(&shared, request.headers()) {
        Ok(author) => author,
        Err(error) => return error_response::build(&error, false),
    };
    let mut payload = request.take_payload();
    let mut statement = Vec::new();
    while let Some(Ok(chunk)) = stream_recv(&mut payload).await {
        statement.extend_from_slice(&chunk);
        if statement.len() > MAX_STATEMENT_BYTES {
            let error = Error::new(Kind::TooLarge, "the statement is too long");
            return error_response::build(&error, false);
        }
    }
    let text = String::from_utf8_lossy(&statement).into_owned();
    operator::execute(shared, &author, &text, request.headers()).await
}

fn status(shared: &Shared, request: &http::Request) -> Response {
    if request.path() == METRICS_PATH {
        shared.update_notice_gauges();
        return Response::Ok().content_type("text/plain; version=0.0.4").body(shared.metrics());
    }
    let ready = shared.ready();
    Response::new(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
