//! Limit on the bytes that were received on a connection and are not parsed yet.
//!
//! The HTTP library limits heads, and stops reading while nobody takes the body. But it waits for the end of a chunk-size
//! line of any length (RFC 9112, section 7.1.1), and parses the line from its start after each read.

use std::cell::Cell;

use ntex::{
    io::{Filter, Io, IoCallbacks, IoRef},
    rt,
};

/// Maximum number of unparsed bytes. Several times the longest head and the largest read.
const MAX_UNREAD_BYTES: usize = 256 * 1024;

/// Observes the reads of a connection.
#[derive(Debug, Default)]
struct Limit {
    exceeded: Cell<bool>,
}

impl IoCallbacks for Limit {
    fn before_processing(&self, _: &IoRef) {}

    fn after_processing(&self, io: &IoRef) {
        if self.exceeded.get() || io.with_read_src_buf(|buffer| buffer.len()) <= MAX_UNREAD_BYTES {
            return;
        }
        self.exceeded.set(true);
        log::warn!(
            "a connection is closed: more than {MAX_UNREAD_BYTES} bytes could not be parsed"
        );
        // The library has taken the list of tasks that wait for the end of the connection, and would not wake them.
        let io = io.clone();
        rt::spawn(async move { io.terminate() });
    }
}

/// Terminates a connection when more bytes than any valid message needs are not parsed yet.
pub fn limit<F: Filter>(io: Io<F>) -> Io<F> {
    io.register_filter_callbacks(Limit::default());
    io
}
