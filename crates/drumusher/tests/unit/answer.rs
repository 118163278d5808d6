//! Cutting the bytes of a connection into answers.

use drumusher::upstream::response::{Codec, Part};
use ntex::{codec::Decoder, util::BytesMut};
use proptest::prelude::*;
use rstest::rstest;

/// What the bytes are cut into, given in pieces of `size`: status, body, whether it is whole, and
/// what is left over. `None` for what is no answer.
fn cut(bytes: &[u8], size: usize) -> Option<(u16, Vec<u8>, bool, usize)> {
    let codec = Codec::new();
    codec.expect(false);
    let mut source = BytesMut::new();
    let (mut status, mut body, mut whole) = (0, Vec::new(), false);
    for piece in bytes.chunks(size) {
        source.extend_from_slice(piece);
        while let Some(piece) = codec.decode(&mut source).ok()? {
            match piece {
                Part::Head(head) => status = head.status,
                Part::Data(bytes) => body.extend_from_slice(&bytes),
                Part::End => whole = true,
            }
        }
    }
    Some((status, body, whole, source.len()))
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 200, b"abc", true, 0)]
#[case::short(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 200, b"abc", false, 0)]
#[case::surplus(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1", 200, b"abc", true, 8)]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
    200, b"abc", true, 0
)]
#[case::chunks_cut(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    200,
    b"ab",
    false,
    0
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nabc", 200, b"abc", false, 0)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    503,
    b"",
    true,
    0
)]
#[case::no_body(b"HTTP/1.1 204 No\r\n\r\n", 204, b"", true, 0)]
fn answers(
    #[case] bytes: &[u8],
    #[case] status: u16,
    #[case] body: &[u8],
    #[case] whole: bool,
    #[case] left: usize,
    #[values(1, 7, 1_000)] size: usize,
) {
    assert_eq!(cut(bytes, size), Some((status, body.to_vec(), whole, left)));
}

#[rstest]
#[case(b"\x00\x01 this is no answer\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc")]
fn what_is_no_answer(#[case] bytes: &[u8]) {
    assert_eq!(cut(bytes, 1_000), None);
}

proptest! {
    /// However the bytes come in, the answer is the same.
    #[test]
    fn pieces_do_not_matter(bodies in proptest::collection::vec(".{1,30}", 0..6), size in 1_usize..40) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for body in &bodies {
            bytes.extend_from_slice(format!("{:x}\r\n{body}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let whole: String = bodies.concat();
        prop_assert_eq!(cut(&bytes, size), Some((200, whole.into_bytes(), true, 0)));
    }

    #[test]
    fn any_bytes_end_with_pieces_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = cut(&bytes, 64);
    }
}
