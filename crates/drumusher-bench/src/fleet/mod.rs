//! Fleets of stand-ins and instances on free ports, for tests, the demo and measurements.

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

/// API key of the operator in every fleet.
pub const OPERATOR_KEY: &str = "operator key of the fleet";
/// Shared secret of the instances in every fleet.
pub const FLEET_SECRET: &str = "a secret of a fleet that is started for a test";
/// Settings that shorten the polling intervals of the member list and the load reports.
const SHORT_INTERVALS: &str = "members_ms = 50\nload_ms = 50";
/// Timeout of [`wait_for`]. Not a performance bound: a condition may take any time up to it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(45);

/// A backend server of a fleet.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// `engine` or `service`.
    pub kind: &'static str,
    /// Model or service that it serves.
    pub serves: String,
    /// Whether the member list reports it as leaving.
    pub leaving: bool,
}

/// A way to start stand-ins.
pub trait Starter {
    /// Starts a stand-in and returns its address.
    ///
    /// # Errors
    ///
    /// Any I/O error of starting it.
    fn start(&mut self, kind: Kind) -> io::Result<SocketAddr>;
}

/// Starts stand-ins on threads of the current process.
#[derive(Debug, Default)]
pub struct Threads;

impl Starter for Threads {
    fn start(&mut self, kind: Kind) -> io::Result<SocketAddr> {
        stand_in::start(kind)
    }
}

/// Stand-ins and the instances that use them. Kills its instances when dropped.
pub struct Fleet<S: Starter = Threads> {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    starter: S,
    /// Member lists, each with the index of the instance that reads it.
    lists: Vec<(SocketAddr, usize)>,
    binary: PathBuf,
    folder: PathBuf,
    /// Lines of the `[platform]` section in the settings of new instances.
    intervals: String,
    /// Text appended to the settings of new instances.
    extra: String,
}

impl Fleet<Threads> {
    /// Creates a fleet without instances whose stand-ins run on threads of the current process. Its instances run
    /// `binary`.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn new(binary: impl AsRef<Path>) -> io::Result<Self> {
        Fleet::with_starter(binary, Threads)
    }
}

impl<S: Starter> Fleet<S> {
    /// Creates a fleet without instances whose stand-ins are started by `starter`. Its instances run `binary`.
    ///
    /// # Errors
    ///
    /// Any I/O error.
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
            intervals: SHORT_INTERVALS.to_string(),
            extra: String::new(),
        })
    }

    /// Makes new instances poll the platform at the default intervals instead of the short ones of tests.
    pub fn with_default_intervals(mut self) -> Self {
        self.intervals.clear();
        self
    }

    /// Sets the text appended to the settings of new instances.
    pub fn with_settings(mut self, extra: &str) -> Self {
        self.extra = extra.to_string();
        self
    }

    /// Starts a backend server, publishes it on the member lists and returns its address.
    ///
    /// # Errors
    ///
    /// Any I/O error.
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

    /// Starts an instance whose connections to the platform and to other instances pass through relays. Returns its
    /// index without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Any I/O error.
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

    /// Restarts an instance whose process was killed or has exited.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn restart(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].start(&self.binary)
    }

    /// Updates the member lists of all instances. Each receives the addresses of its own relays as those of the others.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn publish(&self) -> io::Result<()> {
        for (list, reader) in &self.lists {
            let reader = &self.instances[*reader];
            let instances = self.instances.iter().filter(|instance| instance.listed);
            let mut members: Vec<Value> =
                instances.map(|other| reader.member_entry(other)).collect();
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

    /// Waits until every listed instance is ready.
    ///
    /// # Panics
    ///
    /// As [`wait_for`].
    pub fn wait_ready(&self) {
        for instance in self.instances.iter().filter(|instance| instance.listed) {
            wait_for(&format!("{} is ready", instance.name), || {
                let answer = client::get(&instance.http, "/health/ready", &[]);
                answer.is_ok_and(|answer| answer.status == 200)
            });
        }
    }

    /// Sends an operator's statement to an instance and returns the response.
    ///
    /// # Errors
    ///
    /// Any I/O error before the response head is received.
    pub fn ask(&self, number: usize, statement: &str) -> io::Result<Response> {
        let authorization = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", authorization.as_str())];
        client::post(&self.instances[number].http, "/operator/query", &headers, statement)
    }

    /// Sends an operator's command to an instance.
    ///
    /// # Panics
    ///
    /// If the instance doesn't answer or doesn't accept the command.
    pub fn command(&self, number: usize, statement: &str) {
        let response = self.ask(number, statement).expect("the instance responds");
        let answer = response.lines().first().map(|line| line["answer"].clone());
        assert_eq!(answer, Some(json!("accepted")), "{statement}: {}", response.body);
    }

    /// Creates the classes and workspaces that tests use. The API key of workspace `w` is `key-w`.
    ///
    /// # Panics
    ///
    /// As [`Fleet::command`].
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

    /// Waits until instance 0 shows every listed instance, all at the same configuration offset.
    ///
    /// # Panics
    ///
    /// As [`wait_for`].
    pub fn wait_converged(&self) {
        wait_for("all instances are at the same configuration offset", || {
            let rows = self.ask(0, "show instances").map(|answer| answer.lines());
            let rows = rows.unwrap_or_default();
            let offsets: Vec<&Value> = rows.iter().map(|row| &row["next_offset"]).collect();
            let listed = self.instances.iter().filter(|instance| instance.listed).count();
            offsets.len() == listed && offsets.windows(2).all(|pair| pair[0] == pair[1])
        });
    }

    /// Folder with the settings and log files of the instances.
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

/// API key of a workspace in a fleet.
pub fn key(workspace: &str) -> String {
    format!("key-{workspace}")
}

/// Waits until a condition holds, checking it every 10 ms.
///
/// # Panics
///
/// If it doesn't hold within 45 seconds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::park_timeout(Duration::from_millis(10));
    }
}
