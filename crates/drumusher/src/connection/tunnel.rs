//! Tunnels: connections to another instance that carry the bytes between this one and a backend server.
//!
//! Both directions are framed, so that the end of a response is told from the end of the instance in between, and a
//! request that was not forwarded from one that may have run.

use std::cell::{Cell, RefCell};

use drumusher_wire::peer;
use ntex::{
    codec::{Decoder, Encoder},
    util::{BytePages, Bytes, BytesMut},
};

/// Length of a frame's prefix in bytes: the length of its data as a 32-bit big-endian integer.
const PREFIX_BYTES: usize = 4;
/// Maximum length of a frame's data in bytes; longer data takes several frames.
const MAX_DATA_BYTES: usize = 64 * 1024;
/// Length that marks [`Frame::End`].
const END: u32 = 0;
/// Length that marks [`Frame::Unforwarded`].
const UNFORWARDED: u32 = u32::MAX;

/// A frame of a tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Bytes to pass on.
    Data(Bytes),
    /// To the backend server's side: the response is complete, and no request is in progress. From there: the backend
    /// server closed its connection properly.
    End,
    /// The tunnel is closed, and nothing was forwarded since the latest [`Frame::End`].
    Unforwarded,
}

/// Why an instance did not open a tunnel, or that it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is connected to the backend server.
    Connected,
    /// The backend server refused the connection.
    Refused,
    /// The backend server did not answer.
    NoAnswer,
    /// The instance offers no path.
    NoPath,
}

impl Outcome {
    /// Decodes the wire's number. An unknown one, from a newer version, offers no path.
    pub fn from_wire(number: i16) -> Self {
        match number {
            0 => Outcome::Connected,
            1 => Outcome::Refused,
            2 => Outcome::NoAnswer,
            _ => Outcome::NoPath,
        }
    }

    /// The answer to the instance that asked for the tunnel.
    pub fn reply(self) -> peer::Message {
        peer::Message::TunnelReply(peer::TunnelReply::new(self as i16))
    }
}

/// The bytes are not frames of a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Encodes and decodes frames.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Frame;
    type Error = Malformed;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Frame>, Malformed> {
        let Some(prefix) = source.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix);
        let data_bytes = match length {
            END | UNFORWARDED => 0,
            length => length as usize,
        };
        if data_bytes > MAX_DATA_BYTES {
            return Err(Malformed);
        }
        if source.len() < PREFIX_BYTES + data_bytes {
            return Ok(None);
        }
        let mut frame = source.split_to(PREFIX_BYTES + data_bytes);
        Ok(Some(match length {
            END => Frame::End,
            UNFORWARDED => Frame::Unforwarded,
            _ => Frame::Data(frame.split_off(PREFIX_BYTES)),
        }))
    }
}

impl Encoder for Codec {
    type Item = Frame;
    type Error = Malformed;

    fn encodev(&self, frame: Frame, destination: &mut BytePages) -> Result<(), Malformed> {
        match frame {
            Frame::Data(data) => {
                for part in data.chunks(MAX_DATA_BYTES) {
                    destination.extend_from_slice(&(part.len() as u32).to_be_bytes());
                    destination.extend_from_slice(part);
                }
            }
            Frame::End => destination.extend_from_slice(&END.to_be_bytes()),
            Frame::Unforwarded => destination.extend_from_slice(&UNFORWARDED.to_be_bytes()),
        }
        Ok(())
    }
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The backend server closed its connection properly.
    Closed,
    /// Nothing was forwarded since the latest response.
    Unforwarded,
}

/// Extracts the bytes of a backend server from the frames of a tunnel.
#[derive(Debug, Default)]
pub struct Deframer {
    plain: RefCell<BytesMut>,
    ending: Cell<Option<Ending>>,
}

impl Deframer {
    /// Takes all complete frames, and passes the bytes that were not consumed yet to `read`.
    ///
    /// # Errors
    ///
    /// [`Malformed`].
    pub fn read<T>(
        &self,
        source: &mut BytesMut,
        read: impl FnOnce(&mut BytesMut) -> T,
    ) -> Result<T, Malformed> {
        let mut plain = self.plain.borrow_mut();
        while self.ending.get().is_none()
            && let Some(frame) = Codec.decode(source)?
        {
            match frame {
                Frame::Data(data) => plain.extend_from_slice(&data),
                Frame::End => self.ending.set(Some(Ending::Closed)),
                Frame::Unforwarded => self.ending.set(Some(Ending::Unforwarded)),
            }
        }
        Ok(read(&mut plain))
    }

    /// How the tunnel ended; `None` while it is open.
    pub fn ending(&self) -> Option<Ending> {
        self.ending.get()
    }

    /// Whether no bytes wait to be read.
    pub fn is_empty(&self) -> bool {
        self.plain.borrow().is_empty()
    }
}
