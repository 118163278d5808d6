//! A deployment on the loopback network: a store, backend servers and instances.

pub mod early;
mod gateway;
mod request;
mod response;

pub use gateway::{Link, Links};
pub use request::Request;
pub use response::{Response, read_response};

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use drumusher_adapter_stand_in::{Server, Store, store::Endpoint};
use drumusher_bench::fleet::{Relay, wait_for};

/// The service that handles plain requests.
pub const DESK: &str = "desk";
/// The service that handles streams.
pub const MODEL: &str = "model";
/// An API key of workspace `vanua`.
pub const KEY: &str = "key-of-vanua";
/// Settings with one operator, whose key is `test`.
pub const OPERATOR: &str = "[operators]\n\
    desk = \"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\"\n";
/// Minimum path length, in bytes, of the filler routes of a large configuration.
const LARGE_PATH: usize = 480;
/// Attempts to start an instance on free ports.
const MAX_START_ATTEMPTS: usize = 20;
/// Longest wait for the next byte of a response. Only keeps a test from hanging; it is no performance
/// bound.
const READ_TIMEOUT: Duration = Duration::from_secs(45);

/// An instance that runs as a separate process.
pub struct Instance {
    /// The address for requests of callers.
    pub http_address: SocketAddr,
    /// The address for readiness, metrics and operator queries.
    pub status_address: SocketAddr,
    /// The store endpoint that only this instance uses, so that a test can fail it alone.
    pub store_endpoint: Endpoint,
    /// The relays in front of its connections, if the deployment has relays.
    pub relays: Option<Relays>,
    /// Number of times that its process was started.
    pub starts: u32,
    settings: PathBuf,
    log_file: PathBuf,
    child: Child,
}

/// Relays through which a test disturbs the connections of an instance.
pub struct Relays {
    /// Connections from callers.
    pub callers: Relay,
    /// Connections from other instances.
    pub peers: Relay,
    /// Connections to the store.
    pub store: Relay,
}

/// A store, backend servers and instances. Dropping it kills the instances.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// How long one store call of an instance waits for a change, in milliseconds.
    pub wait_ms: u64,
    dir: PathBuf,
    with_relays: bool,
    keep_logs: bool,
}

/// The configuration of the tests, in the form in which operators write it. `extra` adds a route of that
/// name unless it is empty.
pub fn configuration(version: u64, extra: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, rest: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"host.example","PathPrefix":"/{name}/","RouteType":"{kind}","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"{service}","MaxAttempts":{attempts}{rest}}}"#
        )
    };
    let mut routes = vec![
        route("read", "idempotent", DESK, 2, ""),
        route("book", "non_idempotent", DESK, 2, ""),
        route("open", "idempotent", DESK, 1, r#","Public":true"#),
        route("draft", "streaming", MODEL, 2, r#","TargetGapMs":200,"Resumable":false"#),
        route("talk", "streaming", MODEL, 2, r#","TargetGapMs":200,"Resumable":true"#),
    ];
    if !extra.is_empty() {
        routes.push(route(extra, "idempotent", DESK, 1, ""));
    }
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"{DESK}","HealthPath":"/health","MaxConns":50}},{{"Name":"{MODEL}","MaxConns":50,"Engine":{{"Slots":8}}}}],"Limits":{{"MaxHeaderBytes":2000,"MaxBodyBytes":5000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"vanua","ApiKeys":["{KEY}"],"Priority":0}}]}}"#,
        routes.join(",")
    )
}

