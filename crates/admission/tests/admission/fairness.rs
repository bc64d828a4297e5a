//! Fairness between accounts and proportion between classes.

use std::collections::VecDeque;

use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

const NOW: Millis = Millis(0);

fn queue_of(bed: &mut Bed, account: usize, tokens: u32) {
    let mut arrival = bed.arrival(0, account);
    arrival.max_tokens = tokens;
    bed.scheduler.submit(&arrival, NOW);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// While two accounts have work queued, the tokens they were served never differ by more than
    /// one request of each, whatever the sizes.
    #[test]
    fn backlogged_accounts_are_served_alike(
        first in proptest::collection::vec(1u32..200, 40..80),
        second in proptest::collection::vec(1u32..200, 40..80),
    ) {
        let mut bed = Bed::new(Settings::default(), &[batch()], 2);
        for tokens in &first {
            queue_of(&mut bed, 0, *tokens);
        }
        for tokens in &second {
            queue_of(&mut bed, 1, *tokens);
        }
        let (mut served, mut left) = ([0i64; 2], [first.len(), second.len()]);
        while left.iter().all(|&n| n > 0) {
            let ticket = bed.dispatch(NOW, 1);
            let index = usize::from(ticket.account() == bed.accounts[1].key);
            let charge = ticket.charge();
            served[index] += charge as i64;
            left[index] -= 1;
            bed.finish(ticket, charge as u32, NOW);
            prop_assert!((served[0] - served[1]).abs() <= 400, "{served:?}");
        }
    }
}

/// An account of weight 3 gets three times the tokens of one of weight 1.
#[test]
fn accounts_are_served_by_weight() {
    let heavy = AccountSpec {
        weight: 3.0,
        ..AccountSpec::default()
    };
    let specs = [heavy, AccountSpec::default()];
    let mut bed = Bed::with_accounts(Settings::default(), &[batch()], &specs);
    for _ in 0..400 {
        queue_of(&mut bed, 0, 50);
        queue_of(&mut bed, 1, 50);
    }
    let heavy = bed.accounts[0].key;
    let starts = (0..400).map(|_| bed.dispatch(NOW, 1).account());
    let count = starts.filter(|&account| account == heavy).count();
    assert!((295..=305).contains(&count), "{count}");
}

/// One account was idle while another worked for an hour. On its return it is served like the
/// other, and not alone until the hour is made up for: that would shut out the steady account.
#[test]
fn idle_time_is_no_credit() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 2);
    for _ in 0..1000 {
        queue_of(&mut bed, 0, 100);
    }
    for _ in 0..900 {
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    for _ in 0..100 {
        queue_of(&mut bed, 1, 100);
    }
    let steady = bed.accounts[0].key;
    let starts = (0..40).map(|_| bed.dispatch(NOW, 1).account());
    let count = starts.filter(|&account| account == steady).count();
    assert!((19..=21).contains(&count), "{count}");
}

/// An account was charged for a long answer that turned out short. The refund clears its debt; it
/// must not put the account ahead of the others for the time in which it had nothing queued.
#[test]
fn a_refund_is_no_credit() {
    let settings = Settings {
        default_output: 10_000,
        ..Settings::default()
    };
    let mut bed = Bed::new(settings, &[batch()], 2);
    queue_of(&mut bed, 1, 10_000);
    let long = bed.dispatch(NOW, 1);
    for _ in 0..60 {
        queue_of(&mut bed, 0, 100);
    }
    for _ in 0..20 {
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    bed.finish(long, 1, NOW);
    for _ in 0..40 {
        queue_of(&mut bed, 1, 100);
    }
    // In tokens, since the account's next answers are expected to be shorter.
    let steady = bed.accounts[0].key;
    let mut served = [0; 2];
    for _ in 0..40 {
        let ticket = bed.dispatch(NOW, 1);
        served[usize::from(ticket.account() != steady)] += ticket.charge();
    }
    assert!(served[0].abs_diff(served[1]) <= 200, "{served:?}");
}

/// An account suddenly sends jobs whose answers are fifty times as long as charged. The others keep
/// sending short ones. The long account falls back as its real counts come in, so the others get
/// their half of the tokens and are not pushed out.
#[test]
fn an_account_with_long_jobs_does_not_push_the_others_out() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 2);
    let long = bed.accounts[0].key;
    let mut served = [0u64; 2];
    let mut running = VecDeque::new();
    for _ in 0..20 {
        queue_of(&mut bed, 0, 100_000);
        queue_of(&mut bed, 1, 100_000);
    }
    for _ in 0..20_000 {
        let ticket = bed.dispatch(NOW, 1);
        queue_of(&mut bed, usize::from(ticket.account() != long), 100_000);
        running.push_back(ticket);
        if running.len() == 16 {
            let ticket = running.pop_front().expect("sixteen are running");
            let is_long = ticket.account() == long;
            let output = if is_long { 5000 } else { 100 };
            served[usize::from(!is_long)] += u64::from(output);
            bed.finish(ticket, output, NOW);
        }
    }
    let share = served[1] as f64 / (served[0] + served[1]) as f64;
    assert!((0.4..0.6).contains(&share), "{share} of {served:?}");
}

