//! Streams: whole events, each once; resumed elsewhere, or cut so that they do not look whole.

use std::io::{Read, Write};

use drumusher_adapter_stand_in::{
    Fault,
    server::{event, events},
};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Call, Deployment, read};

/// A stream that may be resumed goes on elsewhere after its last whole event, in the same answer.
#[test]
fn a_resumable_stream_goes_on_elsewhere() {
    let deployment = Deployment::new(1);
    deployment.server("m1").set(Fault::CutStream);
    let mut resumed = 0;
    for _ in 0..8 {
        let call = Call::post("/talk/", "x");
        let answer = deployment.call(0, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, events(&call.id)));
        assert!(answer.whole);
        resumed += usize::from(deployment.runs(&call.id) == 2);
    }
    assert!(resumed > 0, "some began at the server that breaks");
}

/// One that may not be resumed is cut: whole events only, no end, and not run again.
#[test]
fn another_stream_is_cut_and_does_not_look_whole() {
    let deployment = Deployment::new(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::CutStreamLater);
    }
    let call = Call::post("/draft/", "x");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&call.bytes()).expect("sent");
    let mut first = vec![0; 4_096];
    let count = conn.peek(&mut first).expect("the beginning");
    assert!(count > 0);
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::None);
    }
    let answer = read(&mut conn).expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(answer.text(), event(&call.id, 1));
    assert_eq!(deployment.runs(&call.id), 1);
}

/// Before its first event a stream that may not be resumed ends with a clear answer.
#[rstest]
#[case(Fault::Reset, 502)]
#[case(Fault::Mute, 504)]
#[case(Fault::Full, 503)]
fn a_stream_that_never_began_has_a_clear_answer(#[case] fault: Fault, #[case] status: u16) {
    let deployment = Deployment::new(1);
    deployment.server("m1").set(fault);
    deployment.server("m2").set(fault);
    let answer = deployment.call(0, &Call::post("/draft/", "x")).expect("an answer");
    assert_eq!(answer.status, status);
    assert!(answer.whole);
}

/// A server that says nothing is left for another one where the stream may be resumed.
#[test]
fn a_silent_server_is_left() {
    let deployment = Deployment::new(1);
    deployment.server("m1").set(Fault::Mute);
    for _ in 0..3 {
        let call = Call::post("/talk/", "x");
        let answer = deployment.call(0, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, events(&call.id)));
    }
}

/// A caller that resumes a stream by itself gets the rest only.
#[test]
fn a_caller_may_resume_by_itself() {
    let deployment = Deployment::new(1);
    let call = Call::post("/talk/", "x").with("Last-Event-Id", "5");
    let answer = deployment.call(0, &call).expect("an answer");
    let rest: String = (6..=12).map(|number| event(&call.id, number)).collect();
    assert_eq!((answer.status, answer.text()), (200, rest));
}

/// A caller that leaves in the middle of a stream frees the engine.
#[test]
fn a_caller_that_leaves_frees_the_engine() {
    let deployment = Deployment::new(1);
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&Call::post("/draft/", "x").bytes()).expect("sent");
    let mut piece = [0; 64];
    assert!(conn.read(&mut piece).expect("the first events") > 0);
    drop(conn);
    let gone = || deployment.server("m1").gone() + deployment.server("m2").gone();
    wait_for("the engine sees the close", || gone() == 1);
}