/// The value of an environment variable with a size, or the default.
pub fn size(variable: &str, default: usize) -> usize {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The same configuration with about `bytes` more bytes of routes, whose pseudo-random paths hardly
/// compress.
pub fn large_configuration(version: u64, extra: &str, bytes: usize) -> String {
    let mut digits = 0x2545_f491_4f6c_dd1d_u64;
    let mut path = || {
        let mut path = String::new();
        while path.len() < LARGE_PATH {
            digits ^= digits << 13;
            digits ^= digits >> 7;
            digits ^= digits << 17;
            path.push_str(&format!("{digits:016x}"));
        }
        path
    };
    let count = bytes / LARGE_PATH;
    let routes = (0..count).map(|number| {
        format!(
            r#"{{"Name":"r{number}","Host":"idle.example","PathPrefix":"/{}/","RouteType":"idempotent","TimeoutMs":3000,"Service":"{DESK}"}}"#,
            path()
        )
    });
    let routes: Vec<String> = routes.collect();
    configuration(version, extra).replacen(
        "\"Routes\":[",
        &format!("\"Routes\":[{},", routes.join(",")),
        1,
    )
}

impl Deployment {
    /// A configured deployment of `instances` instances and two backend servers for each service.
    pub fn new(instances: usize) -> Self {
        let deployment = Deployment::unconfigured(instances);
        deployment.store.put("keyed.op", "config", &configuration(1, ""));
        deployment.wait_serving();
        deployment
    }

    /// The same deployment, whose requests may outlast a stop.
    pub fn with_long_timeouts(instances: usize) -> Self {
        let deployment = Deployment::new(instances);
        let routes = configuration(2, "next").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":15000");
        deployment.store.put("keyed.op", "config", &routes);
        for at in 0..instances {
            wait_for("the configuration is in force", || {
                let response = deployment.send(at, &Request::get("/next/"));
                response.expect("a response").status != 404
            });
        }
        deployment
    }

    /// The same deployment before a configuration is written.
    pub fn unconfigured(instances: usize) -> Self {
        let mut deployment = Deployment::empty(false);
        for (id, service) in [("d1", DESK), ("d2", DESK), ("m1", MODEL), ("m2", MODEL)] {
            deployment.add_server(id, service);
        }
        for number in 0..instances {
            deployment.add_instance(&format!("i{number}"));
        }
        deployment
    }

    /// A store without servers and instances. Instances that are added get relays if `with_relays` is set.
    pub fn empty(with_relays: bool) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("drumusher-routes-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("the test directory is created");
        let store = Store::start().expect("the store starts");
        Deployment {
            store,
            servers: Vec::new(),
            instances: Vec::new(),
            wait_ms: 1_500,
            dir,
            with_relays,
            keep_logs: false,
        }
    }

    /// Starts a backend server and registers it in the store.
    pub fn add_server(&mut self, id: &str, service: &str) {
        let server = Server::start(id).expect("the server starts");
        self.store.put("keyed.servers", id, &server.entry(service, "ready"));
        self.servers.push(server);
    }

    /// Starts a backend server behind a proxy and registers the proxy's address in the store.
    pub fn add_server_behind(&mut self, id: &str, service: &str, links: &Links) {
        let server = Server::start(id).expect("the server starts");
        let proxy = links.proxy(server.address).expect("the proxy starts");
        let entry = server.entry(service, "ready");
        let entry = entry.replace(&server.address.to_string(), &proxy.to_string());
        self.store.put("keyed.servers", id, &entry);
        self.servers.push(server);
    }

    /// Starts an instance.
    pub fn add_instance(&mut self, name: &str) {
        let store_endpoint = self.store.endpoint().expect("the store endpoint starts");
        self.add_instance_with(name, store_endpoint, "");
    }

    /// Starts an instance with this store endpoint and additional settings.
    pub fn add_instance_with(
        &mut self,
        name: &str,
        store_endpoint: Endpoint,
        extra_settings: &str,
    ) {
        let ip = next_loopback_ip();
        let log_file = self.dir.join(format!("{name}.log"));
        // Another process may take a port between its choice and its use, so starting is tried again on
        // other ports.
        let settings = self.dir.join(format!("{name}.toml"));
        let started = (0..MAX_START_ATTEMPTS).find_map(|_| {
            let [callers, status, peer] = free_ports(&ip);
            let relays =
                self.with_relays.then(|| Relays::new(callers, peer, store_endpoint.address));
            let store =
                relays.as_ref().map_or(store_endpoint.address, |relays| relays.store.address());
            let advertise = relays.as_ref().map_or(peer, |relays| relays.peers.address());
            let text = instance_settings(name, [callers, status, peer], advertise, store);
            let text = format!(
                "{text}wait_ms = {}\n[stop]\n{STOP_SETTINGS}{COMMON_SETTINGS}{extra_settings}",
                self.wait_ms
            );
            fs::write(&settings, text).expect("the settings are written");
            let child = start(&settings, &log_file, status)?;
            Some((callers, status, relays, child))
        });
        let (callers, status, relays, child) = started.expect("the instance starts");
        let starts = 1;
        self.instances.push(Instance {
            http_address: callers,
            status_address: status,
            store_endpoint,
            relays,
            starts,
            settings,
            log_file,
            child,
        });
    }

    /// Starts an instance again with other settings of its stop.
    pub fn set_stop(&mut self, instance: usize, settings: &str) {
        let instance = &mut self.instances[instance];
        let text = fs::read_to_string(&instance.settings).expect("the settings are read");
        let text = text.replace(STOP_SETTINGS, settings);
        fs::write(&instance.settings, text).expect("the settings are written");
        instance.kill();
        instance.restart();
    }

    /// Waits until every instance is ready and serves both services.
    pub fn wait_serving(&self) {
        for at in 0..self.instances.len() {
            wait_for("the instance is ready", || self.instances[at].ready());
            for path in ["/read/", "/talk/"] {
                wait_for("the instance serves", || {
                    self.send(at, &Request::get(path)).is_ok_and(|response| response.status == 200)
                });
            }
        }
    }

    /// The backend server with this ID.
    pub fn server(&self, id: &str) -> &Server {
        self.servers.iter().find(|server| server.id == id).expect("the server exists")
    }

    /// Number of times that the backend servers ran the request with this ID.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(|server| server.runs());
        runs.filter(|run| run.id == id).count()
    }

    /// Sends a request to an instance on a new connection and reads the response.
    ///
    /// # Errors
    ///
    /// Any I/O error before the head of the response is complete.
    pub fn send(&self, instance: usize, request: &Request) -> io::Result<Response> {
        let mut conn = self.connect(instance)?;
        conn.write_all(&request.bytes())?;
        read_response(&mut conn)
    }

    /// Keeps the directory with the log files when the deployment is dropped, and prints its path.
    pub fn keep_logs(&mut self) {
        self.keep_logs = true;
        println!("  log files are kept in {}", self.dir.display());
    }

    /// The settings file of an instance.
    pub fn settings(&self, instance: usize) -> &Path {
        &self.instances[instance].settings
    }

    /// Opens a connection to an instance.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn connect(&self, instance: usize) -> io::Result<TcpStream> {
        let conn = TcpStream::connect(self.instances[instance].http_address)?;
        conn.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(conn)
    }
}