/// After some long answers the account's next requests are charged as long ones at the start, and
/// the other account's as before.
#[test]
fn the_charge_follows_the_account() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 2);
    for _ in 0..8 {
        queue_of(&mut bed, 0, 100_000);
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 5000, NOW);
    }
    queue_of(&mut bed, 0, 100_000);
    assert!(bed.dispatch(NOW, 1).charge() > 2000);
    queue_of(&mut bed, 1, 100_000);
    assert_eq!(bed.dispatch(NOW, 1).charge(), 256);
}

/// The same account charges its output as it streams: before its first long answer has ended, the
/// other account goes ahead of it.
#[test]
fn a_stream_is_charged_while_it_runs() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 2);
    for _ in 0..20 {
        queue_of(&mut bed, 0, 100);
    }
    let ticket = bed.dispatch(NOW, 1).sent();
    bed.scheduler.progress(&ticket, 1000, NOW);
    for _ in 0..20 {
        queue_of(&mut bed, 1, 100);
    }
    let other = bed.accounts[1].key;
    for _ in 0..9 {
        assert_eq!(bed.dispatch(NOW, 1).account(), other);
    }
}

/// An account's only request runs far longer than estimated, while the account is idle and its
/// share was long made up for. The debt counts none the less: a few at a time, such requests would
/// otherwise cost nothing beyond their estimates.
#[test]
fn the_debt_of_a_long_answer_outlives_idling() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 2);
    queue_of(&mut bed, 1, 100);
    let long = bed.dispatch(NOW, 1);
    for _ in 0..80 {
        queue_of(&mut bed, 0, 100);
    }
    for _ in 0..20 {
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    bed.finish(long, 5000, NOW);
    queue_of(&mut bed, 1, 100);
    for _ in 0..40 {
        let ticket = bed.dispatch(NOW, 1);
        assert_eq!(ticket.account(), bed.accounts[0].key);
        bed.finish(ticket, 100, NOW);
    }
}

/// A thousand accounts send one request each. Once the others have caught up with them nothing is
/// remembered of them, so memory follows the accounts in use; and nothing of one that is removed.
#[test]
fn idle_accounts_are_forgotten() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 1000);
    for account in 0..1000 {
        queue_of(&mut bed, account, 100);
    }
    for _ in 0..1000 {
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    let flows = |bed: &Bed| {
        bed.scheduler
            .class_status(bed.classes[0].key)
            .map(|s| s.flows)
    };
    for _ in 0..3 {
        queue_of(&mut bed, 0, 100);
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    assert_eq!(flows(&bed), Some(1));
    bed.scheduler
        .configure(&bed.classes, &bed.accounts[1..], NOW);
    assert_eq!(flows(&bed), Some(0));
}

/// Two classes of one tier have no target. They are served in order of arrival, and not one of them
/// first for ever.
#[test]
fn classes_without_a_target_go_by_arrival() {
    let mut bed = Bed::new(Settings::default(), &[batch(), batch()], 1);
    for tick in 0..10 {
        bed.queue(1, 0, Millis(tick * 10));
        bed.queue(0, 0, Millis(tick * 10 + 5));
    }
    for index in 0..20 {
        let ticket = bed.dispatch(Millis(100), 1);
        assert_eq!(ticket.class(), bed.classes[1 - index % 2].key);
    }
}

/// Two classes of one tier and one target, weights 1 and 4, and more load than can attain. The class
/// of weight 1 waits to the edge of its target and that of weight 4 to a quarter of it.
#[test]
fn classes_wait_in_inverse_proportion_to_their_weight() {
    let class = |weight| ClassSpec {
        weight,
        target: Millis(10_000),
        max_wait: Millis::MAX,
        ..live()
    };
    let mut bed = Bed::new(Settings::default(), &[class(1.0), class(4.0)], 2);
    let (mut waits, mut starts) = ([0u64; 2], [0u64; 2]);
    let mut arrivals = VecDeque::new();
    // Two arrivals every 50 ms, and three starts every 100 ms.
    for tick in 0..2000u64 {
        let now = Millis(tick * 50);
        for class in 0..2 {
            let key = bed.queue(class, class, now);
            arrivals.push_back((key, now));
        }
        for _ in 0..1 + tick % 2 {
            let ticket = bed.dispatch(now, 1);
            let index = usize::from(ticket.class() == bed.classes[1].key);
            let found = arrivals.iter().position(|(key, _)| *key == ticket.key());
            let arrived = found.and_then(|at| arrivals.remove(at)).expect("known").1;
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
