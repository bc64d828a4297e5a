//! Fairness between accounts and proportional waits between classes.

use std::collections::VecDeque;

use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

const NOW: Millis = Millis(0);

fn submit(fixture: &mut Fixture, account: usize, tokens: u32) {
    let mut arrival = fixture.arrival(0, account);
    arrival.max_tokens = tokens;
    fixture.scheduler.submit(&arrival, NOW);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// While two accounts have queued requests, the tokens served to them never differ by more than
    /// one request of each, whatever the sizes.
    #[test]
    fn backlogged_accounts_are_served_equally(
        first in proptest::collection::vec(1u32..200, 40..80),
        second in proptest::collection::vec(1u32..200, 40..80),
    ) {
        let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
        for tokens in &first {
            submit(&mut fixture, 0, *tokens);
        }
        for tokens in &second {
            submit(&mut fixture, 1, *tokens);
        }
        let (mut served, mut left) = ([0i64; 2], [first.len(), second.len()]);
        while left.iter().all(|&n| n > 0) {
            let ticket = fixture.dispatch(NOW, 1);
            let index = usize::from(ticket.account() == fixture.accounts[1].key);
            let charge = ticket.charge();
            served[index] += charge as i64;
            left[index] -= 1;
            fixture.finish(ticket, charge as u32, NOW);
            prop_assert!((served[0] - served[1]).abs() <= 400, "{served:?}");
        }
    }
}

/// An account of weight 3 gets three times the tokens of an account of weight 1.
#[test]
fn accounts_are_served_by_weight() {
    let heavy = AccountSpec {
        weight: 3.0,
        ..AccountSpec::default()
    };
    let specs = [heavy, AccountSpec::default()];
    let mut fixture = Fixture::with_accounts(Settings::default(), &[batch()], &specs);
    for _ in 0..400 {
        submit(&mut fixture, 0, 50);
        submit(&mut fixture, 1, 50);
    }
    let heavy = fixture.accounts[0].key;
    let starts = (0..400).map(|_| fixture.dispatch(NOW, 1).account());
    let count = starts.filter(|&account| account == heavy).count();
    assert!((295..=305).contains(&count), "{count}");
}

/// One account was idle while another was served for an hour. On its return both are served
/// equally. With credit for the idle time, the steady account would be shut out until the hour was
/// made up for.
#[test]
fn idle_time_earns_no_credit() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
    for _ in 0..1000 {
        submit(&mut fixture, 0, 100);
    }
    for _ in 0..900 {
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    for _ in 0..100 {
        submit(&mut fixture, 1, 100);
    }
    let steady = fixture.accounts[0].key;
    let starts = (0..40).map(|_| fixture.dispatch(NOW, 1).account());
    let count = starts.filter(|&account| account == steady).count();
    assert!((19..=21).contains(&count), "{count}");
}

/// An account was charged for a long answer that turned out short. The refund clears its debt, but
/// must not put the account ahead of the others for the time in which it had nothing queued.
#[test]
fn a_refund_earns_no_credit() {
    let settings = Settings {
        default_output: 10_000,
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, &[batch()], 2);
    submit(&mut fixture, 1, 10_000);
    let long = fixture.dispatch(NOW, 1);
    for _ in 0..60 {
        submit(&mut fixture, 0, 100);
    }
    for _ in 0..20 {
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    fixture.finish(long, 1, NOW);
    for _ in 0..40 {
        submit(&mut fixture, 1, 100);
    }
    // Compared in tokens, since the account's next answers are expected to be shorter.
    let steady = fixture.accounts[0].key;
    let mut served = [0; 2];
    for _ in 0..40 {
        let ticket = fixture.dispatch(NOW, 1);
        served[usize::from(ticket.account() != steady)] += ticket.charge();
    }
    assert!(served[0].abs_diff(served[1]) <= 200, "{served:?}");
}

/// An account's answers suddenly become fifty times as long as charged, while another account keeps
/// sending requests with short answers. The long account loses precedence as its actual token
/// counts arrive, so the other still gets its half of the tokens.
#[test]
fn an_account_with_long_answers_does_not_starve_others() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
    let long = fixture.accounts[0].key;
    let mut served = [0u64; 2];
    let mut running = VecDeque::new();
    for _ in 0..20 {
        submit(&mut fixture, 0, 100_000);
        submit(&mut fixture, 1, 100_000);
    }
    for _ in 0..20_000 {
        let ticket = fixture.dispatch(NOW, 1);
        submit(&mut fixture, usize::from(ticket.account() != long), 100_000);
        running.push_back(ticket);
        if running.len() == 16 {
            let ticket = running.pop_front().expect("sixteen are running");
            let is_long = ticket.account() == long;
            let output = if is_long { 5000 } else { 100 };
            served[usize::from(!is_long)] += u64::from(output);
            fixture.finish(ticket, output, NOW);
        }
    }
    let share = served[1] as f64 / (served[0] + served[1]) as f64;
    assert!((0.4..0.6).contains(&share), "{share} of {served:?}");
}

