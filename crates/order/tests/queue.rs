//! Order, deadlines and goodput of the bounded queue under overload.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use order::{Queue, QueueError, Terms};
use rstest::rstest;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Requests are served in the order of arrival, so that a caller that sends its next request at once
/// does not overtake others.
#[test]
fn first_in_first_out() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    for caller in ["a", "b", "c"] {
        queue
            .push(caller, Terms::until(now + millis(100)), now)
            .unwrap();
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        let caller = queue.pop(now, |_| {}).unwrap();
        order.push(caller);
        queue
            .push(caller, Terms::until(now + millis(100)), now)
            .unwrap();
    }
    assert_eq!(order, ["a", "b", "c", "a", "b", "c"]);
}

/// A request that is passed over keeps its place, and its deadline applies meanwhile.
#[test]
fn passed_over() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    for (item, wait) in [
        ("late", 10),
        ("first", 100),
        ("second", 100),
        ("third", 100),
    ] {
        queue
            .push(item, Terms::until(now + millis(wait)), now)
            .unwrap();
    }
    let mut late = Vec::new();

    let usable = queue.pop_if(
        now + millis(10),
        |item| *item == "second",
        |item| late.push(item),
    );

    assert_eq!((usable, late), (Some("second"), vec!["late"]));
    assert_eq!(queue.iter(now).collect::<Vec<_>>(), [&"first", &"third"]);
}

/// A full queue refuses requests at once.
#[test]
fn full() {
    let now = Instant::now();
    let mut queue = Queue::new(2);
    queue.push(1, Terms::until(now + millis(100)), now).unwrap();
    queue.push(2, Terms::until(now + millis(100)), now).unwrap();
    let third = queue.push(3, Terms::until(now + millis(100)), now);
    assert_eq!(third, Err(QueueError::Full));
}

/// A request whose deadline passed in the queue must not be served.
#[test]
fn deadline_in_queue() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    queue.push(1, Terms::until(now + millis(10)), now).unwrap();
    queue.push(2, Terms::until(now + millis(100)), now).unwrap();
    let mut late = Vec::new();
    let served = queue.pop(now + millis(10), |item| late.push(item));
    assert_eq!((served, late), (Some(2), vec![1]));
}

/// A request whose expected wait exceeds its deadline is refused at once, and requests are accepted
/// again when the queue has drained.
#[test]
fn expected_wait() {
    let start = Instant::now();
    let mut queue = Queue::new(100);
    for i in 0..20 {
        queue
            .push(i, Terms::until(start + millis(10_000)), start)
            .unwrap();
    }
    for n in 0..10 {
        queue.pop(start + millis(n * 20), |_| {});
    }
    let now = start + millis(200);
    assert_eq!(
        queue.push(90, Terms::until(now + millis(50)), now),
        Err(QueueError::Late)
    );
    queue
        .push(91, Terms::until(now + millis(1_000)), now)
        .unwrap();
    while queue.pop(now, |_| {}).is_some() {}
    queue.push(92, Terms::until(now + millis(50)), now).unwrap();
}

/// A request must not start so late that a statement of average length ends at its deadline: half of
/// such requests would end after it.
#[test]
fn starts_only_with_enough_time_left() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    queue.record_service_time(millis(10));
    queue
        .push("late", Terms::until(now + millis(30)), now)
        .unwrap();
    queue
        .push("next", Terms::until(now + millis(100)), now)
        .unwrap();
    let mut late = Vec::new();
    let served = queue.pop(now + millis(15), |item| late.push(item));
    assert_eq!((served, late), (Some("next"), vec!["late"]));
}

/// Simulates one database with two slots of 10 ms and callers that arrive at `load` times its
/// capacity, and counts the requests that finish before their deadline.
fn goodput(load: f64) -> u64 {
    let start = Instant::now();
    let end = start + Duration::from_secs(20);
    let deadline = millis(200);
    let service = millis(10);
    let gap = Duration::from_secs_f64(0.005 / load);
    let mut queue = Queue::new(1_000);
    let mut busy: BinaryHeap<Reverse<Instant>> = BinaryHeap::new();
    let mut arrival = start;
    let mut good = 0;
    while arrival < end {
        while let Some(&Reverse(done)) = busy.peek()
            && done <= arrival
        {
            busy.pop();
            queue.record_service_time(service);
            if let Some(until) = queue.pop(done, |_| {}) {
                good += u64::from(done + service <= until);
                busy.push(Reverse(done + service));
            }
        }
        let until = arrival + deadline;
        if queue.push(until, Terms::until(until), arrival).is_ok()
            && busy.len() < 2
            && let Some(until) = queue.pop(arrival, |_| {})
        {
            good += u64::from(arrival + service <= until);
            busy.push(Reverse(arrival + service));
        }
        arrival += gap;
    }
    good
}

/// Guards against a drop in goodput under overload because work is spent on requests that are late.
#[rstest]
#[case(2.0)]
#[case(3.0)]
#[case(10.0)]
fn overload(#[case] load: f64) {
    let peak = goodput(1.0).max(goodput(0.9));
    let overloaded = goodput(load);
    assert!(
        overloaded * 10 >= peak * 9,
        "{overloaded} of {peak} at {load} times the capacity"
    );
}

/// Guards against refusals after an outage: a period in which nothing is served says nothing about
/// the wait after it.
#[test]
fn outage_does_not_lengthen_the_expected_wait() {
    let start = Instant::now();
    let mut queue = Queue::new(100);
    queue.record_service_time(Duration::from_millis(10));
    let deadline = start + Duration::from_secs(10);
    for i in 0..20 {
        queue.push(i, Terms::until(deadline), start).unwrap();
    }
    queue.pop(start, drop);

    queue.pop(start + Duration::from_secs(2), drop);

    assert!(queue.expected_wait() <= Duration::from_millis(10) * 18);
}
