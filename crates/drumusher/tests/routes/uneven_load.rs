//! Most new connections go to one instance.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::support::{Deployment, Request};

/// One connection in this many goes to another instance.
const OTHERS: usize = 10;
/// Callers of the usual load, and then.
const CALLERS: [usize; 2] = [4, 8];
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// How long each load lasts.
const TIME: Duration = Duration::from_secs(3);

/// Requests that were served at the first attempt, and all.
fn load(
    deployment: &Deployment,
    callers: usize,
    pick: impl Fn(usize) -> usize + Sync,
) -> [usize; 2] {
    let until = Instant::now() + TIME;
    thread::scope(|scope| {
        let counted = (0..callers).map(|caller| {
            let pick = &pick;
            scope.spawn(move || {
                let mut counts = [0, 0];
                while Instant::now() < until {
                    let path = if counts[1] % 2 == 0 { "/read/" } else { "/talk/" };
                    let response = deployment.send(pick(caller + counts[1]), &Request::get(path));
                    let served = response.is_ok_and(|r| r.status == 200 && r.complete);
                    counts = [counts[0] + usize::from(served), counts[1] + 1];
                    thread::sleep(PAUSE);
                }
                counts
            })
        });
        let counted: Vec<_> = counted.collect();
        let counts = counted.into_iter().map(|counted| counted.join().expect("no panic"));
        counts.fold([0, 0], |sum, counts| [sum[0] + counts[0], sum[1] + counts[1]])
    })
}

#[test]
fn an_instance_that_gets_most_new_connections_serves_as_before() {
    let deployment = Deployment::new(4);
    let before = load(&deployment, CALLERS[0], |number| number % 4);
    let then = load(
        &deployment,
        CALLERS[1],
        |number| if number % OTHERS == 0 { 1 + number % 3 } else { 0 },
    );
    println!("served of sent: {before:?} before, {then:?} while most go to one instance");
    assert!(then[0] * before[1] * 4 >= then[1] * before[0] * 3, "{before:?}, {then:?}");
}
