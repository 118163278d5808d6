//! Startup and shutdown of an instance.

use std::{
    net::TcpListener,
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use drumusher_platform::unread;
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    SharedCfg,
    http::HttpService,
    io::Io,
    rt, server,
    service::{ServiceFactory, chain_factory, fn_service},
    time::{Millis, Seconds, sleep},
    web::{self, App},
};
use signal_hook::{consts::signal, flag, iterator::Signals};

use super::{
    Shared, clock, dispatch,
    peers::{self, Peers, Rings},
    platform,
    shared::Receivers,
    stop::Schedule,
    telemetry::Telemetry,
};
use crate::{
    client_connections::ClientConnections,
    request::{attempt, http},
    settings::Settings,
};

/// Interval at which shutdown checks for requests in flight.
const POLL_INTERVAL: Millis = Millis(20);
/// Longest wait for requests to end that are cut.
const CUT_TIME: Micros = 100 * MILLISECOND;
/// Interval at which the time limit of a stop is checked.
const EXIT_POLL: Duration = Duration::from_millis(50);
/// Exit code of a process whose stop reached its time limit.
const EXIT_LATE: i32 = 1;

/// Runs an instance until it is told to stop. Returns the number of requests that were cut.
///
/// # Errors
///
/// A message for the operator if the instance cannot start.
pub fn run(settings: Settings) -> Result<usize, String> {
    let http = listen(settings.http)?;
    run_with(settings, move |parts| {
        let Parts { shared, platform } = parts;
        start_platform(shared.clone(), platform);
        Ok(vec![serve_http(shared, http)?])
    })
}

/// Arguments for starting the servers for callers and the platform thread.
pub struct Parts {
    /// State shared by the threads.
    pub shared: Arc<Shared>,
    /// Input of the platform thread.
    pub platform: platform::Receiver,
}

/// Runs an instance whose caller-facing servers and platform thread are started by `start`, which returns the
/// servers. Returns the number of requests that were cut.
///
/// # Errors
///
/// A message for the operator if the instance cannot start.
pub fn run_with(
    settings: Settings,
    start: impl FnOnce(Parts) -> Result<Vec<server::Server>, String> + 'static,
) -> Result<usize, String> {
    let telemetry = Telemetry::new(&settings)?;
    let peer = listen(settings.peer)?;
    let (shared, receivers) = Shared::new(settings, telemetry);
    let forced = watch_signals(shared.clone())?;
    let runner = rt::System::build().name("drumusher").build(rt::DefaultRuntime);
    runner.block_on(serve(shared, receivers, peer, forced, start))
}

/// Binds a listening socket.
///
/// # Errors
///
/// A message for the operator if the address cannot be bound.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Checks the settings file again on SIGHUP and logs the result. Nothing is applied: addresses and limits are
/// bound to the process, so a change takes effect at the next start.
fn check_settings(settings: &Settings) {
    let text = match std::fs::read_to_string(&settings.source) {
        Ok(text) => text,
        Err(error) => return log::error!("{}: {error}; the settings stay", settings.source),
    };
    match crate::settings::parse(&text) {
        Ok(read) => {
            let changed = read.with_source(&settings.source) != *settings;
            log::info!(changed = changed; "settings read again; a change takes effect at the next start");
        }
        Err(faults) => {
            for fault in faults {
                log::error!("{}: {fault}; the settings stay", settings.source);
            }
        }
    }
}

/// The first SIGTERM or SIGINT starts a planned stop, and a later SIGINT ends the process at once. A later SIGTERM changes
/// nothing: supervisors repeat it.
fn watch_signals(shared: Arc<Shared>) -> Result<Arc<AtomicBool>, String> {
    let mut signals = Signals::new([signal::SIGTERM, signal::SIGINT, signal::SIGHUP])
        .map_err(|e| e.to_string())?;
    for signal in [signal::SIGTERM, signal::SIGINT] {
        flag::register(signal, shared.stop_signalled.clone()).map_err(|e| e.to_string())?;
    }
    let forced = Arc::new(AtomicBool::new(false));
    let force = forced.clone();
    let watch = move || {
        for signal in signals.forever() {
            if signal == signal::SIGHUP {
                check_settings(&shared.settings);
            } else if !shared.stop() {
                log::info!("stopping: reporting not ready, requests in flight run to completion");
                limit_stop(shared.clone());
            } else if signal == signal::SIGINT {
                force.store(true, Ordering::Release);
            }
        }
    };
    let spawned = thread::Builder::new().name("signals".into()).spawn(watch);
    spawned.map_err(|e| e.to_string())?;
    Ok(forced)
}

/// Ends the process once its stop has reached its time limit. Runs on a thread of its own, which nothing else delays.
fn limit_stop(shared: Arc<Shared>) {
    let Some(schedule) = shared.stop_schedule() else { return };
    let wait = move || {
        while clock::now() < schedule.exit_at {
            thread::sleep(EXIT_POLL);
        }
        let in_flight = shared.requests.load(Ordering::Acquire);
        log::error!(in_flight = in_flight; "stopping: the time limit is reached, the process exits");
        log::logger().flush();
        process::exit(EXIT_LATE);
    };
    if let Err(error) = thread::Builder::new().name("stop".into()).spawn(wait) {
        log::error!("the time limit of the stop is not enforced: {error}");
    }
}

fn start_platform(shared: Arc<Shared>, receiver: platform::Receiver) {
    let thread = rt::Arbiter::with_name("platform".into());
    thread.handle().spawn(async move {
        rt::spawn(platform::run(shared, receiver));
    });
}

