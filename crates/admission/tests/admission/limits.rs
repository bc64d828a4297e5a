//! Limits of client accounts.

use crocushold_admission::AccountSpec;
use crocushold_admission::Completion;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

const NOW: Millis = Millis(0);

fn bed(spec: &AccountSpec) -> Bed {
    let other = AccountSpec::default();
    Bed::with_accounts(
        Settings::default(),
        &[live(), batch()],
        &[spec.clone(), other],
    )
}

fn tokens(rate: f64) -> AccountSpec {
    AccountSpec {
        token_rate: rate,
        burst: Millis(1000),
        ..AccountSpec::default()
    }
}

/// The account's rate is used up: the refusal says when a request fits again, and then one does.
#[test]
fn a_rate_limit_says_when_to_come_back() {
    let mut bed = bed(&AccountSpec {
        request_rate: 0.5,
        burst: Millis(2000),
        ..AccountSpec::default()
    });
    bed.queue(0, 0, NOW);
    let refusal = bed.refuse(0, 0, NOW);
    assert_eq!(refusal.reason, Reason::RequestRate);
    assert!(refusal.retry_after >= Millis(2000));
    bed.queue(0, 1, NOW);
    bed.queue(0, 0, refusal.retry_after);
}

/// An answer turned out far longer than was charged: the difference is a debt, and the account is
/// refused until it is paid.
#[test]
fn a_long_answer_is_settled_against_the_rate() {
    let mut bed = bed(&tokens(100.0));
    bed.queue(1, 0, NOW);
    let ticket = bed.dispatch(NOW, 1);
    bed.finish(ticket, 1000, NOW);
    let refusal = bed.refuse(1, 0, NOW);
    assert_eq!(refusal.reason, Reason::TokenRate);
    assert!(
        refusal.retry_after >= Millis(9000),
        "{}",
        refusal.retry_after
    );
}

/// A request that was refused or cancelled in the queue gives its tokens back: the caller got
/// nothing for them.
#[test]
fn a_request_that_did_not_run_costs_nothing() {
    let mut bed = bed(&tokens(100.0));
    let key = bed.queue(0, 0, NOW);
    assert_eq!(bed.refuse(0, 0, NOW).reason, Reason::TokenRate);
    bed.scheduler.cancel(key, 0, NOW);
    bed.queue(0, 0, NOW);
    bed.refused(Millis(2500), 1);
    bed.queue(0, 0, Millis(2500));
}

/// A request above the whole burst is let through when the bucket is full, and leaves a debt;
/// otherwise it could never run at all.
#[test]
fn a_request_above_the_burst_runs_in_debt() {
    let mut bed = bed(&tokens(10.0));
    bed.queue(1, 0, NOW);
    assert_eq!(bed.refuse(1, 0, NOW).reason, Reason::TokenRate);
    bed.refuse(1, 0, Millis(9000));
    bed.queue(1, 0, Millis(10_000));
}

/// Another instance lends tokens. They let requests through until they are used or void, and a
/// late use of them is refused, because the lender has them back by then.
#[test]
fn lent_tokens_are_void_after_their_time() {
    let mut bed = bed(&tokens(100.0));
    let account = bed.accounts[0].key;
    bed.queue(1, 0, NOW);
    bed.refuse(1, 0, NOW);
    bed.scheduler.grant(account, 200, Millis(50), NOW);
    bed.queue(1, 0, NOW);
    bed.refuse(1, 0, Millis(50));
}

/// The membership doubles and this instance's share is halved: it lets half as much through.
#[test]
fn the_share_scales_rates_and_concurrency() {
    let mut bed = bed(&AccountSpec {
        request_rate: 8.0,
        burst: Millis(1000),
        concurrency: 4,
        ..AccountSpec::default()
    });
    let account = bed.accounts[0].key;
    bed.scheduler.set_share(account, 0.5, NOW);
    for _ in 0..4 {
        bed.queue(1, 0, NOW);
    }
    bed.refuse(1, 0, NOW);
    let _first = bed.dispatch(NOW, 8);
    let _second = bed.dispatch(NOW, 8);
    bed.idle(NOW, 8);
}

