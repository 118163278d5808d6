//! Suspensions of the machine, by a clock that is moved on as one would.
//!
//! A machine may stand still for seconds without its steady clock counting them. What was timed by that clock looked as
//! young after it as before: a holder of the duties went on with a lease that had long passed to another, and requests
//! were waited for beyond their time. Read in the code; no machine was suspended for it.

use std::{
    io::Read,
    net::TcpListener,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use drumusher::{process::clock, upstream};
use drumusher_duty::{
    lease::{Holder, Lease, Options, Replaced, State, Step, Version},
    time::{MILLISECOND, Micros, SECOND},
};
use drumusher_log::position::Position;
use drumusher_platform::{
    Error,
    once::{Call, post},
};
use ntex::{rt, time::Millis};

/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_secs(20);
/// How long something may last that is over by then.
const SHORT: Micros = 10 * SECOND;

/// The machine, which one test at a time suspends.
fn machine() -> MutexGuard<'static, ()> {
    static MACHINE: Mutex<()> = Mutex::new(());
    MACHINE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run<T>(future: impl Future<Output = T> + 'static) -> T
where
    T: 'static,
{
    rt::System::build().name("test").build(rt::DefaultRuntime).block_on(future)
}

/// The steady clock of the standard library does not count it; the clock of the process does.
#[test]
fn the_clock_counts_the_time() {
    let _machine = machine();
    let (steady, before, unix) = (Instant::now(), clock::now(), clock::steady_unix_ms());
    clock::suspend(SUSPENDED);
    let counted = Duration::from_micros(clock::now() - before);
    assert!(counted >= SUSPENDED);
    assert!(steady.elapsed() < counted);
    assert!(clock::steady_unix_ms() - unix >= SUSPENDED.as_millis() as u64);
}

/// A holder of the duties that wakes up acts no more: its lease is over.
#[test]
fn a_lease_is_over() {
    let _machine = machine();
    let own = Holder { name: "i0".into(), boot: 1 };
    let mut lease = Lease::new(own, Options { length: SHORT, min_gap: 0 }, clock::now() - SHORT);
    lease.read(clock::now(), Version { end: Position::new(0, 1), state: State::default() });
    let Step::Replace { expect, state } = lease.next(clock::now(), &Default::default(), false)
    else {
        panic!("the register is free");
    };
    let sent = clock::now();
    lease.replaced(sent, sent, expect, state, Replaced::Done);
    let within = 100 * MILLISECOND;
    let begun = lease.token().is_some() && lease.left(clock::now()) > 0;
    assert!(begun, "it has the duties");
    clock::suspend(SUSPENDED);
    assert!(lease.permit(clock::now(), within).is_none(), "it may begin no call");
    assert_eq!(lease.left(clock::now()), 0);
}

/// A call of a duty that was made before and is sent after it is not sent.
#[test]
fn a_call_that_is_sent_too_late_is_not_sent() {
    let _machine = machine();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let listening = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut read = Vec::new();
        stream.read_to_end(&mut read).map(|_| read)
    });
    let call = Call {
        address,
        path: "/usage",
        headers: Vec::new(),
        body: "{}".into(),
        until: clock::now() + SHORT,
        timeout: Duration::from_secs(3_600),
    };
    clock::suspend(SUSPENDED);
    assert_eq!(run(post(call)), Err(Error::Unreachable));
    let read = listening.join().expect("it ends");
    assert_eq!(read.unwrap_or_default(), Vec::<u8>::new());
}

/// An answer is not waited for beyond the time of its request, although the timer stood still.
#[test]
fn what_is_waited_for_ends_in_its_time() {
    let _machine = machine();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let listening = thread::spawn(move || listener.accept());
    let hour = 3_600 * SECOND;
    let waiting = thread::spawn(move || {
        run(async move {
            let mut conn =
                upstream::Conn::connect(address, Millis(10_000)).await.expect("it is up");
            let until = clock::now() + hour;
            conn.next_part(until, || false).await.map(|_| ())
        })
    });
    let accepted = listening.join().expect("it ends").expect("a connection");
    // The wait has begun once the connection is up, or begins after it: then it lasts an hour more.
    while !waiting.is_finished() {
        clock::suspend(Duration::from_micros(hour + SECOND));
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(waiting.join().expect("it ends"), Err(upstream::Error::TimedOut));
    drop(accepted);
}
