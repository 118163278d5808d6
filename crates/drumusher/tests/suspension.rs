//! Suspensions of the machine, simulated by advancing the process clock.
//!
//! Guards against timeouts by the monotonic clock of the standard library, which doesn't count the time for which a
//! machine is suspended. With that clock a holder of the duties would continue with a lease that has passed to
//! another instance, and requests would wait beyond their deadlines. This was found by reading the code; no machine
//! was suspended for it.

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

/// Length of a suspension.
const SUSPENDED: Duration = Duration::from_secs(20);
/// A time limit that passes during a suspension.
const TIME_LIMIT: Micros = 10 * SECOND;

/// Locks the process clock, which only one test at a time may advance.
fn lock_clock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run<T>(future: impl Future<Output = T> + 'static) -> T
where
    T: 'static,
{
    rt::System::build().name("test").build(rt::DefaultRuntime).block_on(future)
}

/// The process clock counts the time of a suspension; `Instant` does not.
#[test]
fn the_clock_counts_a_suspension() {
    let _lock = lock_clock();
    let (steady, before, unix) = (Instant::now(), clock::now(), clock::steady_unix_ms());
    clock::suspend(SUSPENDED);
    let counted = Duration::from_micros(clock::now() - before);
    assert!(counted >= SUSPENDED);
    assert!(steady.elapsed() < counted);
    assert!(clock::steady_unix_ms() - unix >= SUSPENDED.as_millis() as u64);
}

/// A holder of the duties whose lease expired during a suspension makes no more calls.
#[test]
fn a_lease_expires_during_a_suspension() {
    let _lock = lock_clock();
    let own = Holder { name: "i0".into(), boot: 1 };
    let mut lease =
        Lease::new(own, Options { length: TIME_LIMIT, min_gap: 0 }, clock::now() - TIME_LIMIT);
    lease.read(clock::now(), Version { end: Position::new(0, 1), state: State::default() });
    let Step::Replace { expect, state } = lease.next(clock::now(), &Default::default(), false)
    else {
        panic!("the register is free");
    };
    let sent = clock::now();
    lease.replaced(sent, sent, expect, state, Replaced::Done);
    let within = 100 * MILLISECOND;
    let held = lease.token().is_some() && lease.left(clock::now()) > 0;
    assert!(held, "it holds the lease");
    clock::suspend(SUSPENDED);
    assert!(lease.permit(clock::now(), within).is_none(), "no call is permitted");
    assert_eq!(lease.left(clock::now()), 0);
}

/// A duty's call that was created before a suspension and whose deadline passed meanwhile is not sent.
#[test]
fn a_call_past_its_deadline_is_not_sent() {
    let _lock = lock_clock();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut read = Vec::new();
        stream.read_to_end(&mut read).map(|_| read)
    });
    let call = Call {
        address,
        path: "/usage",
        headers: Vec::new(),
        body: "{}".into(),
        until: clock::now() + TIME_LIMIT,
        timeout: Duration::from_secs(3_600),
    };
    clock::suspend(SUSPENDED);
    assert_eq!(run(post(call)), Err(Error::Unreachable));
    let read = server.join().expect("the thread ends");
    assert_eq!(read.unwrap_or_default(), Vec::<u8>::new());
}

/// Waiting for a response ends at the deadline of the request, although the timer didn't run during the suspension.
#[test]
fn waiting_for_a_response_ends_at_the_deadline() {
    let _lock = lock_clock();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    let server = thread::spawn(move || listener.accept());
    let hour = 3_600 * SECOND;
    let client = thread::spawn(move || {
        run(async move {
            let mut conn =
                upstream::Conn::connect(address, Millis(10_000)).await.expect("a connection");
            let until = clock::now() + hour;
            conn.next_part(until, || false).await.map(|_| ())
        })
    });
    let accepted = server.join().expect("the thread ends").expect("a connection");
    // The wait may begin only after a suspension, and then lasts for an hour from there; so the clock is advanced
    // until it ends.
    while !client.is_finished() {
        clock::suspend(Duration::from_micros(hour + SECOND));
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(client.join().expect("the thread ends"), Err(upstream::Error::TimedOut));
    drop(accepted);
}
