//! Settings of an instance, read from a TOML file and validated as a whole.
//!
//! All errors are reported together, each with its key and reason. `settings.example.toml` documents every key and its
//! default.

mod reader;
mod regions;

use std::{collections::BTreeMap, fmt, net::SocketAddr, ops::RangeInclusive};

use drumusher_schedule::policy::Switches;

pub use self::regions::Regions;

use self::reader::Reader;

/// Valid CPU capacities of an instance, in thousandths of a core.
pub const CAPACITIES: RangeInclusive<u32> = 1..=1_024_000;

/// Returns whether a text is a valid name of an instance or availability zone: letters, digits, '-', '_' and '.'.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !text.is_empty() && text.bytes().all(allowed)
}

/// An error in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Dotted key.
    pub key: String,
    /// Reason why its value is invalid.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// File that the settings were read from.
    pub source: String,
    /// Name of the instance, the same as in the platform's member list.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Area, whose instances and backend servers form one pool. Defaults to the availability zone.
    pub area: String,
    /// The region of each availability zone, by name. Only needed if requests are restricted to regions.
    pub regions: Regions,
    /// Address for the load balancer's health checks, if not `http`.
    pub status: Option<SocketAddr>,
    /// Address that serves metrics, if not `http`.
    pub metrics: Option<SocketAddr>,
    /// The platform's store. If set, neither the log service nor the member list is used.
    pub store: Option<Store>,
    /// Duties that one instance at a time performs for the platform, if any.
    pub duties: Option<Duties>,
    /// Fleet-wide retry budget of each service.
    pub repeats: Repeats,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_longest_ms: u64,
    /// Address for clients and operators.
    pub http: SocketAddr,
    /// Listening address for other instances.
    pub peer: SocketAddr,
    /// Address announced to other instances. Defaults to `peer`; differs for instances behind a forwarder.
    pub advertise: SocketAddr,
    /// CPU capacity in thousandths of a core. Roles are assigned preferably to instances with more.
    pub capacity: u32,
    /// Number of HTTP worker threads.
    pub workers: usize,
    /// Secret shared by all instances, of at least 16 characters.
    pub fleet_secret: String,
    /// With a store: an instance that has been unreachable for this long, in milliseconds, is removed from the table
    /// of instances. It registers again when it is back.
    pub forget_ms: u64,
    /// Instances to fetch the configuration from when the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's log service.
    pub log_service: SocketAddr,
    /// Address of the platform's member list.
    pub members: SocketAddr,
    /// SHA-256 digests of operator keys in hexadecimal, by operator name.
    pub operators: BTreeMap<String, String>,
    /// Limits on client requests.
    pub limits: Limits,
    /// Timeouts and retries for backend servers.
    pub backend: Backend,
    /// Scheduling mechanisms that this instance uses as a dispatcher.
    pub decisions: Switches,
    /// Quotas and intervals of the platform.
    pub platform: Platform,
    /// Time after the start during which requests wait for the configuration, in milliseconds. During that time, the
    /// load balancer sends requests here only if no other instance is available, and a refused client may retry only
    /// once, most likely at another starting instance.
    pub start_wait_ms: u64,
    /// Time during which requests are still accepted after a stop was requested, in milliseconds.
    pub stop_accept_ms: u64,
    /// Logging, metrics and tracing.
    pub telemetry: Telemetry,
}

impl Settings {
    /// Sets the file that the settings were read from.
    pub fn with_source(mut self, source: &str) -> Self {
        self.source = source.into();
        self
    }
}

/// The platform's store of configuration and backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum time that one call waits for a change, in milliseconds.
    pub wait_ms: u64,
    /// Time without an answer after which an instance that reads the store for others checks that it answers, in
    /// milliseconds.
    pub check_ms: u64,
    /// The first call is made at a random time within this many milliseconds after the start. If all instances start
    /// together and none is registered yet, the first ones then register the others.
    pub spread_ms: u64,
}

/// Duties that one instance at a time performs for the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Address of the platform's duty API.
    pub address: SocketAddr,
    /// Whether to report the usage of workspaces.
    pub usage_report: bool,
    /// Whether to order backend servers (autoscaling).
    pub autoscale: bool,
    /// Duration of the lease, in milliseconds. It is also the minimum time between two terms of an instance when
    /// another instance held the lease in between.
    pub lease_ms: u64,
    /// Whether the platform checks fencing tokens, so that a conflict shows that another instance holds the duty.
    pub fenced: bool,
    /// Length of a usage window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a usage window by which its report is due, in milliseconds.
    pub due_ms: u64,
    /// Rate limit of the platform for calls from all instances, per second.
    pub calls_per_second: f64,
    /// Whether backend servers are ordered in cheap zones first; otherwise evenly.
    pub by_zone_price: bool,
}

impl Duties {
    /// Names of the duties in the settings.
    pub const NAMES: [&str; 2] = ["usage_report", "autoscale"];
}