/// Another instance stops and this one's share grows: what waited for the concurrency limit goes on
/// without waiting for one of the account's requests to end.
#[test]
fn a_larger_share_lets_waiting_requests_go_on() {
    let mut bed = bed(&AccountSpec {
        concurrency: 4,
        ..AccountSpec::default()
    });
    let account = bed.accounts[0].key;
    bed.scheduler.set_share(account, 0.25, NOW);
    bed.queue(1, 0, NOW);
    bed.queue(1, 0, NOW);
    let _first = bed.dispatch(NOW, 8);
    bed.idle(NOW, 8);
    bed.scheduler.set_share(account, 0.5, NOW);
    let _second = bed.dispatch(NOW, 8);
}

/// The account runs as many requests as it may. Its next ones wait without holding up other
/// accounts, and start as soon as one of its own ends.
#[test]
fn the_concurrency_limit_holds_up_its_account_alone() {
    let mut bed = bed(&AccountSpec {
        concurrency: 1,
        ..AccountSpec::default()
    });
    bed.queue(0, 0, NOW);
    bed.queue(0, 0, NOW);
    bed.queue(1, 0, NOW);
    let other = bed.queue(1, 1, NOW);
    let running = bed.dispatch(NOW, 8);
    assert_eq!(bed.dispatch(NOW, 8).key(), other);
    bed.idle(NOW, 8);
    assert_eq!(bed.scheduler.account_running(bed.accounts[0].key), 1);
    bed.finish(running, 10, NOW);
    assert_eq!(bed.dispatch(NOW, 8).class(), bed.classes[0].key);
    bed.idle(NOW, 8);
}

/// While an account waits at its concurrency limit another is served. When the limit lets it go on,
/// the two take turns; the wait is no credit that would hold up the other.
#[test]
fn time_at_the_concurrency_limit_is_no_credit() {
    let mut bed = bed(&AccountSpec {
        concurrency: 1,
        ..AccountSpec::default()
    });
    for _ in 0..40 {
        bed.queue(1, 0, NOW);
        bed.queue(1, 1, NOW);
    }
    let limited = bed.dispatch(NOW, 8);
    assert_eq!(limited.account(), bed.accounts[0].key);
    for _ in 0..20 {
        let ticket = bed.dispatch(NOW, 8);
        bed.finish(ticket, 100, NOW);
    }
    bed.finish(limited, 100, NOW);
    let mut count = 0;
    for _ in 0..20 {
        let ticket = bed.dispatch(NOW, 8);
        count += usize::from(ticket.account() == bed.accounts[0].key);
        bed.finish(ticket, 100, NOW);
    }
    assert!((9..=11).contains(&count), "{count}");
}

/// An account with its allowed number of requests queued is refused, cheaply and for itself alone.
#[test]
fn an_account_queue_is_bounded() {
    let mut bed = bed(&AccountSpec {
        max_queued: 2,
        ..AccountSpec::default()
    });
    bed.queue(1, 0, NOW);
    bed.queue(0, 0, NOW);
    assert_eq!(bed.refuse(0, 0, NOW).reason, Reason::AccountQueue);
    bed.queue(0, 1, NOW);
}

/// The answer of a cancelled request is settled like any other, and a cut one teaches no length.
#[test]
fn cut_answers_are_charged_but_teach_nothing() {
    let mut bed = bed(&AccountSpec::default());
    for _ in 0..50 {
        bed.queue(1, 0, NOW);
        let sent = bed.dispatch(NOW, 1).sent();
        let completion = Completion {
            output: 1,
            complete: false,
        };
        let settled = bed.scheduler.finish(sent, completion, NOW);
        assert_eq!(settled.map(|settlement| settlement.used), Some(1));
    }
    bed.queue(1, 0, NOW);
    assert_eq!(bed.dispatch(NOW, 1).charge(), 100);
}
