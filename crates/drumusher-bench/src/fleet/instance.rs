//! An instance that runs as a child process.

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
    /// Name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address of its HTTP listener, for clients.
    pub http: String,
    /// Address of its peer listener. Other instances connect through their relays.
    pub peer: String,
    /// Relay to the log service.
    pub log: Relay,
    /// Relay to the member list.
    pub list: Relay,
    /// Whether the member list contains it.
    pub listed: bool,
    /// Whether the member list reports it as leaving.
    pub leaving: bool,
    settings: PathBuf,
    log_file: PathBuf,
    /// Relays to other instances by their names.
    peers: Mutex<Vec<(String, Relay)>>,
    child: Option<Child>,
}

/// Chooses a loopback address that no other fleet uses, from the process ID, and two free ports on it. The listeners
/// are closed again before the instance binds the ports; outgoing connections use another source address and therefore
/// can't take these ports in between.
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
        let stop = if extra.contains("[stop]") { "" } else { "[stop]\naccept_ms = 200\n" };
        let text = format!(
            "[instance]\nname = \"{name}\"\navailability_zone = \"{zone}\"\n\
             http = \"{http}\"\npeer = \"{peer}\"\n\
             [fleet]\nsecret = \"{FLEET_SECRET}\"\n\
             [operators]\noperator = \"{digest}\"\n\
             {stop}\
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
            log_file: folder.join(format!("{name}.log")),
            settings,
            peers: Mutex::default(),
            child: None,
        })
    }

    /// Adds a relay for the connections from this instance to another one.
    pub(super) fn relay_to(&self, other: &Instance) -> io::Result<()> {
        let target = other.peer.parse().map_err(io::Error::other)?;
        let relay = Relay::new(target)?;
        let mut peers = self.peers.lock().expect("no holder panics");
        peers.push((other.name.clone(), relay));
        Ok(())
    }

    /// Returns the member list entry of another instance as this one receives it, with the address of its relay.
    pub(super) fn member_entry(&self, other: &Instance) -> Value {
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

    /// Cuts or restores the connections from this instance to another.
    pub fn cut_to(&self, other: &str, cut: bool) {
        let peers = self.peers.lock().expect("no holder panics");
        for (_, relay) in peers.iter().filter(|(name, _)| name == other) {
            relay.cut(cut);
        }
    }

    /// Bytes forwarded in both directions on the connections that this instance opened to others.
    pub fn peer_bytes(&self) -> u64 {
        let peers = self.peers.lock().expect("no holder panics");
        peers.iter().map(|(_, relay)| relay.bytes()).sum()
    }

    /// Cuts or restores the connections from this instance to the log service and the member list.
    pub fn cut_platform(&self, cut: bool) {
        self.log.cut(cut);
        self.list.cut(cut);
    }

    pub(super) fn start(&mut self, binary: &Path) -> io::Result<()> {
        let log_file = File::options().create(true).append(true).open(&self.log_file)?;
        let child = Command::new(binary)
            .args(["serve", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Process ID, if it was started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends the process a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            let sent = Command::new("kill").args(["-s", signal, &pid.to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "kill -s {signal} {pid} failed");
        }
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit status of the process, if it has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Log output written so far.
    pub fn lines(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Resident memory in kilobytes.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// CPU time used so far, user and system, in seconds. Assumes 100 clock ticks per second.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()?)).ok()?;
        let after = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(ticks as f64 / 100.0)
    }
}
