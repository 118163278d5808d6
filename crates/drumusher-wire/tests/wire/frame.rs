//! Encoding and decoding of frames.

use drumusher_wire::{
    frame::{self, Error, MAX_MESSAGE_BYTES, PREFIX_BYTES},
    peer::{
        Answer, Ask, Break, Count, Crash, Grant, Heartbeat, Hello, Message, Notice, Part, Piece,
        PieceRequest, Progress, ProgressBatch, Referral, StateRequest, Stream, Streams,
    },
};
use proptest::prelude::*;

fn ask() -> Ask {
    Ask {
        id: vec![7; 16],
        pool: "model:draft".into(),
        workspace: "vanua".into(),
        traffic_class: "pickup-confirmation".into(),
        age: 1_250,
        prompt: 812,
        prefix: Some(-42),
        produced: None,
        unrepeatable: Some(true),
        preemptions: None,
        avoid: None,
        server: None,
        redirected: None,
        output: Some(210),
        attempt: Some(2),
        lent: Some(10_000_000),
        spent: Some(400),
        digest: Some(vec![9; 16]),
        sent: Some(vec![Count::new(3, 40, 2)]),
        parts: Some(vec![Part::new(-7, 512)]),
        notices: None,
        stream: Some(-11),
        patience: Some(14_500),
        resumed: Some(true),
        version: Some("v1.1".into()),
        left: Some(11_960_000),
    }
}

fn round_trip(message: &Message) -> Message {
    let mut buffer = Vec::new();
    frame::write(message, &mut buffer).expect("the message fits");
    assert_eq!(frame::length(&buffer), Ok(Some(buffer.len())));
    frame::read(&buffer).expect("what was written can be read")
}

#[test]
fn messages_round_trip() {
    let messages = [
        Message::Ask(ask()),
        Message::Hello(Hello::new("suva-1".into(), "suva-hall".into(), vec![1; 16], None, None)),
        Message::Progress(ProgressBatch::new(
            "model:draft".into(),
            vec![Progress::new(vec![1; 16], 12, Some(900), None)],
        )),
    ];
    for message in messages {
        assert_eq!(round_trip(&message), message);
    }
}

#[test]
fn a_grant_takes_at_most_200_bytes() {
    let longest_name = "nausori-hall-engine-4800".to_string();
    let grant = Grant::new(
        vec![255; 16],
        longest_name.clone(),
        i64::MAX,
        i16::MAX,
        longest_name,
        i64::MAX,
        i16::MAX,
        true,
        true,
        i64::MAX,
        "v2026.12.4".to_string(),
        i16::MAX,
    );
    let mut buffer = Vec::new();
    frame::write(&Message::Grant(grant), &mut buffer).expect("the message fits");
    assert!(buffer.len() <= 200, "{} bytes", buffer.len());
}

#[test]
fn an_incomplete_prefix_has_no_length() {
    assert_eq!(frame::length(&[0, 0, 0]), Ok(None));
}

#[test]
fn a_prefix_beyond_the_limit_is_rejected() {
    let prefix = (MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes();
    assert_eq!(frame::length(&prefix), Err(Error::TooLong(MAX_MESSAGE_BYTES + 1)));
}

/// A message of a newer version: number 27, whose field number is written in the long form, and number 0.
#[test]
fn an_unknown_message_is_reported_by_its_number() {
    let in_long_form = [0, 0, 0, 4, 0x0c, 0x36, 0x00, 0x00];
    assert_eq!(frame::read(&in_long_form), Err(Error::Unknown(27)));
    let number_zero = [0, 0, 0, 3, 0x0c, 0x00, 0x00];
    assert_eq!(frame::read(&number_zero), Err(Error::Unknown(0)));
}

#[test]
fn the_latest_messages_round_trip() {
    let answer = Message::Answer(Answer::new(7, vec!["{}".to_string()]));
    assert_eq!(round_trip(&answer), answer);
    let request = Message::PieceRequest(PieceRequest::new(
        0,
        7,
        16_384,
        42,
        1,
        "127.0.0.1:1".to_string(),
        true,
    ));
    assert_eq!(round_trip(&request), request);
    let ends = (vec![4, 0, 7, 0], vec![2, 1, 2, 0]);
    let heartbeat =
        Heartbeat::new(11, true, ends.0.clone(), true, None, 3, ends.1.clone(), 1, 27, true, 140);
    assert_eq!(round_trip(&Message::Heartbeat(heartbeat.clone())), Message::Heartbeat(heartbeat));
    let request = Message::StateRequest(StateRequest::new(11, ends.0, true, ends.1, None));
    assert_eq!(round_trip(&request), request);
    let referral = Referral::new(1, -42, "suva-2".into(), "127.0.0.1:2".into());
    assert_eq!(round_trip(&Message::Referral(referral.clone())), Message::Referral(referral));
    let piece = Message::Piece(Piece::new(0, -42, 16_384, 32_768, vec![0, 255]));
    assert_eq!(round_trip(&piece), piece);
    let start = ("service:desk".to_string(), "d1".to_string());
    let notice = Notice::new(start.0, start.1, 7, 1_400, 20, None, true, 3_000_000, 2);
    let ask = Ask { notices: Some(vec![notice.clone(), notice.clone()]), ..ask() };
    assert_eq!(round_trip(&Message::Ask(ask.clone())), Message::Ask(ask));
    assert_eq!(round_trip(&Message::Notice(notice.clone())), Message::Notice(notice));
    let terms = (None, 12, None, true, true, 40);
    let grant = Grant::new(
        vec![7; 16],
        "d1".into(),
        1,
        0,
        terms.0,
        terms.1,
        terms.2,
        terms.3,
        terms.4,
        terms.5,
        "v1.1".to_string(),
        0,
    );
    assert_eq!(round_trip(&Message::Grant(grant.clone())), Message::Grant(grant));
}

/// Guards against a message that is sent and passed over as unknown.
#[test]
fn suspected_crashes_round_trip() {
    let (id, digest) = (vec![1; 16], vec![2; 16]);
    let (pool, server) = ("service:desk".into(), "d1".into());
    let parts = vec![-7, 8];
    let attempt = Crash::new(id, pool, digest, server, 1, true, "a".into(), "r".into(), parts);
    let message = Message::Broken(Break::new(attempt, true));
    assert_eq!(round_trip(&message), message);
}

/// The same.
#[test]
fn streams_round_trip() {
    let streams = vec![Stream::new(-5, 1, 40, 14_000), Stream::new(6, 0, 0, 1)];
    let versions = vec!["v1".into(), "v1.1".into()];
    let message = Message::Streams(Streams::new("service:model".into(), versions, streams));
    assert_eq!(round_trip(&message), message);
}

proptest! {
    #[test]
    fn random_bytes_do_not_panic(body in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        let _ = frame::read(&bytes);
    }

    #[test]
    fn a_corrupted_message_does_not_panic(at in 0usize..64, value in any::<u8>()) {
        let mut buffer = Vec::new();
        frame::write(&Message::Ask(ask()), &mut buffer).expect("the message fits");
        let at = PREFIX_BYTES + at % (buffer.len() - PREFIX_BYTES);
        buffer[at] = value;
        let _ = frame::read(&buffer);
    }

    #[test]
    fn asks_round_trip(age in 0i64.., prompt in 0i32.., prefix in any::<i64>()) {
        let message = Message::Ask(Ask { age, prompt, prefix: Some(prefix), ..ask() });
        prop_assert_eq!(round_trip(&message), message);
    }
}