/// After several long answers, the account's next requests are charged as long ones from the start.
/// The charge of the other account doesn't change.
#[test]
fn the_charge_adapts_to_the_account() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
    for _ in 0..8 {
        submit(&mut fixture, 0, 100_000);
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 5000, NOW);
    }
    submit(&mut fixture, 0, 100_000);
    assert!(fixture.dispatch(NOW, 1).charge() > 2000);
    submit(&mut fixture, 1, 100_000);
    assert_eq!(fixture.dispatch(NOW, 1).charge(), 256);
}

/// Output beyond the estimate is charged while it streams, so the other account takes precedence
/// before the first long answer has ended.
#[test]
fn a_stream_is_charged_while_it_runs() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
    for _ in 0..20 {
        submit(&mut fixture, 0, 100);
    }
    let ticket = fixture.dispatch(NOW, 1).sent();
    fixture.scheduler.progress(&ticket, 1000, NOW);
    for _ in 0..20 {
        submit(&mut fixture, 1, 100);
    }
    let other = fixture.accounts[1].key;
    for _ in 0..9 {
        assert_eq!(fixture.dispatch(NOW, 1).account(), other);
    }
}

/// An account's only request runs far longer than estimated. Meanwhile the account is idle and the
/// other has caught up with it. The debt must still count; otherwise an account could send such
/// requests a few at a time and pay only their estimates.
#[test]
fn the_debt_of_a_long_answer_persists_while_the_account_is_idle() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 2);
    submit(&mut fixture, 1, 100);
    let long = fixture.dispatch(NOW, 1);
    for _ in 0..80 {
        submit(&mut fixture, 0, 100);
    }
    for _ in 0..20 {
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    fixture.finish(long, 5000, NOW);
    submit(&mut fixture, 1, 100);
    for _ in 0..40 {
        let ticket = fixture.dispatch(NOW, 1);
        assert_eq!(ticket.account(), fixture.accounts[0].key);
        fixture.finish(ticket, 100, NOW);
    }
}

/// A thousand accounts send one request each. Once the virtual time has caught up with them, their
/// state is dropped, so that memory use follows the active accounts. The state of an account that
/// is removed is dropped as well.
#[test]
fn the_state_of_idle_accounts_is_dropped() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 1000);
    for account in 0..1000 {
        submit(&mut fixture, account, 100);
    }
    for _ in 0..1000 {
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    let flows = |fixture: &Fixture| {
        fixture
            .scheduler
            .class_status(fixture.classes[0].key)
            .map(|s| s.flows)
    };
    for _ in 0..3 {
        submit(&mut fixture, 0, 100);
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    assert_eq!(flows(&fixture), Some(1));
    fixture
        .scheduler
        .configure(&fixture.classes, &fixture.accounts[1..], NOW);
    assert_eq!(flows(&fixture), Some(0));
}

/// Two classes of one tier have no target. They are served in order of arrival, rather than one
/// always before the other.
#[test]
fn classes_without_a_target_are_served_by_arrival() {
    let mut fixture = Fixture::new(Settings::default(), &[batch(), batch()], 1);
    for tick in 0..10 {
        fixture.queue(1, 0, Millis(tick * 10));
        fixture.queue(0, 0, Millis(tick * 10 + 5));
    }
    for index in 0..20 {
        let ticket = fixture.dispatch(Millis(100), 1);
        assert_eq!(ticket.class(), fixture.classes[1 - index % 2].key);
    }
}

/// Two classes of one tier have the same target and weights 1 and 4, and the load is too high for
/// all requests to meet it. The class of weight 1 waits almost its whole target, and the class of
/// weight 4 a quarter of it.
#[test]
fn classes_wait_in_inverse_proportion_to_their_weight() {
    let class = |weight| ClassSpec {
        weight,
        target: Millis(10_000),
        max_wait: Millis::MAX,
        ..interactive()
    };
    let mut fixture = Fixture::new(Settings::default(), &[class(1.0), class(4.0)], 2);
    let (mut waits, mut starts) = ([0u64; 2], [0u64; 2]);
    let mut arrivals = VecDeque::new();
    // Two arrivals every 50 ms, and three starts every 100 ms.
    for tick in 0..2000u64 {
        let now = Millis(tick * 50);
        for class in 0..2 {
            let key = fixture.queue(class, class, now);
            arrivals.push_back((key, now));
        }
        for _ in 0..1 + tick % 2 {
            let ticket = fixture.dispatch(now, 1);
            let index = usize::from(ticket.class() == fixture.classes[1].key);
            let found = arrivals.iter().position(|(key, _)| *key == ticket.key());
            let arrived = found
                .and_then(|at| arrivals.remove(at))
                .expect("the arrival was recorded")
                .1;
            let wait = now.since(arrived).0;
            if tick > 1000 && wait < 10_000 {
                waits[index] += wait;
                starts[index] += 1;
            }
        }
    }
    let mean = |index: usize| waits[index] / starts[index].max(1);
    assert!((9000..10_000).contains(&mean(0)), "{}", mean(0));
    assert!((2000..3000).contains(&mean(1)), "{}", mean(1));
}
