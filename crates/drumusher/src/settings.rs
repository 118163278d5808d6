//! The settings of one instance: TOML, checked as a whole.
//!
//! Every fault is reported at once with its key and the reason. `settings.example.toml` documents
//! each key with its default.

mod reader;

use std::{collections::BTreeMap, fmt, net::SocketAddr, ops::RangeInclusive};

use drumusher_schedule::policy::Switches;

use self::reader::Reader;

/// Processor times that an instance can have, in thousandths of a core.
pub const CAPACITIES: RangeInclusive<u32> = 1..=1_024_000;

/// Whether a text can name an instance or an availability zone: letters, digits, '-', '_' and '.'.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !text.is_empty() && text.bytes().all(allowed)
}

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The dotted key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The file they were read from.
    pub source: String,
    /// Its name, the same as in the platform's list.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// The area whose instances and backend servers form one pool; the availability zone unless
    /// set.
    pub area: String,
    /// Where the balancer asks whether it is ready, if not at `http`.
    pub status: Option<SocketAddr>,
    /// Where its metrics are read, if not at `http`.
    pub metrics: Option<SocketAddr>,
    /// The platform's store; with it there is no log service and no list of instances.
    pub store: Option<Store>,
    /// What one instance at a time does for the platform, if there is such.
    pub duties: Option<Duties>,
    /// Bound on the repeats that all instances send a service.
    pub repeats: Repeats,
    /// Longest time from the order to stop until the end, in milliseconds.
    pub stop_longest_ms: u64,
    /// Where callers and operators reach it.
    pub http: SocketAddr,
    /// Where it listens for other instances.
    pub peer: SocketAddr,
    /// The address that other instances are told; `peer` unless set, for instances that are reached
    /// through a forwarder.
    pub advertise: SocketAddr,
    /// Its processor time in thousandths of a core: roles are rather given to instances with more.
    pub capacity: u32,
    /// Threads that serve HTTP.
    pub workers: usize,
    /// Known to all instances, at least 16 characters.
    pub fleet_secret: String,
    /// With a store: an instance that was out of reach for so long, in milliseconds, is taken off the
    /// table of instances. It enters itself again when it is back.
    pub forget_ms: u64,
    /// Instances to ask for the configuration when the platform is away.
    pub seeds: Vec<SocketAddr>,
    /// The platform's log service.
    pub log_service: SocketAddr,
    /// The platform's list of instances.
    pub members: SocketAddr,
    /// SHA-256 of operator keys in hexadecimal, by operator name.
    pub operators: BTreeMap<String, String>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Dealing with backend servers.
    pub backend: Backend,
    /// The mechanisms by which this instance decides as a dispatcher.
    pub decisions: Switches,
    /// The platform's budgets and intervals.
    pub platform: Platform,
    /// How long after the start a request waits for the configuration, in milliseconds. Until then the
    /// balancer sends requests here only if it has no better place, and a caller that is refused may ask
    /// once more, most likely at an instance that starts too.
    pub start_wait_ms: u64,
    /// How long to go on accepting after a stop was asked for, in milliseconds.
    pub stop_accept_ms: u64,
    /// What is told to the outside about itself.
    pub telemetry: Telemetry,
}

impl Settings {
    /// Names the file they were read from.
    pub fn with_source(mut self, source: &str) -> Self {
        self.source = source.into();
        self
    }
}

/// The platform's store of configuration and backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where it is.
    pub address: SocketAddr,
    /// Longest time to wait for a change in one call, in milliseconds.
    pub wait_ms: u64,
    /// The first call is made at a random moment of this time after the start, in milliseconds. Where all
    /// instances start at once and none is listed yet, the first ones then enter the others.
    pub spread_ms: u64,
}

/// What one instance at a time does for the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Where the platform takes the calls.
    pub address: SocketAddr,
    /// Whether the usage of workspaces is reported.
    pub usage_report: bool,
    /// Whether backend servers are ordered.
    pub autoscale: bool,
    /// Length of the lease, and least time between two spells of one instance with another's between them, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Whether the platform compares tokens, so that a conflict says that another has the duty.
    pub fenced: bool,
    /// Length of a window of usage, in milliseconds.
    pub window_ms: u64,
    /// How long after its end the usage of a window is due, in milliseconds.
    pub due_ms: u64,
    /// Calls a second that the platform takes from all instances.
    pub calls_per_second: f64,
}

impl Duties {
    /// The names of the duties in the settings.
    pub const NAMES: [&str; 2] = ["usage_report", "autoscale"];
}

/// Bound on the repeats that all instances send a service in a window of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top.
    pub slack: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

/// Bounds on what callers may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time to send the headers, in seconds.
    pub header_seconds: u16,
    /// Longest time to send the body, in milliseconds.
    pub body_ms: u64,
    /// Most requests held at once.
    pub requests: usize,
    /// Most requests waiting in a pool that this instance dispatches.
    pub queue: usize,
}

/// How backend servers are dealt with.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Longest time to connect, in milliseconds.
    pub connect_ms: u64,
    /// Longest time to the first byte of an answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Longest time between two pieces of an answer, in milliseconds.
    pub stall_ms: u64,
    /// Most attempts at one request.
    pub attempts: u32,
    /// Retries for each first attempt that the budget allows.
    pub retry_share: f64,
}

/// The platform's budgets and intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Appends a second that all instances together may make.
    pub appends_per_second: u32,
    /// Longest time to wait for a claim to be confirmed, in milliseconds.
    pub claim_ms: u64,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
    /// Time between two looks at the list, in milliseconds.
    pub members_ms: u64,
    /// Time between two load reports, in milliseconds.
    pub load_ms: u64,
    /// Records between two snapshots.
    pub snapshot_every: u64,
}

