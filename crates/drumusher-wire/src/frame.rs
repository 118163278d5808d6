//! Length-prefixed frames: four bytes of length, most significant first, then one message.

use std::{fmt, ops::RangeInclusive};

use thrift::{
    TConfiguration,
    protocol::{
        TCompactInputProtocol, TCompactOutputProtocol, TInputProtocol, TOutputProtocol,
        TSerializable, TType,
    },
};

use crate::peer::Message;

/// Length of the prefix in bytes.
pub const PREFIX: usize = 4;
/// Longest message in bytes. Only a configuration snapshot of the product's own interface comes near it.
pub const LONGEST: usize = 4 * 1024 * 1024;
/// Numbers of the messages in `idl/peer.thrift`.
const KNOWN: RangeInclusive<i16> = 1..=22;
/// Longest list that a message may claim.
const LONGEST_LIST: usize = 65_536;

/// Why a frame cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The prefix claims more than [`LONGEST`] bytes.
    TooLong(usize),
    /// A message of a newer version, by its number in the union: to be passed over.
    Unknown(i16),
    /// The bytes are not a message.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong(length) => write!(f, "a frame of {length} bytes is too long"),
            Error::Unknown(number) => write!(f, "message {number} is not known here"),
            Error::Malformed(reason) => write!(f, "not a message: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Appends `message` with its prefix to `buffer`.
///
/// # Errors
///
/// [`Error::TooLong`] if the message is longer than [`LONGEST`]; the buffer is then as before.
pub fn write(message: &Message, buffer: &mut Vec<u8>) -> Result<(), Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX]);
    let mut protocol = TCompactOutputProtocol::new(&mut *buffer);
    let written = message.write_to_out_protocol(&mut protocol);
    let flushed = written.and_then(|()| protocol.flush());
    drop(protocol);
    let length = buffer.len() - start - PREFIX;
    if let Err(error) = flushed {
        buffer.truncate(start);
        return Err(Error::Malformed(error.to_string()));
    }
    if length > LONGEST {
        buffer.truncate(start);
        return Err(Error::TooLong(length));
    }
    buffer[start..start + PREFIX].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// The length of the whole first frame in `bytes`, or `None` if the prefix is incomplete.
///
/// # Errors
///
/// [`Error::TooLong`] if the prefix claims more than [`LONGEST`].
pub fn length(bytes: &[u8]) -> Result<Option<usize>, Error> {
    let Some(prefix) = bytes.first_chunk::<PREFIX>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > LONGEST {
        return Err(Error::TooLong(length));
    }
    Ok(Some(PREFIX + length))
}

/// Reads the message of one whole frame, prefix included.
///
/// # Errors
///
/// [`Error::Unknown`] for a message of a newer version, [`Error::Malformed`] for anything else.
pub fn read(frame: &[u8]) -> Result<Message, Error> {
    let Some(mut body) = frame.get(PREFIX..) else {
        return Err(Error::Malformed("no prefix".into()));
    };
    let length = body.len();
    // What the message claims is bounded by what came, so that no claim can reserve memory.
    let config = TConfiguration::builder()
        .max_message_size(Some(length))
        .max_frame_size(Some(length))
        .max_container_size(Some(LONGEST_LIST))
        .build()
        .map_err(|e| Error::Malformed(format!("{e:?}")))?;
    let number = number(body, config.clone())?;
    if !KNOWN.contains(&number) {
        return Err(Error::Unknown(number));
    }
    let mut protocol = TCompactInputProtocol::with_config(&mut body, config);
    Message::read_from_in_protocol(&mut protocol).map_err(malformed)
}

/// The number of the message in the union. The generated code panics on one that it does not know.
fn number(mut body: &[u8], config: TConfiguration) -> Result<i16, Error> {
    let mut protocol = TCompactInputProtocol::with_config(&mut body, config);
    protocol.read_struct_begin().map_err(malformed)?;
    let field = protocol.read_field_begin().map_err(malformed)?;
    match (field.field_type, field.id) {
        (TType::Struct, Some(number)) => Ok(number),
        _ => Err(Error::Malformed("the first field is not a message".into())),
    }
}

fn malformed(error: thrift::Error) -> Error {
    Error::Malformed(format!("{error:?}"))
}
