//! Frames of tunnels.

use drumusher::connection::tunnel::{Codec, Deframer, Ending, Frame, Malformed};
use ntex::{
    codec::{Decoder, Encoder},
    util::{BytePageSize, BytePages, Bytes, BytesMut},
};
use proptest::prelude::*;
use rstest::rstest;

fn encode(frames: &[Frame]) -> Vec<u8> {
    let mut pages = BytePages::new(BytePageSize::Size8);
    for frame in frames {
        Codec.encodev(frame.clone(), &mut pages).expect("a frame is encoded");
    }
    pages.freeze().to_vec()
}

fn data(bytes: &[u8]) -> Frame {
    Frame::Data(Bytes::copy_from_slice(bytes))
}

#[rstest]
#[case::end(&[data(b"ab"), Frame::End], Some(Ending::Closed))]
#[case::unforwarded(&[data(b"ab"), Frame::Unforwarded], Some(Ending::Unforwarded))]
#[case::open(&[data(b"a"), data(b"b")], None)]
fn a_deframer_tells_how_a_tunnel_ended(#[case] frames: &[Frame], #[case] ending: Option<Ending>) {
    let (deframer, bytes) = (Deframer::default(), encode(frames));
    let mut source = BytesMut::new();
    source.extend_from_slice(&bytes);
    let read = deframer.read(&mut source, |plain| plain.to_vec());
    assert_eq!(read, Ok(b"ab".to_vec()));
    assert_eq!(deframer.ending(), ending);
    assert!(!deframer.is_empty(), "bytes that were not consumed wait");
}

#[test]
fn a_frame_of_a_forged_length_is_no_allocation() {
    let mut source = BytesMut::new();
    source.extend_from_slice(&(u32::MAX - 1).to_be_bytes());
    assert_eq!(Codec.decode(&mut source), Err(Malformed));
}

proptest! {
    #[test]
    fn bytes_pass_a_tunnel_unchanged_however_they_arrive(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200_000), 0..4),
        piece in 1_usize..70_000,
    ) {
        let frames: Vec<Frame> = parts.iter().map(|part| data(part)).collect();
        let (deframer, mut source, mut read) = (Deframer::default(), BytesMut::new(), Vec::new());
        for chunk in encode(&frames).chunks(piece) {
            source.extend_from_slice(chunk);
            let part = deframer.read(&mut source, |plain| plain.split_to(plain.len()).to_vec());
            read.extend(part.expect("frames"));
        }
        prop_assert_eq!(read, parts.concat());
    }
}
