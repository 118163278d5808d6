//! A small deployment: the project's program as processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Store;
use serde_json::{Value, json};

use crate::{record::Record, template, watchdog};

/// An instance of the program.
pub struct Instance {
    pub name: String,
    pub clients: SocketAddr,
    pub status: SocketAddr,
    pub child: Child,
}

/// A store and the instances; dropping it ends the processes.
pub struct Deployment {
    pub store: Store,
    pub instances: Vec<Instance>,
    pub record: Record,
    dir: PathBuf,
}

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Deployment {
    pub fn new(record: &Record) -> Deployment {
        let dir = std::env::temp_dir().join(format!("drumusher-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::start().expect("the store starts");
        store.hide_era();
        Deployment { store, instances: Vec::new(), record: record.clone(), dir }
    }

    /// The fields that the platform fills the template from.
    fn fields(&self, name: &str, zone: &str, ports: &[SocketAddr; 4]) -> Value {
        json!({
            "NodeName": name, "Role": "drumusher", "MachineClass": "edge", "Serves": ["edge"],
            "Ip": "127.0.0.1", "Zone": zone, "Region": "viti-levu",
            "Zones": {"suva-hall": "viti-levu", "nausori-hall": "viti-levu", "lautoka-hall": "viti-levu"},
            "Listen": {"Frontend": ports[0].to_string(), "Readiness": ports[1].to_string()},
            "InternalPorts": [ports[2].port(), ports[3].port()],
            "Bootstrap": true,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0},
            "HeartbeatMs": 1200,
            "Bounds": {
                "SeedLagS": 3, "ReuseDelayS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
                "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
                "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RevokeStrict": false, "RevokeMs": 5000,
                "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "BudgetSlack": 58, "RecoveryS": 12,
                "IterationMs": 120, "RetryAfterS": 10
            },
            "Platform": {"Address": self.store.address.to_string(), "form": "log"}
        })
    }

    /// Starts an instance.
    pub fn start(&mut self, name: &str, zone: &str) {
        let ports = [(); 4].map(|()| free_port());
        let root = std::env::current_dir().expect("the root of the project");
        let template = fs::read_to_string(root.join("deploy/settings.toml")).expect("the template");
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, template::fill(&template, &self.fields(name, zone, &ports)))
            .expect("the settings are written");
        let child = self.spawn(name, &settings);
        watchdog::add(child.id());
        let (clients, status) = (ports[0], ports[1]);
        self.record.line(format!("instance {name} starts, clients at {clients}"));
        self.instances.push(Instance { name: name.into(), clients, status, child });
    }

    fn spawn(&self, name: &str, settings: &PathBuf) -> Child {
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        Command::new("target/release/drumusher")
            .arg("serve")
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .env("DRUMUSHER_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file handle"))
            .stderr(log)
            .spawn()
            .expect("the program starts")
    }

    /// Starts an instance again whose process has ended.
    pub fn again(&mut self, number: usize) {
        let settings = self.dir.join(format!("{}.toml", self.instances[number].name));
        let name = self.instances[number].name.clone();
        self.instances[number].child = self.spawn(&name, &settings);
        watchdog::add(self.instances[number].child.id());
    }

    /// Waits until all instances are ready; whether they are.
    pub fn wait_ready(&self) -> bool {
        wait_until(Duration::from_secs(20), || self.instances.iter().all(Instance::is_ready))
    }

    /// Sends a signal to an instance that this run started.
    pub fn signal(&self, number: usize, signal: &str) {
        let instance = &self.instances[number];
        self.record.line(format!("{signal} to instance {}", instance.name));
        let id = instance.child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }
}

impl Instance {
    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.status, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /drumusher/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            )?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b" 200"))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var("KEEP").is_ok() {
            println!("logs are in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Polls a condition for at most `limit`; whether it came true.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}
