//! Decoding of HTTP responses from backend servers.

use drumusher::upstream::response::{Codec, Part};
use ntex::{codec::Decoder, util::BytesMut};
use proptest::prelude::*;
use rstest::rstest;

/// Decodes bytes that arrive in chunks of `size`. Returns the status, the body, whether the response is complete, and
/// the number of bytes after it; `None` if they are not a valid response.
fn decode(bytes: &[u8], size: usize) -> Option<(u16, Vec<u8>, bool, usize)> {
    let codec = Codec::new();
    codec.expect(false);
    let mut source = BytesMut::new();
    let (mut status, mut body, mut complete) = (0, Vec::new(), false);
    for part in bytes.chunks(size) {
        source.extend_from_slice(part);
        while let Some(part) = codec.decode(&mut source).ok()? {
            match part {
                Part::Head(head) => status = head.status,
                Part::Data(bytes) => body.extend_from_slice(&bytes),
                Part::End => complete = true,
            }
        }
    }
    Some((status, body, complete, source.len()))
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 200, b"abc", true, 0)]
#[case::incomplete_body(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 200, b"abc", false, 0)]
#[case::trailing_bytes(
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1",
    200,
    b"abc",
    true,
    8
)]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
    200, b"abc", true, 0
)]
#[case::incomplete_chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    200,
    b"ab",
    false,
    0
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nabc", 200, b"abc", false, 0)]
#[case::interim_response(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    503,
    b"",
    true,
    0
)]
#[case::no_body(b"HTTP/1.1 204 No\r\n\r\n", 204, b"", true, 0)]
fn responses_are_decoded(
    #[case] bytes: &[u8],
    #[case] status: u16,
    #[case] body: &[u8],
    #[case] complete: bool,
    #[case] left: usize,
    #[values(1, 7, 1_000)] size: usize,
) {
    assert_eq!(decode(bytes, size), Some((status, body.to_vec(), complete, left)));
}

/// A response to a HEAD request has no body, also if that to another request came first.
#[test]
fn responses_to_a_head_request_have_no_body() {
    let codec = Codec::new();
    codec.expect(true);
    let mut source = BytesMut::new();
    for _ in 0..2 {
        source.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
        assert!(matches!(codec.decode(&mut source), Ok(Some(Part::Head(_)))));
        assert!(matches!(codec.decode(&mut source), Ok(Some(Part::End))));
        codec.expect_next();
    }
}

#[rstest]
#[case(b"\x00\x01 this is no answer\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc")]
#[case::status_000(b"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\na")]
#[case::status_099(b"HTTP/1.1 099 OK\r\nContent-Length: 1\r\n\r\na")]
#[case::status_600(b"HTTP/1.1 600 OK\r\nContent-Length: 1\r\n\r\na")]
#[case::status_999(b"HTTP/1.1 999 OK\r\nContent-Length: 1\r\n\r\na")]
#[case::signed_length(b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na")]
#[case::length_with_a_blank(b"HTTP/1.1 200 OK\r\nContent-Length: 1 1\r\n\r\na")]
#[case::empty_length(b"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\na")]
#[case::length_lower_than_the_body(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc")]
#[case::length_zero_before_a_body(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nabc")]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)]
#[case::two_codings(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n"
)]
#[case::name_of_the_coding(
    b"HTTP/1.1 200 OK\r\nTransfer-Encodinh: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)]
#[case::size_of_a_chunk(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nabc\r\n0\r\n\r\n"
)]
#[case::blank_in_a_name(b"HTTP/1.1 200 OK\r\nX Own: kept\r\nContent-Length: 1\r\n\r\na")]
#[case::control_byte_in_a_name(b"HTTP/1.1 200 OK\r\nX\x01Own: kept\r\nContent-Length: 1\r\n\r\na")]
#[case::no_field(b"HTTP/1.1 200 OK\r\nContent-Length 1\r\n\r\na")]
#[case::folded_line(b"HTTP/1.1 200 OK\r\nContent-Length:\r\n 1\r\n\r\na")]
fn invalid_responses_are_refused(#[case] bytes: &[u8]) {
    assert_eq!(decode(bytes, 1_000), None);
}

proptest! {
    /// The result doesn't depend on the chunks in which the bytes arrive.
    #[test]
    fn chunk_boundaries_do_not_matter(bodies in proptest::collection::vec(".{1,30}", 0..6), size in 1_usize..40) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for body in &bodies {
            bytes.extend_from_slice(format!("{:x}\r\n{body}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let text: String = bodies.concat();
        prop_assert_eq!(decode(&bytes, size), Some((200, text.into_bytes(), true, 0)));
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes, 64);
    }
}
