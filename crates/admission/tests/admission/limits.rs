//! Limits of client accounts.

use crocushold_admission::AccountSpec;
use crocushold_admission::Completion;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

const NOW: Millis = Millis(0);

fn fixture(spec: &AccountSpec) -> Fixture {
    let other = AccountSpec::default();
    Fixture::with_accounts(
        Settings::default(),
        &[interactive(), batch()],
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

/// The account's rate is exceeded. The refusal gives the time after which a request fits again, and
/// then one is admitted.
#[test]
fn a_rate_limit_refusal_gives_the_retry_time() {
    let mut fixture = fixture(&AccountSpec {
        request_rate: 0.5,
        burst: Millis(2000),
        ..AccountSpec::default()
    });
    fixture.queue(0, 0, NOW);
    let refusal = fixture.refuse(0, 0, NOW);
    assert_eq!(refusal.reason, Reason::RequestRate);
    assert!(refusal.retry_after >= Millis(2000));
    fixture.queue(0, 1, NOW);
    fixture.queue(0, 0, refusal.retry_after);
}

/// An answer is far longer than was charged. The difference is a debt, and the account is refused
/// until the debt is paid off.
#[test]
fn a_long_answer_is_settled_against_the_rate() {
    let mut fixture = fixture(&tokens(100.0));
    fixture.queue(1, 0, NOW);
    let ticket = fixture.dispatch(NOW, 1);
    fixture.finish(ticket, 1000, NOW);
    let refusal = fixture.refuse(1, 0, NOW);
    assert_eq!(refusal.reason, Reason::TokenRate);
    assert!(
        refusal.retry_after >= Millis(9000),
        "{}",
        refusal.retry_after
    );
}

/// The tokens of a request that was refused or cancelled in the queue are refunded, since its
/// caller got nothing for them.
#[test]
fn a_request_that_did_not_run_costs_nothing() {
    let mut fixture = fixture(&tokens(100.0));
    let key = fixture.queue(0, 0, NOW);
    assert_eq!(fixture.refuse(0, 0, NOW).reason, Reason::TokenRate);
    fixture.scheduler.cancel(key, 0, NOW);
    fixture.queue(0, 0, NOW);
    fixture.refused(Millis(2500), 1);
    fixture.queue(0, 0, Millis(2500));
}

/// A request larger than the whole burst is admitted once the bucket is full and leaves a debt;
/// otherwise it could never run.
#[test]
fn a_request_above_the_burst_runs_in_debt() {
    let mut fixture = fixture(&tokens(10.0));
    fixture.queue(1, 0, NOW);
    assert_eq!(fixture.refuse(1, 0, NOW).reason, Reason::TokenRate);
    fixture.refuse(1, 0, Millis(9000));
    fixture.queue(1, 0, Millis(10_000));
}

/// Another instance lends tokens. They admit requests until they are used or expire. Using them
/// later must be refused, because by then the lender counts them as its own again.
#[test]
fn granted_tokens_expire() {
    let mut fixture = fixture(&tokens(100.0));
    let account = fixture.accounts[0].key;
    fixture.queue(1, 0, NOW);
    fixture.refuse(1, 0, NOW);
    fixture.scheduler.grant(account, 200, Millis(50), NOW);
    fixture.queue(1, 0, NOW);
    fixture.refuse(1, 0, Millis(50));
}

/// The number of instances doubles, so this instance's share is halved and it admits half as much.
#[test]
fn the_share_scales_rates_and_concurrency() {
    let mut fixture = fixture(&AccountSpec {
        request_rate: 8.0,
        burst: Millis(1000),
        concurrency: 4,
        ..AccountSpec::default()
    });
    let account = fixture.accounts[0].key;
    fixture.scheduler.set_share(account, 0.5, NOW);
    for _ in 0..4 {
        fixture.queue(1, 0, NOW);
    }
    fixture.refuse(1, 0, NOW);
    let _first = fixture.dispatch(NOW, 8);
    let _second = fixture.dispatch(NOW, 8);
    fixture.idle(NOW, 8);
}

/// Another instance stops and this one's share grows. Requests that waited for the concurrency
/// limit are dispatched without waiting for a running request of the account to end.
#[test]
fn a_larger_share_unblocks_waiting_requests() {
    let mut fixture = fixture(&AccountSpec {
        concurrency: 4,
        ..AccountSpec::default()
    });
    let account = fixture.accounts[0].key;
    fixture.scheduler.set_share(account, 0.25, NOW);
    fixture.queue(1, 0, NOW);
    fixture.queue(1, 0, NOW);
    let _first = fixture.dispatch(NOW, 8);
    fixture.idle(NOW, 8);
    fixture.scheduler.set_share(account, 0.5, NOW);
    let _second = fixture.dispatch(NOW, 8);
}

/// An account is at its concurrency limit. Its next requests wait without delaying other accounts,
/// and start as soon as one of its own ends.
#[test]
fn the_concurrency_limit_blocks_only_its_account() {
    let mut fixture = fixture(&AccountSpec {
        concurrency: 1,
        ..AccountSpec::default()
    });
    fixture.queue(0, 0, NOW);
    fixture.queue(0, 0, NOW);
    fixture.queue(1, 0, NOW);
    let other = fixture.queue(1, 1, NOW);
    let running = fixture.dispatch(NOW, 8);
    assert_eq!(fixture.dispatch(NOW, 8).key(), other);
    fixture.idle(NOW, 8);
    assert_eq!(
        fixture.scheduler.account_running(fixture.accounts[0].key),
        1
    );
    fixture.finish(running, 10, NOW);
    assert_eq!(fixture.dispatch(NOW, 8).class(), fixture.classes[0].key);
    fixture.idle(NOW, 8);
}

/// While one account waits at its concurrency limit, another is served. Once the limit admits the
/// first again, the two take turns: the wait earns no credit that would delay the other account.
#[test]
fn time_at_the_concurrency_limit_earns_no_credit() {
    let mut fixture = fixture(&AccountSpec {
        concurrency: 1,
        ..AccountSpec::default()
    });
    for _ in 0..40 {
        fixture.queue(1, 0, NOW);
        fixture.queue(1, 1, NOW);
    }
    let limited = fixture.dispatch(NOW, 8);
    assert_eq!(limited.account(), fixture.accounts[0].key);
    for _ in 0..20 {
        let ticket = fixture.dispatch(NOW, 8);
        fixture.finish(ticket, 100, NOW);
    }
    fixture.finish(limited, 100, NOW);
    let mut count = 0;
    for _ in 0..20 {
        let ticket = fixture.dispatch(NOW, 8);
        count += usize::from(ticket.account() == fixture.accounts[0].key);
        fixture.finish(ticket, 100, NOW);
    }
    assert!((9..=11).contains(&count), "{count}");
}

/// An account at its limit of queued requests is refused cheaply, without effect on other accounts.
#[test]
fn an_account_queue_is_bounded() {
    let mut fixture = fixture(&AccountSpec {
        max_queued: 2,
        ..AccountSpec::default()
    });
    fixture.queue(1, 0, NOW);
    fixture.queue(0, 0, NOW);
    assert_eq!(fixture.refuse(0, 0, NOW).reason, Reason::AccountQueue);
    fixture.queue(0, 1, NOW);
}

/// An incomplete answer is settled like any other, but its length isn't learned from.
#[test]
fn incomplete_answers_are_charged_but_not_learned_from() {
    let mut fixture = fixture(&AccountSpec::default());
    for _ in 0..50 {
        fixture.queue(1, 0, NOW);
        let sent = fixture.dispatch(NOW, 1).sent();
        let completion = Completion {
            output: 1,
            complete: false,
        };
        let settled = fixture.scheduler.finish(sent, completion, NOW);
        assert_eq!(settled.map(|settlement| settlement.used), Some(1));
    }
    fixture.queue(1, 0, NOW);
    assert_eq!(fixture.dispatch(NOW, 1).charge(), 100);
}
