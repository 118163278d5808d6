//! Starting and stopping an instance.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use drumusher_schedule::time::MILLISECOND;
use ntex::{
    io::Io,
    rt, server,
    time::{Millis, Seconds, sleep},
    web::{self, App, HttpServer},
};
use signal_hook::{consts::signal, iterator::Signals};

use super::{
    Shared, clock, dispatch,
    peers::{self, Peers, Rings},
    platform,
    shared::Receivers,
    telemetry::Telemetry,
};
use crate::{
    request::{attempt, http},
    settings::Settings,
};

/// Longest time a graceful end of the HTTP server may take once no request is held.
const LAST: Seconds = Seconds(2);
/// Part of the time allowed for a stop after which requests still held are cut, so that the process
/// ends by itself before it is killed.
const GRACE_USED: f64 = 0.85;
/// Time between two looks at whether all requests ended.
const LOOK: Millis = Millis(20);

/// Runs an instance until it is told to stop. Returns how many requests a second signal cut.
///
/// # Errors
///
/// A sentence, if it cannot start.
pub fn run(settings: Settings) -> Result<usize, String> {
    let http = listen(settings.http)?;
    run_with(settings, move |parts| {
        let Parts { shared, platform } = parts;
        follow_platform(shared.clone(), platform);
        Ok(vec![serve_http(shared, http)?])
    })
}

/// What the side towards callers and platform is made of.
pub struct Parts {
    /// What the threads share.
    pub shared: Arc<Shared>,
    /// The receiving end of the platform ring.
    pub platform: platform::Receiver,
}

/// Runs an instance whose side towards callers and platform is started by `start`, which returns
/// the servers of callers. Returns how many requests were cut.
///
/// # Errors
///
/// A sentence, if it cannot start.
pub fn run_with(
    settings: Settings,
    start: impl FnOnce(Parts) -> Result<Vec<server::Server>, String> + 'static,
) -> Result<usize, String> {
    let telemetry = Telemetry::new(&settings)?;
    let peer = listen(settings.peer)?;
    let (shared, receivers) = Shared::new(settings, telemetry);
    let hurried = watch_signals(shared.clone())?;
    let runner = rt::System::build().name("drumusher").build(rt::DefaultRuntime);
    runner.block_on(serve(shared, receivers, peer, hurried, start))
}

/// A socket that takes connections.
///
/// # Errors
///
/// A sentence, if the address cannot be had.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Reads the settings file again after a hang-up and tells what came of it. Addresses and bounds are
/// bound to the process, so that a change is in force after the next start.
fn reread(settings: &Settings) {
    let text = match std::fs::read_to_string(&settings.source) {
        Ok(text) => text,
        Err(error) => return log::error!("{}: {error}; the settings stay", settings.source),
    };
    match crate::settings::parse(&text) {
        Ok(read) => {
            let changed = read.with_source(&settings.source) != *settings;
            log::info!(changed = changed; "settings read again; a change holds from the next start");
        }
        Err(faults) => {
            for fault in faults {
                log::error!("{}: {fault}; the settings stay", settings.source);
            }
        }
    }
}

/// The first signal asks for a planned stop, the second one ends at once.
fn watch_signals(shared: Arc<Shared>) -> Result<Arc<AtomicBool>, String> {
    let mut signals = Signals::new([signal::SIGTERM, signal::SIGINT, signal::SIGHUP])
        .map_err(|e| e.to_string())?;
    let hurried = Arc::new(AtomicBool::new(false));
    let flag = hurried.clone();
    let watch = move || {
        for signal in signals.forever() {
            if signal == signal::SIGHUP {
                reread(&shared.settings);
            } else if shared.stop() {
                flag.store(true, Ordering::Release);
            } else {
                log::info!("stopping: not ready, requests in flight go on to their end");
            }
        }
    };
    let started = thread::Builder::new().name("signals".into()).spawn(watch);
    started.map_err(|e| e.to_string())?;
    Ok(hurried)
}

fn follow_platform(shared: Arc<Shared>, receiver: platform::Receiver) {
    let thread = rt::Arbiter::with_name("platform".into());
    thread.handle().spawn(async move {
        rt::spawn(platform::run(shared, receiver));
    });
}

async fn serve(
    shared: Arc<Shared>,
    receivers: Receivers,
    peer: TcpListener,
    hurried: Arc<AtomicBool>,
    start: impl FnOnce(Parts) -> Result<Vec<server::Server>, String>,
) -> Result<usize, String> {
    let Receivers { broker, dispatch, peers, platform } = receivers;
    let (replies, replies_receiver) = peers::replies();
    start_dispatch(shared.clone(), dispatch, replies)?;
    let rings = Rings { broker, peers, replies: replies_receiver };
    let peer_server = serve_peers(shared.clone(), peer, rings)?;
    let servers = start(Parts { shared: shared.clone(), platform })?;
    log::info!("instance {} serves {}", shared.name, shared.settings.http);
    let cut = stopped(&shared, &hurried).await;
    if cut == 0 {
        for server in servers {
            server.stop(true).await;
        }
    }
    peer_server.stop(false).await;
    shared.telemetry.flush();
    Ok(cut)
}

fn start_dispatch(
    shared: Arc<Shared>,
    receiver: dispatch::Receiver,
    replies: dispatch::Replies,
) -> Result<(), String> {
    let run = move || dispatch::run(shared, receiver, replies);
    let started = thread::Builder::new().name("dispatch".into()).spawn(run);
    started.map(drop).map_err(|e| e.to_string())
}

/// Serves the connections of other instances on one thread, which also owns the asks.
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
    let server = HttpServer::new(async move || {
        let shared = shared.clone();
        let client = attempt::client(&shared.settings.backend).await;
        let client = client.expect("the options of the client are valid");
        App::new()
            .state(http::Worker { shared, client })
            .configure(http::routes)
            .default_service(web::route().to(http::unknown))
    });
    let server = server
        .workers(settings.workers)
        .disable_signals()
        .shutdown_timeout(LAST)
        .config(ntex::SharedCfg::new("http").add(config).build())
        .listen(listener)
        .map_err(|e| e.to_string())?;
    Ok(server.run())
}

/// Waits for a stop to be asked for, goes on accepting while the balancer lags, and then until no
/// request is held. Returns how many requests were cut because a second signal came.
async fn stopped(shared: &Shared, hurried: &AtomicBool) -> usize {
    while !shared.stopping() {
        sleep(LOOK).await;
    }
    let accept = shared.settings.stop_accept_ms * MILLISECOND;
    let longest = (shared.settings.stop_longest_ms * MILLISECOND) as f64 * GRACE_USED;
    let since = clock::now();
    loop {
        let held = shared.requests.load(Ordering::Acquire);
        let lasted = clock::now() - since;
        if hurried.load(Ordering::Acquire) || lasted as f64 >= longest {
            return held;
        }
        if held == 0 && lasted >= accept {
            return 0;
        }
        sleep(LOOK).await;
    }
}
