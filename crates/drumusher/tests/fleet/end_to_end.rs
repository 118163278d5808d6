//! Requests are served end to end across processes.

use drumusher_bench::{client, fleet::wait_for, stand_in::engine};

use crate::support::{book, complete, fleet, stream};

#[test]
fn a_completion_is_served_by_either_instance() {
    let fleet = fleet(&["suva"], 2, 1, "");
    for instance in 0..2 {
        let response = complete(&fleet, instance, "urgent", "alpha", 12).expect("a response");
        assert_eq!(response.status, 200, "{}", response.body);
        let text = response.json()["choices"][0]["text"].clone();
        assert_eq!(text, engine::answer("alpha", 12));
        assert_eq!(response.json()["usage"]["completion_tokens"], 12);
    }
}

#[test]
fn a_streamed_response_is_complete() {
    let fleet = fleet(&["suva"], 2, 2, "");
    for instance in &fleet.instances {
        let response = stream(&instance.http, "urgent", "beta", 40).expect("a response");
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.streamed_text(), engine::answer("beta", 40));
        assert!(response.body.ends_with("data: [DONE]\n\n"), "{}", response.body);
    }
}

#[test]
fn a_booking_reaches_the_service_once() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let http = &fleet.instances[1].http;
    let first = book(http, Some("b-1"), "{\"seat\":1}").expect("a response");
    assert_eq!(first.status, 200, "{}", first.body);
    // The other instance responds with 409 until it has read from the log that the call ended.
    let other = &fleet.instances[0].http;
    let mut again = book(other, Some("b-1"), "{\"seat\":1}").expect("a response");
    wait_for("the other instance knows the response", || {
        assert!(matches!(again.status, 200 | 409), "{}", again.body);
        if again.status != 200 {
            again = book(other, Some("b-1"), "{\"seat\":1}").expect("a response");
        }
        again.status == 200
    });
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("drumusher-replayed"), Some("true"));
    let desk = fleet.backends.iter().find(|backend| backend.kind == "service").expect("a desk");
    let calls = client::get(&desk.address.to_string(), "/calls", &[]).expect("the calls").json();
    assert_eq!(calls.as_array().map(Vec::len), Some(1), "{calls}");
}
