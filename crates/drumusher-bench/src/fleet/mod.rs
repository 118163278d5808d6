//! Stand-ins and instances on free ports, as a test or the demo needs them.

mod instance;
mod relay;

pub use instance::Instance;
pub use relay::{Mode, Relay};

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{
    client::{self, Response},
    stand_in::{self, Kind},
};

/// The operator's key in every fleet.
pub const OPERATOR_KEY: &str = "operator key of the fleet";
/// The secret of every fleet.
pub const FLEET_SECRET: &str = "a secret of a fleet that is started for a test";
/// Intervals of looks at the platform in tests.
const INTERVALS: &str = "members_ms = 50\nload_ms = 50";
/// Longest wait for any condition. Not a bound on speed: a condition that holds by then passes.
const LONGEST_WAIT: Duration = Duration::from_secs(45);

/// A backend server of a fleet.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// `engine` or `service`.
    pub kind: &'static str,
    /// The model or service it serves.
    pub serves: String,
    /// Whether the list calls it leaving.
    pub leaving: bool,
}

/// How to start stand-ins.
pub trait Starter {
    /// Starts a stand-in and returns its address.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    fn start(&mut self, kind: Kind) -> io::Result<SocketAddr>;
}

/// Stand-ins on threads of this process.
#[derive(Debug, Default)]
pub struct Threads;

impl Starter for Threads {
    fn start(&mut self, kind: Kind) -> io::Result<SocketAddr> {
        stand_in::start(kind)
    }
}

/// Stand-ins and instances that belong together. Dropped, its instances are killed.
pub struct Fleet<S: Starter = Threads> {
    /// The log service.
    pub log: SocketAddr,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The backend servers.
    pub backends: Vec<Backend>,
    starter: S,
    lists: Vec<(SocketAddr, usize)>,
    binary: PathBuf,
    folder: PathBuf,
    intervals: String,
    extra: String,
}

impl Fleet<Threads> {
    /// A fleet without instances, whose stand-ins run on threads of this process.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn new(binary: impl AsRef<Path>) -> io::Result<Self> {
        Fleet::with_starter(binary, Threads)
    }
}

