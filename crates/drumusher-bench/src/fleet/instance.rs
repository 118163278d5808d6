//! One instance as a process of its own.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::{FLEET_SECRET, OPERATOR_KEY, Relay};

/// One instance of a fleet.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers reach it.
    pub http: String,
    /// Where other instances reach it, behind their relays.
    pub peer: String,
    /// Between it and the log.
    pub log: Relay,
    /// Between it and the list.
    pub list: Relay,
    /// Whether the list has it.
    pub listed: bool,
    /// Whether the list calls it leaving.
    pub leaving: bool,
    settings: PathBuf,
    lines: PathBuf,
    peers: Mutex<Vec<(String, Relay)>>,
    child: Option<Child>,
}

/// An address of the loopback network that no other fleet uses, with two free ports. Outgoing
/// connections have another source address, so that they cannot take these ports meanwhile.
fn addresses() -> io::Result<(SocketAddr, SocketAddr)> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let ip = format!("127.{}.{}.{}", 16 + (process >> 8) % 200, process & 0xff, 1 + number % 250);
    let http = TcpListener::bind((ip.as_str(), 0))?;
    let peer = TcpListener::bind((ip.as_str(), 0))?;
    Ok((http.local_addr()?, peer.local_addr()?))
}

impl Instance {
    pub(super) fn new(
        name: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
        folder: &Path,
        (intervals, extra): (&str, &str),
    ) -> io::Result<Self> {
        let (http, peer) = addresses()?;
        let (log, list) = (Relay::new(log)?, Relay::new(list)?);
        let digest = hex::encode(Sha256::digest(OPERATOR_KEY));
        let text = format!(
            "[instance]\nname = \"{name}\"\navailability_zone = \"{zone}\"\n\
             http = \"{http}\"\npeer = \"{peer}\"\n\
             [fleet]\nsecret = \"{FLEET_SECRET}\"\n\
             [operators]\noperator = \"{digest}\"\n\
             [stop]\naccept_ms = 200\n\
             [platform]\nlog = \"{}\"\nmembers = \"{}\"\n{intervals}\n{extra}\n",
            log.address(),
            list.address(),
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Instance {
            name: name.into(),
            availability_zone: zone.into(),
            http: http.to_string(),
            peer: peer.to_string(),
            log,
            list,
            listed: true,
            leaving: false,
            lines: folder.join(format!("{name}.log")),
            settings,
            peers: Mutex::default(),
            child: None,
        })
    }

    /// Puts a relay between this instance and another one.
    pub(super) fn relay_to(&self, other: &Instance) -> io::Result<()> {
        let target = other.peer.parse().map_err(io::Error::other)?;
        let relay = Relay::new(target)?;
        let mut peers = self.peers.lock().expect("no holder panics");
        peers.push((other.name.clone(), relay));
        Ok(())
    }

    /// Another instance as the list tells it to this one.
    pub(super) fn sees(&self, other: &Instance) -> Value {
        let peers = self.peers.lock().expect("no holder panics");
        let relay = peers.iter().find(|(name, _)| *name == other.name);
        let address = relay.map_or(other.peer.clone(), |(_, relay)| relay.address().to_string());
        json!({
            "name": other.name,
            "kind": "instance",
            "availability_zone": other.availability_zone,
            "address": address,
            "state": if other.leaving { "leaving" } else { "live" },
            "serves": [],
            "checks_orders": false,
        })
    }

    /// Cuts or heals the way from this instance to another.
    pub fn cut_to(&self, other: &str, cut: bool) {
        let peers = self.peers.lock().expect("no holder panics");
        for (_, relay) in peers.iter().filter(|(name, _)| name == other) {
            relay.cut(cut);
        }
    }

    /// Bytes passed between this instance and the others it connected to, both ways.
    pub fn peer_bytes(&self) -> u64 {
        let peers = self.peers.lock().expect("no holder panics");
        peers.iter().map(|(_, relay)| relay.bytes()).sum()
    }

    /// Cuts or heals the way from this instance to the platform.
    pub fn cut_platform(&self, cut: bool) {
        self.log.cut(cut);
        self.list.cut(cut);
    }

    pub(super) fn start(&mut self, binary: &Path) -> io::Result<()> {
        let lines = File::options().create(true).append(true).open(&self.lines)?;
        let child = Command::new(binary)
            .args(["serve", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(lines.try_clone()?)
            .stderr(lines)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// The process's number.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = self.process() {
            let sent = Command::new("kill").args(["-s", signal, &process.to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "kill -s {signal} {process}");
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether and how the process ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// The log lines written so far.
    pub fn lines(&self) -> String {
        fs::read_to_string(&self.lines).unwrap_or_default()
    }

    /// Resident memory in kilobytes.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Processor time used so far, in seconds.
    pub fn processor_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process()?)).ok()?;
        let after = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(ticks as f64 / 100.0)
    }
}
