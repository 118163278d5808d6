//! Length-prefixed frames: the length as a 32-bit big-endian integer, followed by one message.

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
pub const PREFIX_BYTES: usize = 4;
/// Maximum length of a message in bytes. Only a configuration snapshot of the log-service deployment comes
/// near it.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Field numbers of the messages in the union `Message` of `idl/peer.thrift`.
const KNOWN_MESSAGES: RangeInclusive<i16> = 1..=26;
/// Maximum length that a message may declare for a list, in elements.
const MAX_LIST_LENGTH: usize = 65_536;

/// Why a frame cannot be written or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The message, or the length declared by the prefix, exceeds [`MAX_MESSAGE_BYTES`].
    TooLong(usize),
    /// A message of a newer version, by its field number in the union. To be skipped.
    Unknown(i16),
    /// The bytes are not a valid message.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong(length) => write!(f, "a message of {length} bytes is too long"),
            Error::Unknown(number) => write!(f, "unknown message {number}"),
            Error::Malformed(reason) => write!(f, "malformed message: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Appends `message` with its prefix to `buffer`.
///
/// # Errors
///
/// [`Error::TooLong`] if the message is longer than [`MAX_MESSAGE_BYTES`], [`Error::Malformed`] if it cannot
/// be encoded. The buffer is then unchanged.
pub fn write(message: &Message, buffer: &mut Vec<u8>) -> Result<(), Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX_BYTES]);
    let mut protocol = TCompactOutputProtocol::new(&mut *buffer);
    let written = message.write_to_out_protocol(&mut protocol);
    let flushed = written.and_then(|()| protocol.flush());
    drop(protocol);
    let length = buffer.len() - start - PREFIX_BYTES;
    if let Err(error) = flushed {
        buffer.truncate(start);
        return Err(Error::Malformed(error.to_string()));
    }
    if length > MAX_MESSAGE_BYTES {
        buffer.truncate(start);
        return Err(Error::TooLong(length));
    }
    buffer[start..start + PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// The length of the first frame in `bytes` including its prefix, or `None` if the prefix is incomplete.
///
/// # Errors
///
/// [`Error::TooLong`] if the prefix declares more than [`MAX_MESSAGE_BYTES`].
pub fn length(bytes: &[u8]) -> Result<Option<usize>, Error> {
    let Some(prefix) = bytes.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::TooLong(length));
    }
    Ok(Some(PREFIX_BYTES + length))
}

/// Decodes the message of one complete frame, which includes the prefix.
///
/// # Errors
///
/// [`Error::Unknown`] for a message of a newer version, [`Error::Malformed`] for anything else that is not a
/// valid message.
pub fn read(frame: &[u8]) -> Result<Message, Error> {
    let Some(mut body) = frame.get(PREFIX_BYTES..) else {
        return Err(Error::Malformed("the prefix is missing".into()));
    };
    let length = body.len();
    // Declared lengths are limited by the bytes received, so that a forged length cannot cause a large
    // allocation.
    let config = TConfiguration::builder()
        .max_message_size(Some(length))
        .max_frame_size(Some(length))
        .max_container_size(Some(MAX_LIST_LENGTH))
        .build()
        .map_err(|e| Error::Malformed(format!("{e:?}")))?;
    let number = message_number(body, config.clone())?;
    if !KNOWN_MESSAGES.contains(&number) {
        return Err(Error::Unknown(number));
    }
    let mut protocol = TCompactInputProtocol::with_config(&mut body, config);
    Message::read_from_in_protocol(&mut protocol).map_err(malformed)
}

/// Field number of the message in the union. Read first, because the generated code panics on an unknown one.
fn message_number(mut body: &[u8], config: TConfiguration) -> Result<i16, Error> {
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
