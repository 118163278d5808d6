//! A worker as a process of its own, which answers with streams. A few of them have no length and end with their
//! connection, the others come in chunks. When the process ends, the operating system closes its connections.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// One stream of so many has no length: 2.5 in 100.
const UNFRAMED_EVERY: usize = 40;
/// The first one of each worker.
const UNFRAMED_FIRST: usize = 10;
/// Events of a complete stream, and the pause between two of them.
pub const EVENTS: u64 = 100;
const INTERVAL: Duration = Duration::from_millis(50);

/// A worker process. Dropping it kills the process.
pub struct Worker {
    /// Its `Id`.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    child: Child,
}

impl Worker {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// What failed.
    pub fn start(id: &str) -> Result<Worker, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        let command = command.args(["worker", id]).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).map_err(|error| error.to_string())?;
        let address = line.trim().parse().map_err(|_| format!("no address: {line:?}"))?;
        Ok(Worker { id: id.into(), address, child })
    }

    /// Ends the process.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.end();
    }
}

/// An event of the stream of an attempt.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Runs the worker in this process: prints its address, and serves for two minutes at most.
pub fn run(id: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(120));
        std::process::exit(0);
    });
    let streams = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (id, streams) = (id.to_string(), streams.clone());
        thread::spawn(move || {
            let _ = serve(&id, stream, &streams);
        });
    }
    Ok(())
}

fn serve(id: &str, stream: TcpStream, streams: &AtomicUsize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (mut target, mut attempt, mut expected, mut last, mut length) =
            (String::new(), String::new(), None, 0, 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if target.is_empty() {
                target = line.split(' ').nth(1).unwrap_or("/").to_string();
                continue;
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "drumusher-attempt-id" => attempt = value.to_string(),
                "drumusher-expected-instance" => expected = Some(value.to_string()),
                "last-event-id" => last = value.parse().unwrap_or(0),
                "content-length" => length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        if target == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nDrumusher-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        if expected.is_some_and(|expected| expected != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nDrumusher-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        let number = streams.fetch_add(1, Ordering::AcqRel);
        let framed = number % UNFRAMED_EVERY != UNFRAMED_FIRST;
        let framing = if framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nDrumusher-Attempt-Id: {attempt}\r\nDrumusher-Response-Seal: seal-{attempt}\r\n\
             Drumusher-Instance-Id: {id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in last + 1..=EVENTS {
            let event = event(number);
            let bytes = if framed { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
            writer.write_all(bytes.as_bytes())?;
            thread::sleep(INTERVAL);
        }
        if !framed {
            return Ok(());
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
}
