//! Demo: a fleet of processes on free ports, sample requests and their results.

use std::{
    env, fs,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::json;

use crate::{
    client,
    fleet::{Fleet, OPERATOR_KEY, Starter, key},
    load::{self, Class, Plan},
    stand_in::Kind,
};

/// Starts stand-ins as child processes. Kills them when dropped.
#[derive(Default)]
pub struct Processes {
    children: Vec<Child>,
}

impl Starter for Processes {
    fn start(&mut self, kind: Kind) -> io::Result<SocketAddr> {
        let argument = match kind {
            Kind::Engine => "engine",
            Kind::Service => "service",
            Kind::Log => "log",
            Kind::List => "list",
        };
        let mut child = Command::new(env::current_exe()?)
            .args(["stand-in", argument])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        self.children.push(child);
        line.trim().parse().map_err(io::Error::other)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Builds `drumusher` with the profile of the current executable and returns the path of its binary, which is in the
/// same folder.
///
/// # Errors
///
/// Any I/O error, or a failed build.
pub fn build_drumusher() -> io::Result<PathBuf> {
    let executable = env::current_exe()?;
    let folder = executable.parent().ok_or(io::ErrorKind::NotFound)?;
    let mut build = Command::new(env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
    build.args(["build", "--quiet", "--locked", "-p", "drumusher"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let status = build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).status()?;
    if !status.success() {
        return Err(io::Error::other("building drumusher failed"));
    }
    Ok(folder.join("drumusher"))
}

/// Starts and configures a fleet of processes: in each of `zones`, two instances, `engines` engines and one service.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn fleet(zones: &[&str], engines: usize) -> io::Result<Fleet<Processes>> {
    let mut fleet = Fleet::with_starter(build_drumusher()?, Processes::default())?;
    for zone in zones {
        for number in 0..engines {
            fleet.add_backend(Kind::Engine, &format!("{zone}-engine-{number}"), zone, "draft")?;
        }
        fleet.add_backend(Kind::Service, &format!("{zone}-desk"), zone, "desk")?;
        for number in 0..2 {
            fleet.add_instance(&format!("{zone}-{number}"), zone)?;
        }
    }
    fleet.wait_ready();
    fleet.configure();
    fleet.wait_converged();
    Ok(fleet)
}

/// Runs the demo. Blocks until Enter is pressed.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn run() -> io::Result<()> {
    println!(
        "Starting two availability zones with two instances, two engines and a service each …"
    );
    let fleet = fleet(&["suva-hall", "nadi-hall"], 2)?;
    for instance in &fleet.instances {
        println!("  {} serves http://{}", instance.name, instance.http);
    }
    show_completion(&fleet)?;
    show_idempotency(&fleet)?;
    show_load(&fleet);
    show_commands(&fleet);
    Ok(())
}

fn headers(class: &str) -> Vec<(&str, String)> {
    vec![
        ("authorization", format!("Bearer {}", key("vanua"))),
        ("drumusher-class", class.to_string()),
        ("content-type", "application/json".to_string()),
    ]
}

fn post(address: &str, path: &str, class: &str, body: &str) -> io::Result<client::Response> {
    let owned = headers(class);
    let headers: Vec<(&str, &str)> = owned.iter().map(|(n, v)| (*n, v.as_str())).collect();
    client::post(address, path, &headers, body)
}

fn show_completion(fleet: &Fleet<Processes>) -> io::Result<()> {
    let messages = json!([{"role": "user", "content": "pickup at eight"}]);
    let body = json!({"model": "draft", "messages": messages, "max_tokens": 6});
    let instance = &fleet.instances[1];
    let answer = post(&instance.http, "/v1/chat/completions", "urgent", &body.to_string())?;
    println!("\nA chat completion through {}:\n  {}", instance.name, answer.body);
    let trace = answer.header("drumusher-trace").unwrap_or_default().to_string();
    let request = answer.header("x-request-id").unwrap_or_default().to_string();
    println!("\nScheduling decisions for it (show request {request}):");
    for line in fleet.ask(0, &format!("show request {request}"))?.lines() {
        println!("  {} {}", line["instance"], line["what"]);
    }
    println!("\nIts trace, with a span for each hop (show request {trace}):");
    for line in fleet.ask(0, &format!("show request {trace}"))?.lines() {
        let (span, duration) = (&line["span"], &line["lasted_us"]);
        println!("  {span} on {} took {duration} µs {}", line["instance"], line["attributes"]);
    }
    Ok(())
}

fn show_idempotency(fleet: &Fleet<Processes>) -> io::Result<()> {
    let owned = headers("booking");
    let mut headers: Vec<(&str, &str)> = owned.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("idempotency-key", "pickup-4711"));
    println!("\nA booking sent three times with the same idempotency key:");
    for number in 0..3 {
        let address = &fleet.instances[number % 2].http;
        let answer = client::post(address, "/services/desk/bookings", &headers, "{\"at\":8}")?;
        let replayed = answer.header("drumusher-replayed").is_some();
        println!("  {} {} (replayed: {replayed})", answer.status, answer.body.trim());
    }
    Ok(())
}

fn show_load(fleet: &Fleet<Processes>) {
    let class = |name: &str, rate, tokens, target| Class {
        name: name.into(),
        rate,
        tokens,
        target: Duration::from_millis(target),
    };
    let plan = Plan {
        addresses: fleet.instances.iter().map(|instance| instance.http.clone()).collect(),
        keys: vec![key("vanua"), key("hizlikosu")],
        model: "draft".into(),
        classes: vec![class("urgent", 60.0, 60, 1_500), class("summary", 30.0, 400, 10_000)],
        duration: Duration::from_secs(5),
        seed: 1,
    };
    println!("\nFive seconds of open-loop load from two workspaces in two classes:");
    println!("{}", load::table(&load::open(&plan)));
}

fn show_commands(fleet: &Fleet<Processes>) {
    let address = &fleet.instances[0].http;
    println!("Commands to try while the demo runs:");
    println!(
        "  curl -N http://{address}/v1/completions -H 'Authorization: Bearer {}' \\\n    \
         -H 'Drumusher-Class: urgent' -d '{{\"model\":\"draft\",\"prompt\":\"hello\",\
         \"max_tokens\":20,\"stream\":true}}'",
        key("vanua")
    );
    println!(
        "  curl http://{address}/operator/query -H 'Authorization: Bearer {OPERATOR_KEY}' \\\n    \
         -d 'show engines order by running desc'"
    );
    println!("  curl http://{address}/metrics");
    let folder = fleet.folder().display();
    println!("Settings and log files are in {folder}. Press Enter to exit.");
    if fs::metadata("/dev/stdin").is_ok() {
        let mut line = String::new();
        let _ = io::stdin().read_line(&mut line);
    }
}