/// What is told to the outside about the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Telemetry {
    /// Lowest level of log lines.
    pub level: String,
    /// Base URL of an OTLP/HTTP collector.
    pub otlp: Option<String>,
    /// One request in this many is traced when its caller did not decide; 0 for none.
    pub sample_every: u32,
}

/// Reads and checks settings.
///
/// # Errors
///
/// Every fault at once.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let table: toml::Table = match text.parse() {
        Ok(table) => table,
        Err(error) => {
            let reason = error.to_string();
            return Err(vec![Fault { key: "(file)".into(), reason }]);
        }
    };
    let mut reader = Reader::new(table);
    let settings = read(&mut reader);
    reader.finish(settings)
}

fn read(reader: &mut Reader) -> Settings {
    let availability_zone = reader.name("instance.availability_zone");
    let store = reader.optional_address("store.address");
    let peer = reader.address("instance.peer");
    let wait_ms = reader.count("store.wait_ms", 4_000, 100, 30_000);
    let spread_ms = reader.count("store.spread_ms", 0, 0, 60_000);
    Settings {
        source: String::new(),
        name: reader.name("instance.name"),
        area: reader.optional_name("instance.area").unwrap_or(availability_zone.clone()),
        availability_zone,
        status: reader.optional_address("instance.status"),
        metrics: reader.optional_address("instance.metrics"),
        duties: duties(reader),
        repeats: Repeats {
            ratio: reader.number("repeats.ratio", 0.2, 0.0, 10.0),
            slack: reader.number("repeats.slack", 20.0, 0.0, 1e6),
            window_ms: (reader.number("repeats.window_seconds", 10.0, 0.1, 3_600.0) * 1e3) as u64,
        },
        stop_longest_ms: (reader.number("stop.longest_seconds", 600.0, 1.0, 86_400.0) * 1e3) as u64,
        http: reader.address("instance.http"),
        advertise: reader.optional_address("instance.advertise").unwrap_or(peer),
        peer,
        capacity: (reader.number("instance.cores", 1.0, 0.001, 1_024.0) * 1e3) as u32,
        workers: reader.count("instance.workers", 2, 1, 256) as usize,
        fleet_secret: reader.secret("fleet.secret"),
        forget_ms: (reader.number("fleet.forget_seconds", 600.0, 1.0, 86_400.0) * 1e3) as u64,
        seeds: reader.addresses("fleet.seeds"),
        log_service: reader.address_unless("platform.log", store.is_some()),
        members: reader.address_unless("platform.members", store.is_some()),
        store: store.map(|address| Store { address, wait_ms, spread_ms }),
        operators: reader.operators("operators"),
        limits: Limits {
            body_bytes: reader.count("limits.body_bytes", 1_048_576, 1_024, 67_108_864) as usize,
            header_seconds: reader.count("limits.header_seconds", 10, 1, 600) as u16,
            body_ms: reader.count("limits.body_ms", 10_000, 100, 600_000),
            requests: reader.count("limits.requests", 8_192, 1, 1_000_000) as usize,
            queue: reader.count("limits.queue", 10_000, 1, 1_000_000) as usize,
        },
        backend: Backend {
            connect_ms: reader.count("backend.connect_ms", 500, 10, 60_000),
            first_byte_ms: reader.count("backend.first_byte_ms", 20_000, 100, 3_600_000),
            stall_ms: reader.count("backend.stall_ms", 5_000, 50, 600_000),
            attempts: reader.count("backend.attempts", 4, 1, 32) as u32,
            retry_share: reader.share("backend.retry_share", 0.2),
        },
        decisions: reader.switches("decisions.off"),
        platform: Platform {
            appends_per_second: reader.count("platform.appends_per_second", 300, 1, 1_000_000)
                as u32,
            claim_ms: reader.count("platform.claim_ms", 2_000, 50, 60_000),
            retention_ms: reader.count("platform.retention_ms", 3_600_000, 1_000, u64::MAX >> 12),
            members_ms: reader.count("platform.members_ms", 500, 20, 60_000),
            load_ms: reader.count("platform.load_ms", 250, 20, 60_000),
            snapshot_every: reader.count("platform.snapshot_every", 500, 1, 1_000_000),
        },
        start_wait_ms: reader.count("start.wait_ms", 1_500, 0, 60_000),
        stop_accept_ms: reader.count("stop.accept_ms", 5_000, 0, 600_000),
        telemetry: Telemetry {
            level: reader.level("telemetry.level"),
            otlp: reader.url("telemetry.otlp"),
            sample_every: reader.count("telemetry.sample_every", 1, 0, 1_000_000) as u32,
        },
    }
}

/// The duties, if the platform takes calls of any. Names that are not known are passed over: they are of duties
/// of a later version, and no reason not to serve.
fn duties(reader: &mut Reader) -> Option<Duties> {
    let address = reader.optional_address("duties.address");
    let names = reader.names("duties.names");
    let has = |name: &str| names.iter().any(|other| other == name);
    let seconds_as_ms = |seconds: f64| (seconds * 1e3) as u64;
    let duties = Duties {
        address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        usage_report: has(Duties::NAMES[0]),
        autoscale: has(Duties::NAMES[1]),
        lease_ms: reader.count("duties.lease_ms", 3_000, 500, 600_000),
        fenced: reader.flag("duties.fenced", false),
        window_ms: seconds_as_ms(reader.number("duties.window_seconds", 60.0, 0.1, 86_400.0)),
        due_ms: seconds_as_ms(reader.number("duties.due_seconds", 10.0, 0.1, 86_400.0)),
        calls_per_second: reader.number("duties.calls_per_second", 10.0, 0.01, 1e6),
    };
    address.map(|_| duties)
}