impl<S: Starter> Fleet<S> {
    /// A fleet without instances, whose stand-ins `starter` starts.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn with_starter(binary: impl AsRef<Path>, mut starter: S) -> io::Result<Self> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("drumusher-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let log = starter.start(Kind::Log)?;
        Ok(Fleet {
            log,
            instances: Vec::new(),
            backends: Vec::new(),
            starter,
            lists: Vec::new(),
            binary: binary.as_ref().to_path_buf(),
            folder,
            intervals: INTERVALS.to_string(),
            extra: String::new(),
        })
    }

    /// Uses the default intervals of looks at the platform instead of the short ones of tests.
    pub fn with_default_intervals(mut self) -> Self {
        self.intervals.clear();
        self
    }

    /// Adds text to the settings of instances started from now on.
    pub fn with_settings(mut self, extra: &str) -> Self {
        self.extra = extra.to_string();
        self
    }

    /// Starts a backend server.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn add_backend(
        &mut self,
        kind: Kind,
        name: &str,
        zone: &str,
        serves: &str,
    ) -> io::Result<SocketAddr> {
        let address = self.starter.start(kind)?;
        let kind = if kind == Kind::Engine { "engine" } else { "service" };
        self.backends.push(Backend {
            name: name.into(),
            availability_zone: zone.into(),
            address,
            kind,
            serves: serves.into(),
            leaving: false,
        });
        self.publish()?;
        Ok(address)
    }

    /// Starts an instance with relays before everything it connects to, and waits until it lives.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn add_instance(&mut self, name: &str, zone: &str) -> io::Result<usize> {
        let list = self.starter.start(Kind::List)?;
        let number = self.instances.len();
        self.lists.push((list, number));
        let settings = (self.intervals.as_str(), self.extra.as_str());
        let instance = Instance::new(name, zone, self.log, list, &self.folder, settings)?;
        self.instances.push(instance);
        for (at, other) in self.instances.iter().enumerate() {
            if at != number {
                other.relay_to(&self.instances[number])?;
                self.instances[number].relay_to(other)?;
            }
        }
        self.publish()?;
        self.instances[number].start(&self.binary)?;
        Ok(number)
    }

    /// Starts an instance again that was killed or ended.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn restart(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].start(&self.binary)
    }

    /// Brings the lists in line with what is there. An instance sees the others through its relays.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn publish(&self) -> io::Result<()> {
        for (list, viewer) in &self.lists {
            let viewer = &self.instances[*viewer];
            let instances = self.instances.iter().filter(|instance| instance.listed);
            let mut members: Vec<Value> = instances.map(|other| viewer.sees(other)).collect();
            members.extend(self.backends.iter().map(|backend| {
                json!({
                    "name": backend.name,
                    "kind": backend.kind,
                    "availability_zone": backend.availability_zone,
                    "address": backend.address.to_string(),
                    "state": if backend.leaving { "leaving" } else { "live" },
                    "serves": [backend.serves],
                    "checks_orders": false,
                })
            }));
            let body = serde_json::to_string(&members)?;
            client::put(&list.to_string(), "/members", &body)?;
        }
        Ok(())
    }

    /// Waits until every instance is ready.
    pub fn wait_ready(&self) {
        for instance in self.instances.iter().filter(|instance| instance.listed) {
            wait_for(&format!("{} is ready", instance.name), || {
                let answer = client::get(&instance.http, "/health/ready", &[]);
                answer.is_ok_and(|answer| answer.status == 200)
            });
        }
    }

    /// Sends an operator's statement to an instance.
    ///
    /// # Errors
    ///
    /// Any error before the answer's head.
    pub fn ask(&self, number: usize, statement: &str) -> io::Result<Response> {
        let authorization = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", authorization.as_str())];
        client::post(&self.instances[number].http, "/operator/query", &headers, statement)
    }

    /// Sends an operator's command to an instance and panics unless it is accepted.
    pub fn command(&self, number: usize, statement: &str) {
        let response = self.ask(number, statement).expect("the instance answers");
        let answer = response.lines().first().map(|line| line["answer"].clone());
        assert_eq!(answer, Some(json!("accepted")), "{statement}: {}", response.body);
    }

    /// Creates the classes and workspaces that tests use; the key of workspace `w` is `key-w`.
    pub fn configure(&self) {
        self.command(0, "create class urgent tier = 0 first_token = 1500ms floor_every = 0");
        self.command(0, "create class summary tier = 2 first_token = 10s");
        self.command(0, "create class booking tier = 0 repeatable = false");
        for workspace in ["vanua", "hizlikosu"] {
            let digest = hex::encode(Sha256::digest(key(workspace)));
            let fields = format!("class = urgent key_sha256 = {digest}");
            self.command(0, &format!("create workspace {workspace} {fields}"));
        }
    }

    /// Waits until every listed instance sees the same configuration offset and all backend
    /// servers' pools.
    pub fn wait_converged(&self) {
        wait_for("the instances agree", || {
            let rows = self.ask(0, "show instances").map(|answer| answer.lines());
            let rows = rows.unwrap_or_default();
            let offsets: Vec<&Value> = rows.iter().map(|row| &row["next_offset"]).collect();
            let listed = self.instances.iter().filter(|instance| instance.listed).count();
            offsets.len() == listed && offsets.windows(2).all(|pair| pair[0] == pair[1])
        });
    }

    /// Where the folder with settings and log lines is.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl<S: Starter> Drop for Fleet<S> {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The API key of a workspace in a fleet.
pub fn key(workspace: &str) -> String {
    format!("key-{workspace}")
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold after a very long time.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < LONGEST_WAIT, "waited in vain until {what}");
        thread::park_timeout(Duration::from_millis(10));
    }
}
