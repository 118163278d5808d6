//! A backend server that answers before it has read the request.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    thread,
    time::Duration,
};

use socket2::SockRef;

/// Time from the end of the response to the reset.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// Answers a request as soon as its head is there, with a part of a response without a length. Closes this side of the
/// connection, and resets it a little later.
///
/// # Errors
///
/// Any I/O error.
pub fn respond(mut stream: TcpStream) -> io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let field = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(": "));
        fields.find_map(|(other, value)| other.eq_ignore_ascii_case(name).then_some(value))
    };
    let id = field("drumusher-attempt-id").unwrap_or("");
    let response = format!(
        "HTTP/1.1 200 OK\r\nDrumusher-Attempt-Id: {id}\r\nDrumusher-Response-Seal: seal-{id}\r\n\r\na part"
    );
    stream.write_all(response.as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    thread::sleep(RESET_DELAY);
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
