//! A small deployment on loopback addresses: the platform's store, workers, and instances of the program as separate
//! processes, with the settings that the template of the deploy file gives for `vpt-dispatch`.

use std::{
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Server, Store};

use crate::relay::Relay;

/// The program, as the deploy file builds it.
const PROGRAM: &str = "target/release/drumusher";
/// `DrainMs` of the deployment.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// `ContactMs` of the deployment.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// The key of the only tenant.
const KEY: &str = "key-of-vanua";
/// The zones, each with the number of its machines.
const ZONES: [(&str, usize); 4] =
    [("suva-hall", 3), ("nausori-hall", 2), ("lautoka-hall", 2), ("nadi-hall", 2)];
/// Longest wait for a state that comes in any case.
const LIMIT: Duration = Duration::from_secs(20);

/// An instance: one machine with its process.
pub struct Instance {
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub frontend: SocketAddr,
    /// Its path to the store.
    pub store_path: Relay,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The store, the workers and the instances. Dropping it ends the processes that it started.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The instances.
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store, and all machines together, and waits until they are ready with this configuration.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn start(configuration: &str) -> Result<Deployment, String> {
        let folder = std::env::temp_dir().join(format!("review-cases-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start().map_err(|error| error.to_string())?;
        store.hide_era();
        store.put("keyed.op", "config", configuration);
        let mut deployment = Deployment { store, instances: Vec::new(), folder };
        let process = std::process::id();
        for (zone, count) in ZONES {
            for number in 1..=count {
                let at = deployment.instances.len() + 1;
                let ip = format!("127.{}.{}.{at}", 1 + (process >> 8) % 250, process & 0xff);
                deployment.add_instance(&format!("edge-{zone}-{number}"), zone, &ip)?;
            }
        }
        let all: Vec<usize> = (0..deployment.instances.len()).collect();
        deployment.wait_ready(&all)?;
        Ok(deployment)
    }

    fn add_instance(&mut self, name: &str, zone: &str, ip: &str) -> Result<(), String> {
        let ports = free_ports(ip).map_err(|error| error.to_string())?;
        let [frontend, readiness, ..] = ports;
        let store_path = Relay::start(self.store.address).map_err(|error| error.to_string())?;
        let text = settings(name, zone, ports, store_path.address);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let name = name.into();
        self.instances.push(Instance {
            name,
            frontend,
            store_path,
            readiness,
            settings,
            log,
            child,
        });
        Ok(())
    }

    /// Waits until these instances are ready.
    ///
    /// # Errors
    ///
    /// If one is not within the limit.
    pub fn wait_ready(&self, instances: &[usize]) -> Result<(), String> {
        wait("the instances are ready", || {
            instances.iter().all(|at| self.instances[*at].is_ready())
        })
    }

    /// Registers a worker with the store.
    pub fn register(&self, worker: &Server, service: &str, state: &str, born: Option<u64>) {
        self.register_at(&worker.id, worker.address, service, state, born);
    }

    /// Registers a worker at an address with the store.
    pub fn register_at(
        &self,
        id: &str,
        address: SocketAddr,
        service: &str,
        state: &str,
        born: Option<u64>,
    ) {
        let born = born.map_or(String::new(), |born| format!(r#","born":{born}"#));
        let entry = format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"suva-hall","Version":"v1","Slots":48,"State":"{state}","WarmupLeftMs":0,"Sequence":1{born}}}"#,
            address
        );
        self.store.put("keyed.servers", id, &entry);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

impl Instance {
    /// Whether it answers the platform's question for readiness with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut connection = Connection::open(self.readiness)?;
            let head = "GET /drumusher/readiness HTTP/1.1\r\nHost: r\r\n\r\n";
            connection.stream.get_mut().write_all(head.as_bytes())?;
            Ok(connection.read()?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts its process again.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart(&mut self) -> Result<(), String> {
        // The template leaves `spread_ms` out after the first start of the whole system.
        let text = fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        let text = text.replace("spread_ms = 1000\n", "");
        fs::write(&self.settings, text).map_err(|error| error.to_string())?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Whether it last logged that it reads the store for the others.
    pub fn reads_store(&self) -> bool {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let mut lines = log.lines().rev();
        let last =
            lines.find(|line| line.contains("whether this instance reads the store for others"));
        last.is_some_and(|line| line.contains("true"))
    }
}

/// Waits for a condition.
///
/// # Errors
///
/// If it does not come within the limit.
pub fn wait(what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + LIMIT;
    while !condition() {
        if Instant::now() > until {
            return Err(format!("not within the limit: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let log = fs::File::options().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(PROGRAM);
    command.arg("serve").env("DRUMUSHER_SETTINGS", settings);
    let command = command.stdin(Stdio::null()).stdout(log).stderr(errors);
    command.spawn().map_err(|error| format!("{PROGRAM}: {error}"))
}

fn free_ports(ip: &str) -> io::Result<[SocketAddr; 4]> {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind((ip, 0))?);
    }
    let mut addresses = listeners.iter().map(TcpListener::local_addr);
    let mut next = || addresses.next().unwrap_or(Err(io::ErrorKind::NotFound.into()));
    Ok([next()?, next()?, next()?, next()?])
}

/// The settings as `deploy/settings.toml` has them, with the figures of `vpt-dispatch`.
fn settings(name: &str, zone: &str, ports: [SocketAddr; 4], store: SocketAddr) -> String {
    let [frontend, readiness, metrics, peer] = ports;
    let regions = ZONES.map(|(zone, _)| format!("\"{zone}\" = \"viti-levu\"\n")).concat();
    format!(
        "[instance]\nname = \"{name}\"\navailability_zone = \"{zone}\"\narea = \"viti-levu\"\n\
         http = \"{frontend}\"\nstatus = \"{readiness}\"\nmetrics = \"{metrics}\"\npeer = \"{peer}\"\n\
         cores = 0.25\nworkers = 1\n[regions]\n{regions}\
         [fleet]\nsecret = \"drumusher on the platform of its users\"\n\
         [store]\naddress = \"{store}\"\napply_ms = 2000\nspread_ms = 1000\n\
         [repeats]\nratio = 0.2\nslack = 58\nwindow_seconds = 10\n\
         [stop]\naccept_ms = 3000\nlongest_seconds = 8\n\
         [limits]\nrequests = 2048\nheader_seconds = 5\nmemory_mb = 260\n\
         [telemetry]\nlevel = \"info\"\nsample_every = 0\n\
         [decisions]\noff = [\"read_ahead\", \"unmeetable\", \"await_copies\"]\n"
    )
}

/// A configuration with one idempotent route to each service, whose prefix is the service's name.
pub fn configuration(version: u64, services: &[String]) -> String {
    let routes = services.iter().map(|service| {
        format!(
            r#"{{"Name":"r-{service}","Host":"host.example","PathPrefix":"/{service}/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"{service}","MaxAttempts":2,"Public":false}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = services.iter().map(|service| {
        format!(r#"{{"Name":"{service}","HealthPath":"/health","MaxConns":310,"Protocol":"h1","Tls":false}}"#)
    });
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"vanua","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// An answer whose whole body was read.
pub struct Answer {
    /// Status.
    pub status: u16,
}

/// A kept connection of a client.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    /// Connects; answers are awaited for 10 s.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Connection { stream: BufReader::new(stream) })
    }

    /// Sends a GET request with this attempt ID, and reads its answer.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn get(&mut self, path: &str, id: &str, deadline_ms: u64) -> io::Result<Answer> {
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: host.example\r\nDrumusher-Attempt-Id: {id}\r\n\
             Drumusher-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n\r\n"
        );
        self.stream.get_mut().write_all(head.as_bytes())?;
        self.read()
    }

    /// Sends a POST request for a stream, and reads its answer until it ends. Returns its status, whether it came to its
    /// end in the protocol, and the bytes of its body.
    ///
    /// # Errors
    ///
    /// Any I/O error before the body.
    pub fn stream(
        &mut self,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<(u16, bool, Vec<u8>)> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: host.example\r\nDrumusher-Attempt-Id: {id}\r\n\
             Drumusher-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: 1\r\n\r\nx"
        );
        self.stream.get_mut().write_all(head.as_bytes())?;
        let (mut status, mut chunked, mut length) = (0, false, None);
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if line.starts_with("http/1.1 ") {
                status = line.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0);
            }
            chunked |= line == "transfer-encoding: chunked";
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse::<usize>().ok();
            }
        }
        let mut body = Vec::new();
        if !chunked {
            body.resize(length.unwrap_or(0), 0);
            let complete = length.is_some() && self.stream.read_exact(&mut body).is_ok();
            return Ok((status, complete, body));
        }
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok((status, false, body));
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok((status, false, body));
            };
            let mut chunk = vec![0; size + 2];
            if self.stream.read_exact(&mut chunk).is_err() {
                return Ok((status, false, body));
            }
            if size == 0 {
                return Ok((status, true, body));
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    fn read(&mut self) -> io::Result<Answer> {
        let (mut status, mut length) = (0, 0);
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if line.starts_with("http/1.1 ") {
                status = line.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0);
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        Ok(Answer { status })
    }
}

/// A new attempt ID.
pub fn attempt_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed))
}
