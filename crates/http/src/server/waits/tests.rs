use async_std::task;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;

use super::EndedWaits;
use super::WaitGuard;
use super::WaitKind;
use super::Waits;
use crate::server::limits::WaitLimits;

/// Every wait is behind a millisecond after its last progress.
const IMPATIENT: WaitLimits = WaitLimits {
    patience: Millis::ZERO,
    min_rate: 1,
};

fn pass(millis: u64) {
    task::block_on(task::sleep(Millis(millis).into()));
}

fn body(waits: &Waits, reserved: u64, limits: &WaitLimits) -> WaitGuard {
    let (wait, _) = waits.open().begin(WaitKind::Body, limits);
    wait.set_reserved(reserved);
    wait
}

/// Guards against a caller that is let go while it is on time, and one that can't be let go although it is behind.
#[test]
fn only_waits_that_are_behind_make_room() {
    let waits = Waits::default();
    let (seat, other) = (waits.open(), waits.open());
    let (_patient, _) = seat.begin(WaitKind::Idle, &WaitLimits::default());
    pass(3);
    assert!(!waits.make_room());
    let (_behind, _) = other.begin(WaitKind::Head, &IMPATIENT);
    pass(3);
    assert!(waits.make_room());
    assert!(!waits.make_room(), "it was chosen once");
    assert_eq!(waits.leaving(), 1);
    drop(other);
    assert_eq!(waits.leaving(), 0);
    let ended = EndedWaits {
        head: 1,
        ..EndedWaits::default()
    };
    assert_eq!(waits.ended(), ended);
}

/// Guards against bodies that are ended in vain, as those that are behind hold too little, and against more of them than
/// are needed.
#[test]
fn bodies_end_only_where_that_frees_enough() {
    let waits = Waits::default();
    let first = body(&waits, 100, &IMPATIENT);
    pass(3);
    let second = body(&waits, 100, &IMPATIENT);
    let _fast = body(&waits, 1000, &WaitLimits::default());
    pass(3);
    assert!(!waits.free(201));
    assert_eq!(waits.ended().body, 0);
    assert!(waits.free(100));
    assert_eq!(waits.ended().body, 1);
    assert!(!waits.free(101), "the second one holds 100");
    drop((first, second));
}

/// Guards against a trickle that keeps a body from ever being behind, and a burst that does so for long.
#[test]
fn bytes_put_off_the_due_time_by_what_they_buy() {
    let limits = WaitLimits {
        patience: Millis(100),
        min_rate: 1_000_000,
    };
    let waits = Waits::default();
    let due = |waits: &Waits| waits.shared.state().waits.values().next().unwrap().due;
    let mut wait = body(&waits, 100, &limits);
    let began = due(&waits);
    wait.record(10);
    assert_eq!(due(&waits), began, "ten bytes buy no millisecond");
    wait.record(100_000_000);
    let latest = waits.shared.clock.now() + limits.patience;
    assert!(due(&waits) <= latest, "at most the patience ahead");
    pass(200);
    assert!(waits.free(100));
}

/// Guards against a request that is refused although a body which is behind holds the memory that it needs.
#[test]
fn memory_of_an_ended_body_is_reserved() {
    let waits = Waits::default();
    let budget = MemoryBudget::new(100);
    let (wait, registration) = waits.open().begin(WaitKind::Body, &IMPATIENT);
    let reservation = budget.reserve(100).unwrap();
    wait.set_reserved(100);
    let held = task::spawn(async move {
        let _held = (wait, reservation);
        let pending = futures::future::pending::<()>();
        futures::future::Abortable::new(pending, registration).await
    });
    pass(3);
    let reserved = task::block_on(waits.reserve(&budget, 60));
    assert!(reserved.is_some());
    assert!(task::block_on(held).is_err());
}

/// Guards against an answer that is ended although its caller reads, or its server is what is waited for.
#[test]
fn an_answer_is_behind_only_while_its_caller_does_not_read() {
    let waits = Waits::default();
    let seat = waits.open();
    let (mut wait, _) = seat.begin(WaitKind::Answer, &IMPATIENT);
    pass(3);
    assert!(!waits.make_room(), "the server is waited for");
    wait.resume();
    wait.pause();
    pass(3);
    assert!(!waits.make_room(), "all was read");
    wait.resume();
    pass(3);
    assert!(waits.make_room());
    assert_eq!(waits.ended().answer, 1);
}