/// Retry budget: bounds the retries that all instances together send to a service within a time window.
#[derive(Clone, Debug, PartialEq)]
pub struct Repeats {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Limits on client requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the headers, in seconds.
    pub header_seconds: u16,
    /// Maximum time to receive the body, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// Memory in megabytes beyond which the process is killed, if there is a limit. Half of it is for the bodies of
    /// requests and responses.
    pub memory_mb: Option<u64>,
    /// Maximum length of the queue of a pool that this instance dispatches.
    pub queue: usize,
}

/// Timeouts and retries for backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Connect timeout, in milliseconds.
    pub connect_ms: u64,
    /// Timeout for the first byte of a response, in milliseconds.
    pub first_byte_ms: u64,
    /// Timeout between two chunks of a response, in milliseconds.
    pub stall_ms: u64,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Retries that the budget allows per first attempt.
    pub retry_share: f64,
}

/// Quotas and intervals of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Log appends per second that all instances together may make.
    pub appends_per_second: u32,
    /// Maximum time to wait for the confirmation of a claim, in milliseconds.
    pub claim_ms: u64,
    /// Retention time of log records, in milliseconds.
    pub retention_ms: u64,
    /// Polling interval of the member list, in milliseconds.
    pub members_ms: u64,
    /// Interval between load reports, in milliseconds.
    pub load_ms: u64,
    /// Number of records between snapshots.
    pub snapshot_every: u64,
}

/// Logging, metrics and tracing.
#[derive(Clone, Debug, PartialEq)]
pub struct Telemetry {
    /// Minimum log level.
    pub level: String,
    /// Base URL of an OTLP/HTTP collector.
    pub otlp: Option<String>,
    /// Sampling: one request in this many is traced, unless the client decided; 0 disables tracing.
    pub sample_every: u32,
}

/// Parses and validates settings.
///
/// # Errors
///
/// All errors in the settings.
pub fn parse(text: &str) -> Result<Settings, Vec<Error>> {
    let table: toml::Table = match text.parse() {
        Ok(table) => table,
        Err(error) => {
            let reason = error.to_string();
            return Err(vec![Error { key: "(file)".into(), reason }]);
        }
    };
    let mut reader = Reader::new(table);
    let settings = read(&mut reader);
    reader.finish(settings)
}

/// Default time within which a change in the store has to be in force, in milliseconds.
const DEFAULT_APPLY_MS: u64 = 6_000;
/// Shortest default of `store.wait_ms`.
const MIN_STORE_WAIT_MS: u64 = 1_500;

/// How long a call to the store waits for a change if a change has to be in force within `apply_ms`: two thirds of it.
/// A change is delivered at once; only a reader whose answer was lost learns of it with its next call.
fn store_wait_ms(apply_ms: u64) -> u64 {
    (apply_ms * 2 / 3).clamp(MIN_STORE_WAIT_MS, 30_000)
}

/// Shortest default of `store.check_ms`.
const MIN_STORE_CHECK_MS: u64 = 500;

impl Store {
    /// Time after the store's latest answer for which a reader's records count as current, in milliseconds. Leaves time
    /// for the check and for two heartbeats.
    pub fn current_ms(&self) -> u64 {
        2 * self.check_ms
    }
}

fn read(reader: &mut Reader) -> Settings {
    let availability_zone = reader.name("instance.availability_zone");
    let store = reader.optional_address("store.address");
    let peer = reader.address("instance.peer");
    let apply_ms = reader.count("store.apply_ms", DEFAULT_APPLY_MS, 100, 600_000);
    let wait_ms = reader.count("store.wait_ms", store_wait_ms(apply_ms), 100, 30_000);
    let check_ms = (apply_ms / 4).max(MIN_STORE_CHECK_MS);
    let check_ms = reader.count("store.check_ms", check_ms, 100, 30_000);
    let spread_ms = reader.count("store.spread_ms", 0, 0, 60_000);
    Settings {
        source: String::new(),
        name: reader.name("instance.name"),
        area: reader.optional_name("instance.area").unwrap_or(availability_zone.clone()),
        regions: Regions::new(reader.names_by_key("regions")),
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
        store: store.map(|address| Store { address, wait_ms, check_ms, spread_ms }),
        operators: reader.operators("operators"),
        limits: Limits {
            body_bytes: reader.count("limits.body_bytes", 1_048_576, 1_024, 67_108_864) as usize,
            header_seconds: reader.count("limits.header_seconds", 10, 1, 600) as u16,
            body_ms: reader.count("limits.body_ms", 10_000, 100, 600_000),
            requests: reader.count("limits.requests", 8_192, 1, 1_000_000) as usize,
            memory_mb: Some(reader.number("limits.memory_mb", 0.0, 0.0, 1e6) as u64)
                .filter(|mb| *mb > 0),
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

/// Reads the duties, if the platform accepts any. Unknown names are ignored: they may belong to a later version and
/// are no reason to refuse to start.
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
        by_zone_price: reader.flag("duties.by_zone_price", true),
    };
    address.map(|_| duties)
}
