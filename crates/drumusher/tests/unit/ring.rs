//! Bounded queues between threads and tasks.

use drumusher::process::ring;

/// `try_send` on a full ring returns the message, and succeeds again after a receive. `send` exceeds the bound.
#[test]
fn a_full_ring_returns_the_message() {
    let (to_thread, thread) = ring::to_thread(2);
    let (to_task, task) = ring::to_task(2);
    for message in 0..2 {
        assert_eq!(to_thread.try_send(message), Ok(()));
        assert_eq!(to_task.try_send(message), Ok(()));
    }
    assert_eq!(to_thread.try_send(2), Err(2));
    assert_eq!(to_task.try_send(2), Err(2));
    assert_eq!(to_task.send(3), Ok(()), "`send` exceeds the bound");
    assert_eq!((thread.recv(), task.try_recv()), (Ok(0), Ok(0)));
    assert_eq!(to_thread.try_send(4), Ok(()));
    let all: Vec<i32> = std::iter::from_fn(|| task.try_recv().ok()).collect();
    assert_eq!(all, [1, 3]);
}

/// `try_send` without a receiver returns the message.
#[test]
fn a_ring_without_receiver_returns_the_message() {
    let (to_thread, thread) = ring::to_thread(2);
    let (to_task, task) = ring::to_task(2);
    drop((thread, task));
    assert_eq!(to_thread.try_send(1), Err(1));
    assert_eq!(to_task.try_send(1), Err(1));
}
