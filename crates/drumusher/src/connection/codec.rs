//! Codec for the frames of a peer connection.

use drumusher_wire::{frame, peer::Message};
use ntex::{
    codec::{Decoder, Encoder},
    util::{BytePages, BytesMut},
};

/// Encodes and decodes framed messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Message;
    type Error = frame::Error;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Message>, frame::Error> {
        loop {
            let Some(length) = frame::length(source)? else {
                return Ok(None);
            };
            if source.len() < length {
                return Ok(None);
            }
            let frame = source.split_to(length);
            match frame::read(&frame) {
                // A message type of a newer version. Protocol versions only add messages, so unknown ones are skipped.
                Err(frame::Error::Unknown(_)) => continue,
                read => return read.map(Some),
            }
        }
    }
}

impl Encoder for Codec {
    type Item = Message;
    type Error = frame::Error;

    fn encodev(&self, message: Message, destination: &mut BytePages) -> Result<(), frame::Error> {
        let mut buffer = Vec::with_capacity(128);
        frame::write(&message, &mut buffer)?;
        destination.extend_from_slice(&buffer);
        Ok(())
    }
}