impl Relays {
    fn new(callers: SocketAddr, peers: SocketAddr, store: SocketAddr) -> Relays {
        let [callers, peers, store] =
            [callers, peers, store].map(|target| Relay::new(target).expect("the relay starts"));
        Relays { callers, peers, store }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if !std::thread::panicking() && !self.keep_logs {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Instance {
    /// Whether the instance reports readiness, as a load balancer would ask it.
    pub fn ready(&self) -> bool {
        get_status(self.status_address, "/drumusher/readiness")
            .is_some_and(|response| response.status == 200)
    }

    /// Its metrics in the Prometheus text format, or an empty text if they cannot be read.
    pub fn metrics(&self) -> String {
        get_status(self.status_address, "/metrics")
            .map(|response| response.text())
            .unwrap_or_default()
    }

    /// The value of the first metric whose name and labels contain all these words, or zero if there is
    /// none yet.
    pub fn metric(&self, words: &[&str]) -> f64 {
        let metrics = self.metrics();
        let matches = |line: &&str| words.iter().all(|word| line.contains(word));
        let line = metrics.lines().filter(|line| !line.starts_with('#')).find(matches);
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
    }

    /// The sum of the metrics whose name begins so, over all their labels.
    pub fn metric_sum(&self, name: &str) -> f64 {
        let metrics = self.metrics();
        let lines = metrics.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// The ID of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal of this name to the process.
    pub fn signal(&self, signal: &str) {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &process]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill -s {signal} {process}");
    }

    /// The exit status of the process, or `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok()?
    }

    /// Starts the instance again at the same addresses after its process ended.
    pub fn restart(&mut self) {
        self.starts += 1;
        let started = (0..MAX_START_ATTEMPTS)
            .find_map(|_| start(&self.settings, &self.log_file, self.status_address));
        self.child = started.expect("the instance starts again");
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process is gone");
    }

    /// Starts the instance again at the same addresses without waiting for it, after its process ended.
    pub fn respawn(&mut self) {
        self.starts += 1;
        self.child = spawn(&self.settings, &self.log_file);
    }

    /// The log that its processes have written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

/// Runs an operator statement against an instance with the command line tool and returns its output.
pub fn operator_query(instance: &Instance, statement: &str) -> String {
    let result = Command::new(env!("CARGO_BIN_EXE_drumusher"))
        .args(["ask", "-a", &instance.status_address.to_string(), "-k", "test", statement])
        .output();
    let output = result.expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Settings that all instances share, written after the `[store]` section.
const COMMON_SETTINGS: &str = "[telemetry]\nsample_every = 0\n";
/// Settings of the stop of an instance, in the section of that name.
const STOP_SETTINGS: &str = "accept_ms = 300\nlongest_seconds = 8\n";

/// The settings of one instance, up to its `[store]` section.
fn instance_settings(
    name: &str,
    [callers, status, peer]: [SocketAddr; 3],
    advertise: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        "[instance]\nname = \"{name}\"\navailability_zone = \"z\"\narea = \"r\"\n\
         http = \"{callers}\"\nstatus = \"{status}\"\npeer = \"{peer}\"\n\
         advertise = \"{advertise}\"\nworkers = 1\n\
         [fleet]\nsecret = \"a secret of a test's fleet\"\nforget_seconds = 2\n\
         [store]\naddress = \"{store}\"\n"
    )
}

/// The next loopback address, one for each instance that this process starts.
fn next_loopback_ip() -> String {
    static INSTANCE: AtomicU32 = AtomicU32::new(0);
    let at = INSTANCE.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = (1 + (process >> 8) % 250, process & 0xff);
    format!("127.{high}.{low}.{}", 1 + at % 250)
}

/// Three different ports that are free at the moment.
fn free_ports(ip: &str) -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("the listener has an address"))
}

/// Starts an instance and waits until it listens on all its ports; `None` if it ended instead. An accepted
/// connection on one port does not prove it, since another process may have taken the next port; so the log
/// is checked too.
fn start(settings: &Path, log_file: &Path, status: SocketAddr) -> Option<Child> {
    let starts =
        || fs::read_to_string(log_file).unwrap_or_default().matches(LISTENING_MARKER).count();
    let before = starts();
    let mut child = spawn(settings, log_file);
    let mut ended = false;
    wait_for("the instance listens or ends", || {
        ended = child.try_wait().expect("the process can be polled").is_some();
        ended || starts() > before && TcpStream::connect(status).is_ok()
    });
    (!ended).then_some(child)
}

/// Part of the log line that an instance writes once it listens on all its ports.
const LISTENING_MARKER: &str = " serves ";

/// Spawns an instance that appends its log to a file.
fn spawn(settings: &Path, log_file: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log_file);
    let file = file.expect("the log file opens");
    Command::new(env!("CARGO_BIN_EXE_drumusher"))
        .arg("serve")
        .env("DRUMUSHER_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(file.try_clone().expect("the file handle is duplicated"))
        .stderr(file)
        .spawn()
        .expect("the program starts")
}

/// Sends a GET request to the status address; `None` if no response head arrives.
fn get_status(address: SocketAddr, path: &str) -> Option<Response> {
    let mut conn = TcpStream::connect(address).ok()?;
    conn.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    conn.write_all(head.as_bytes()).ok()?;
    read_response(&mut conn).ok()
}