async fn serve(
    shared: Arc<Shared>,
    receivers: Receivers,
    peer: TcpListener,
    forced: Arc<AtomicBool>,
    start: impl FnOnce(Parts) -> Result<Vec<server::Server>, String>,
) -> Result<usize, String> {
    let Receivers { broker, dispatch, peers, platform } = receivers;
    let (replies, replies_receiver) = peers::replies();
    start_dispatch(shared.clone(), dispatch, replies)?;
    let rings = Rings { broker, peers, replies: replies_receiver };
    let peer_server = serve_peers(shared.clone(), peer, rings)?;
    let servers = start(Parts { shared: shared.clone(), platform })?;
    log::info!("instance {} serves {}", shared.name, shared.settings.http);
    // They run until the process exits: a server that is stopped drops connections that it has accepted but not read.
    let _servers = (peer_server, servers);
    let cut = wait_for_stop(&shared, &forced).await;
    if cut > 0 {
        log::warn!("ended before all requests did; requests cut: {cut}");
    }
    shared.telemetry.flush();
    Ok(cut)
}

fn start_dispatch(
    shared: Arc<Shared>,
    receiver: dispatch::Receiver,
    replies: dispatch::Replies,
) -> Result<(), String> {
    let run = move || dispatch::run(shared, receiver, replies);
    let spawned = thread::Builder::new().name("dispatch".into()).spawn(run);
    spawned.map(drop).map_err(|e| e.to_string())
}

/// Serves connections from other instances on one thread, which also runs the broker.
fn serve_peers(
    shared: Arc<Shared>,
    listener: TcpListener,
    rings: Rings,
) -> Result<server::Server, String> {
    let server = server::build().name("peers").workers(1).disable_signals();
    let listening = server.listen("peers", listener, async move |_| {
        let peers = Peers::start(shared.clone(), rings.clone());
        ntex::fn_service(move |io: Io| {
            let peers = peers.clone();
            async move {
                peers.accepted(io).await;
                Ok::<_, ()>(())
            }
        })
    });
    listening.map(|builder| builder.run()).map_err(|e| e.to_string())
}

fn serve_http(shared: Arc<Shared>, listener: TcpListener) -> Result<server::Server, String> {
    let settings = shared.settings.clone();
    let header = Seconds(settings.limits.header_seconds);
    let config = ntex::http::HttpServiceConfig::new()
        .set_headers_read_rate(header, header, 16)
        .set_keepalive(Seconds(75));
    let server = server::build().name("http").workers(settings.workers).disable_signals();
    let listening = server.listen("http", listener, async move |_| {
        let shared = shared.clone();
        let client = attempt::Client::new(&shared.settings.backend);
        rt::spawn(client.clone().prune());
        let client_connections = ClientConnections::new();
        rt::spawn(client_connections.clone().hold_stop(shared.clone()));
        let app = App::new()
            .state(http::Worker { shared, client, client_connections })
            .configure(http::routes)
            .default_service(web::route().to(http::unknown));
        limit_unread(HttpService::new(app))
    });
    let builder = listening.map_err(|e| e.to_string())?;
    Ok(builder.config("http", SharedCfg::new("http").add(config)).run())
}

/// Wraps a service for connections, so that each of them ends if it holds too many bytes that can't be parsed.
pub fn limit_unread<S>(
    service: S,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = S::Error, InitError = ()>
where
    S: ServiceFactory<Io, SharedCfg, Response = (), InitError = ()>,
{
    let limit = async |io: Io| Ok(unread::limit(io));
    chain_factory(fn_service(limit)).and_then(service)
}

/// Waits until a stop is requested, keeps accepting requests for as long as the load balancer may still send
/// them, and then waits until none is in flight. Returns the number of requests that were cut because of a
/// second signal or because the time for the stop ran out.
async fn wait_for_stop(shared: &Shared, forced: &AtomicBool) -> usize {
    // A process that stood still may get here before the signal is handled, so the time of the check before counts.
    let mut before = clock::now();
    while !shared.stopping() {
        shared.record_running(before);
        before = clock::now();
        sleep(POLL_INTERVAL).await;
    }
    let accept_for = shared.settings.stop_accept_ms * MILLISECOND;
    let stop_began = clock::now();
    let cut_at = Schedule::new(stop_began, shared.settings.stop_longest_ms).cut_at;
    loop {
        let undelivered = shared.undelivered.load(Ordering::Acquire);
        let in_flight = shared.requests.load(Ordering::Acquire).max(undelivered);
        let elapsed = clock::now() - stop_began;
        if forced.load(Ordering::Acquire) || clock::now() >= cut_at {
            if in_flight > 0 {
                let waiting = shared.waiting.load(Ordering::Acquire);
                log::warn!(in_flight = in_flight, waiting = waiting; "stopping: requests in flight are cut");
                cut_requests(shared).await;
            }
            return in_flight;
        }
        let active = shared.active_workers.load(Ordering::Acquire) > 0;
        if in_flight == 0 && elapsed >= accept_for && !active {
            return 0;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Cuts the requests in flight, and waits until they have logged their ends.
async fn cut_requests(shared: &Shared) {
    shared.cut_requests();
    let until = clock::now() + CUT_TIME;
    while shared.requests.load(Ordering::Acquire) > 0 && clock::now() < until {
        sleep(POLL_INTERVAL).await;
    }
}
