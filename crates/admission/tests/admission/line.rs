//! The line before the engines, with engines that begin one request after the other.

use std::collections::HashMap;

use crocushold_admission::Line;
use crocushold_admission::LineArrival;
use crocushold_admission::LineEnd;
use crocushold_admission::LineRefusal;
use crocushold_admission::LineScope;
use crocushold_admission::LineSettings;
use crocushold_admission::LineStep;
use crocushold_admission::WaiterKey;
use crocushold_base::Millis;
use test_case::test_case;

const START: Millis = Millis(10_000);
const OUTPUT: u32 = 20;

fn arrival(rank: u8, account: u32) -> LineArrival {
    LineArrival {
        service: 1,
        group: 1,
        rank,
        account,
        request: 0,
        prompt_tokens: 800,
        output_tokens: OUTPUT,
        limit: Millis(1000),
        patience: Millis(1300),
    }
}

fn join(line: &mut Line, arrival: LineArrival, now: Millis) -> WaiterKey {
    line.join(&arrival, now).expect("there is room in line")
}

/// Takes the next request, for which there is room.
fn begin(line: &mut Line, waiter: WaiterKey, now: Millis) -> Option<(WaiterKey, LineScope)> {
    match line.next(line.group_of(waiter), now)? {
        LineStep::Offer(key, scope) => {
            line.begin(key, now);
            Some((key, scope))
        }
        LineStep::Refuse(..) => panic!("refused"),
    }
}

fn refused(line: &mut Line, waiter: WaiterKey, now: Millis) -> (WaiterKey, LineRefusal) {
    match line.next(line.group_of(waiter), now) {
        Some(LineStep::Refuse(key, refusal)) => (key, refusal),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// How the requests of an account or a rank fared.
#[derive(Clone, Copy, Debug, Default)]
struct Fared {
    asked: u64,
    refused: u64,
    begun: u64,
    /// The longest time until a decision.
    longest: u64,
}

impl Fared {
    fn refused_permille(self) -> u64 {
        1000 * self.refused / self.asked.max(1)
    }
}

/// What arrives: requests per second, by rank and account.
#[derive(Clone, Copy)]
struct Stream {
    rank: u8,
    account: u32,
    rate: u64,
    group: u64,
}

/// Engines that hold no more than they can begin within the bound.
struct Engines {
    /// Until when each is busy, by group.
    busy: HashMap<u64, Vec<u64>>,
    span: u64,
}

const ENGINE_BOUND: u64 = 150;

impl Engines {
    fn new(counts: &[(u64, usize)], span: u64) -> Engines {
        let busy = counts.iter();
        Engines {
            busy: busy
                .map(|&(group, count)| (group, vec![0; count]))
                .collect(),
            span,
        }
    }

    /// The engine that begins a request first, and whether it does so soon.
    fn take(&mut self, group: u64, scope: LineScope, now: u64) -> Option<u64> {
        let own = self.busy.get_mut(&group)?.iter_mut().min()?;
        if *own <= now + ENGINE_BOUND {
            *own = now.max(*own) + self.span;
            return Some(*own);
        }
        if scope == LineScope::Group {
            return None;
        }
        let any = self.busy.values_mut().flatten().min()?;
        if *any <= now + ENGINE_BOUND || scope == LineScope::Unbounded {
            *any = now.max(*any) + self.span;
            return Some(*any);
        }
        None
    }
}

/// Plays the streams for some seconds and returns how each fared.
fn play(streams: &[Stream], engines: &mut Engines, seconds: u64) -> Vec<Fared> {
    let mut line = Line::new(LineSettings::default());
    let mut fared = vec![Fared::default(); streams.len()];
    let mut joined: HashMap<WaiterKey, (usize, u64)> = HashMap::new();
    let mut running: Vec<(u64, WaiterKey)> = Vec::new();
    for now in START.0..START.0 + seconds * 1000 {
        let at = Millis(now);
        for (index, stream) in streams.iter().enumerate() {
            let offset = now + 37 * index as u64;
            let due = (offset + 1) * stream.rate / 1000 - offset * stream.rate / 1000;
            for _ in 0..due {
                fared[index].asked += 1;
                let wanted = LineArrival {
                    group: stream.group,
                    ..arrival(stream.rank, stream.account)
                };
                match line.join(&wanted, at) {
                    Ok(key) => {
                        joined.insert(key, (index, now));
                    }
                    Err(_) => fared[index].refused += 1,
                }
            }
        }
        for (_, key) in running.extract_if(.., |(ends, _)| *ends <= now) {
            line.finish(key, LineEnd::Complete(OUTPUT), at);
        }
        let groups: Vec<_> = line.groups().collect();
        for group in groups {
            let mut in_vain = Vec::new();
            while in_vain.len() < 4
                && let Some(step) = line.next(group, at)
            {
                let (LineStep::Offer(key, _) | LineStep::Refuse(key, _)) = step;
                let (index, since) = joined[&key];
                let stats = &mut fared[index];
                stats.longest = stats.longest.max(now - since);
                match step {
                    LineStep::Refuse(..) => stats.refused += 1,
                    LineStep::Offer(_, scope) => {
                        match engines.take(streams[index].group, scope, now) {
                            Some(ends) => {
                                stats.begun += 1;
                                line.begin(key, at);
                                running.push((ends, key));
                            }
                            None => in_vain.push(key),
                        }
                    }
                }
            }
            for key in in_vain.into_iter().rev() {
                line.put_back(key, at);
            }
        }
    }
    fared
}

/// The streams of 24 accounts of one rank, of which the first `rushing` send six times their usual.
fn accounts(rushing: u32) -> Vec<Stream> {
    let accounts = 0..24;
    let streams = accounts.map(|account| Stream {
        rank: 1,
        account,
        rate: if account < rushing { 60 } else { 10 },
        group: 1,
    });
    streams.collect()
}

/// The most urgent go first, then the account that was served least, then the first to arrive.
#[test]
fn order_is_by_rank_then_account_then_arrival() {
    let mut line = Line::new(LineSettings::default());
    let busy = [0, 1].map(|_| join(&mut line, arrival(1, 1), START));
    let lesser = join(&mut line, arrival(2, 3), START);
    let other = join(&mut line, arrival(1, 2), START + Millis(1));
    let urgent = join(&mut line, arrival(0, 1), START + Millis(2));
    let now = START + Millis(3);
    let order: Vec<WaiterKey> =
        std::iter::from_fn(|| Some(begin(&mut line, busy[0], now)?.0)).collect();
    assert_eq!(order, [urgent, busy[0], other, busy[1], lesser]);
    assert!(line.is_empty());
}

/// Two of 24 accounts send six times their usual, which is more than the engines do. An account
/// below its share is refused no more than without the rush, and waits no longer than its limit.
#[test]
fn a_rush_of_two_accounts_is_not_paid_for_by_the_others() {
    // The engines begin 300 requests a second: 240 are usual, and 340 come with the rush.
    let engines = || Engines::new(&[(1, 30)], 100);
    let before = play(&accounts(0), &mut engines(), 20);
    let rush = play(&accounts(2), &mut engines(), 20);
    for (before, rush) in before[2..].iter().zip(&rush[2..]) {
        assert!(
            rush.refused_permille() <= before.refused_permille() + 5,
            "{before:?} {rush:?}"
        );
    }
    let rushing: u64 = rush[..2].iter().map(|fared| fared.refused).sum();
    assert!(rushing > 0, "{rush:?}");
    // What the others leave goes to those that ask.
    let begun: u64 = rush.iter().map(|fared| fared.begun).sum();
    assert!(begun >= 300 * 20 * 97 / 100, "{begun}");
}

/// Half of the engines are gone, and the rest do two thirds of what arrives. The most urgent rank is
/// never refused, the least urgent one pays, and each request has its answer within its limit.
#[test]
fn the_least_urgent_pay_for_a_loss_of_engines() {
    let stream = |rank, rate| Stream {
        rank,
        account: u32::from(rank),
        rate,
        group: 1,
    };
    let streams = [stream(0, 50), stream(1, 60), stream(2, 115)];
    let fared = play(&streams, &mut Engines::new(&[(1, 15)], 100), 20);
    assert_eq!(fared[0].refused, 0, "{fared:?}");
    assert_eq!(fared[1].refused, 0, "{fared:?}");
    assert!(fared[2].refused > 0, "{fared:?}");
    assert!(fared[2].begun > 0, "{fared:?}");
    assert!(fared[0].longest <= 100, "{fared:?}");
    for fared in fared {
        assert!(fared.longest <= 1000, "{fared:?}");
    }
}

/// A rush of each rank in turn, of more than its engines do: the most urgent rank is never refused,
/// and all engines work.
#[test_case(0; "the most urgent")]
#[test_case(1; "the middle one")]
#[test_case(2; "the least urgent")]
fn a_rush_of_one_rank_uses_all_engines(rushing: u8) {
    let stream = |rank: u8| Stream {
        rank,
        account: u32::from(rank),
        rate: if rank == rushing { 250 } else { 80 },
        group: u64::from(rank),
    };
    let streams = [stream(0), stream(1), stream(2)];
    let mut engines = Engines::new(&[(0, 10), (1, 10), (2, 10)], 100);
    let fared = play(&streams, &mut engines, 20);
    assert_eq!(fared[0].refused, 0, "{fared:?}");
    let served = |rank: usize| fared[rank].begun * 1000 / fared[rank].asked;
    assert!(served(0) >= 950, "{fared:?}");
    assert!(
        fared[2].begun > 0,
        "the least urgent aren't starved: {fared:?}"
    );
    let begun: u64 = fared.iter().map(|fared| fared.begun).sum();
    let spills = rushing < 2;
    let least = if spills { 280 } else { 240 };
    assert!(begun >= least * 20, "{begun} {fared:?}");
}

/// While less urgent requests are served a request isn't refused: it may use any engines, and at the
/// end of its wait it is sent however long their queues are.
#[test]
fn a_request_is_not_refused_while_lesser_ones_are_served() {
    let mut line = Line::new(LineSettings::default());
    let lesser = LineArrival {
        group: 2,
        ..arrival(5, 1)
    };
    let served = join(&mut line, lesser, START);
    begin(&mut line, served, START);
    let urgent = join(&mut line, arrival(1, 2), START);
    let group = line.group_of(urgent);
    let mut scopes = Vec::new();
    for at in [0, 600, 1000] {
        let now = START + Millis(at);
        let served = join(&mut line, lesser, now);
        begin(&mut line, served, now);
        let Some(LineStep::Offer(key, scope)) = line.next(group, now) else {
            panic!("not offered");
        };
        assert_eq!(key, urgent);
        line.put_back(key, now);
        scopes.push(scope);
    }
    assert_eq!(
        scopes,
        [LineScope::Any, LineScope::Any, LineScope::Unbounded]
    );
    assert_eq!(line.len(), 1);
    // No less urgent request was served for seconds, so that there is no room for this one either.
    let (key, _) = refused(&mut line, urgent, START + Millis(5000));
    assert_eq!(key, urgent);
}

/// Guards against a request that is refused at the end of its wait, as later ones of its account went
/// first all the time: less urgent ones were served only when it arrived, or its limit is longer.
#[test_case(true, 2000; "it outranked others")]
#[test_case(false, 6000; "it may wait for longer")]
fn requests_of_an_account_begin_in_the_order_of_their_arrival(outranks: bool, limit: u64) {
    let mut line = Line::new(LineSettings::default());
    if outranks {
        let lesser = join(&mut line, arrival(5, 9), START);
        begin(&mut line, lesser, START);
    }
    let limited = |limit| LineArrival {
        limit: Millis(limit),
        ..arrival(1, 1)
    };
    let earlier = join(&mut line, limited(limit), START + Millis(10));
    let later = START + Millis(1100);
    let rest = [0, 1].map(|_| join(&mut line, limited(2000), later));
    let order: Vec<WaiterKey> =
        std::iter::from_fn(|| Some(begin(&mut line, earlier, later)?.0)).collect();
    assert_eq!(order, [earlier, rest[0], rest[1]]);
}

/// Guards against a process that was suspended and starts requests whose time is over.
#[test]
fn after_a_jump_of_the_clock_overdue_requests_are_refused_first() {
    let mut line = Line::new(LineSettings::default());
    let first = join(&mut line, arrival(1, 1), START);
    let second = join(&mut line, arrival(1, 2), START);
    let later = START + Millis(60_000);
    let fresh = join(&mut line, arrival(1, 1), later);
    let mut gone = [first, second].map(|_| refused(&mut line, first, later).0);
    gone.sort_by_key(|key| *key != first);
    assert_eq!(gone, [first, second]);
    // A clock that steps back is ignored.
    let offered = begin(&mut line, fresh, START);
    assert_eq!(offered.map(|(key, _)| key), Some(fresh));
}

/// A full line takes a more urgent request in place of the least urgent one, which is told so.
#[test]
fn a_full_line_refuses_the_least_urgent() {
    let settings = LineSettings {
        max_waiting: 20,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    let lesser: Vec<WaiterKey> = (0..20)
        .filter_map(|account| line.join(&arrival(3, account), START).ok())
        .collect();
    let urgent = join(&mut line, arrival(0, 1), START);
    let (key, _) = refused(&mut line, urgent, START);
    assert!(lesser.contains(&key));
    assert_eq!(
        begin(&mut line, urgent, START).map(|(key, _)| key),
        Some(urgent)
    );
    while line.join(&arrival(3, 30), START).is_ok() {}
    assert!(line.len() <= 21, "{}", line.len());
}

/// Guards against a caller that leaves between its refusal and its answer and holds up others.
#[test]
fn a_refused_request_may_leave_before_its_answer() {
    let settings = LineSettings {
        max_waiting: 1,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    let displaced = join(&mut line, arrival(3, 1), START);
    let urgent = join(&mut line, arrival(0, 2), START);
    line.leave(displaced, START);
    let began = begin(&mut line, urgent, START);
    assert_eq!(began.map(|(key, _)| key), Some(urgent));
}

/// A request that didn't run costs its account nothing; one that did is charged what it used.
#[test]
fn accounts_are_charged_what_they_used() {
    for (end, first) in [(LineEnd::NotRun, 1), (LineEnd::Complete(4000), 2)] {
        let mut line = Line::new(LineSettings::default());
        let earlier = join(&mut line, arrival(1, 1), START);
        begin(&mut line, earlier, START);
        line.finish(earlier, end, START + Millis(10));
        let now = START + Millis(20);
        let own = join(&mut line, arrival(1, 1), now);
        let other = join(&mut line, arrival(1, 2), now + Millis(1));
        let expected = if first == 1 { own } else { other };
        let began = begin(&mut line, own, now + Millis(2));
        assert_eq!(began.map(|(key, _)| key), Some(expected), "{end:?}");
    }
}

/// Requests that are offered in vain, several at a time, keep their order.
#[test]
fn offers_in_vain_change_no_order() {
    let mut line = Line::new(LineSettings::default());
    let mut keys = Vec::new();
    for account in [1, 1, 1, 2, 3] {
        keys.push(join(&mut line, arrival(1, account), START));
    }
    let group = line.group_of(keys[0]);
    for round in 1..20 {
        let now = START + Millis(round);
        let mut offered = Vec::new();
        while offered.len() < 4
            && let Some(LineStep::Offer(key, _)) = line.next(group, now)
        {
            offered.push(key);
        }
        assert_eq!(offered, [keys[0], keys[3], keys[4], keys[1]]);
        for key in offered.into_iter().rev() {
            line.put_back(key, now);
        }
    }
    // One of them begins between two that don't.
    let now = START + Millis(30);
    let [first, second, third] = [(); 3].map(|()| match line.next(group, now) {
        Some(LineStep::Offer(key, _)) => key,
        other => panic!("not offered: {other:?}"),
    });
    line.begin(second, now);
    line.put_back(third, now);
    line.put_back(first, now);
    let rest: Vec<WaiterKey> =
        std::iter::from_fn(|| Some(begin(&mut line, first, now)?.0)).collect();
    assert_eq!(rest, [keys[0], keys[4], keys[1], keys[2]]);
}

/// A request that leaves isn't offered, and events of requests that are gone are ignored.
#[test]
fn requests_may_leave_at_any_time() {
    let mut line = Line::new(LineSettings::default());
    let first = join(&mut line, arrival(1, 1), START);
    let second = join(&mut line, arrival(1, 1), START);
    line.leave(first, START);
    line.leave(first, START);
    line.begin(first, START);
    line.put_back(first, START);
    line.finish(first, LineEnd::Complete(1), START);
    assert_eq!(line.len(), 1);
    let offered = line.next(line.group_of(second), START);
    assert_eq!(offered, Some(LineStep::Offer(second, LineScope::Group)));
    // The caller leaves between the offer and its result.
    line.leave(second, START);
    line.begin(second, START);
    assert!(line.is_empty());
}

/// Twice as many requests arrive as the engines begin, 100 a second. Those that are refused return
/// when room is expected: an earlier one no later, and no more at a time than the engines begin,
/// unless their callers' patience ends.
#[test]
fn return_times_are_spread() {
    let mut line = Line::new(LineSettings::default());
    let mut returns = Vec::new();
    for step in 0..400 {
        let now = START + Millis(step * 10);
        for arriving in 0..2 {
            let account = (2 * step + arriving) as u32 % 24;
            if let Err(refusal) = line.join(&arrival(1, account), now) {
                returns.push((now, refusal.retry_after));
            }
        }
        let group = line.groups().next();
        while let Some(step) = group.and_then(|group| line.next(group, now)) {
            match step {
                LineStep::Offer(key, _) => {
                    line.begin(key, now);
                    break;
                }
                LineStep::Refuse(_, refusal) => returns.push((now, refusal.retry_after)),
            }
        }
    }
    assert!(returns.len() > 100, "{returns:?}");
    let patience = Millis(1300);
    assert!(returns.iter().all(|(_, after)| *after <= patience));
    assert!(returns.iter().all(|(_, after)| *after >= Millis(200)));
    let reserved = returns.iter().filter(|(_, after)| *after < patience);
    let times: Vec<Millis> = reserved.map(|&(now, after)| now + after).collect();
    assert!(times.len() > 50, "{returns:?}");
    assert!(times.is_sorted(), "{times:?}");
    for window in times.windows(25) {
        assert!(window[24].since(window[0]) >= Millis(200), "{window:?}");
    }
}

/// A line that was full for a second, a request of its group, and another one that was refused, with the
/// time at which that may return.
fn refused_return() -> (Line, WaiterKey, LineArrival, Millis) {
    let mut line = Line::new(LineSettings::default());
    let patient = LineArrival {
        limit: Millis(5000),
        ..arrival(1, 1)
    };
    let keys = [(); 12].map(|()| join(&mut line, patient, START));
    for step in 1..=10 {
        begin(&mut line, keys[0], START + Millis(step * 100));
    }
    let now = START + Millis(1000);
    while line.join(&arrival(1, 1), now).is_ok() {}
    let asked = LineArrival {
        request: 7,
        ..arrival(1, 1)
    };
    let refusal = line.join(&asked, now).expect_err("the line is full");
    (line, keys[0], asked, now + refusal.retry_after)
}

/// Guards against a request that comes back when it was told to and is refused again for later ones of
/// its account, or stands behind them.
#[test]
fn a_request_that_returns_in_its_time_goes_before_later_ones() {
    let (mut line, group, asked, at) = refused_return();
    for now in (START.0 + 1100..=at.0).step_by(100) {
        begin(&mut line, group, Millis(now));
    }
    while line.join(&arrival(1, 1), at).is_ok() {}
    let returned = join(&mut line, asked, at);
    assert_eq!(line.take_returns(at).in_time, 1);
    // Its place is taken, so that nobody takes it again.
    assert!(line.join(&asked, at).is_err());
    let mut order =
        std::iter::from_fn(|| Some(begin(&mut line, group, at)?.0)).collect::<Vec<WaiterKey>>();
    let place = order.iter().position(|key| *key == returned);
    let place = place.expect("it was served");
    // Those of the first second were there before it.
    assert!(place <= 10, "{place}");
    assert!(order.split_off(place).len() > 1);
}

/// Guards against returns that take all that begins, so that each newcomer is refused and served late as
/// well: only some times are reserved, and whoever is given none of them stands behind those who wait.
#[test]
fn returns_leave_room_for_those_who_arrive() {
    let (mut line, _, asked, at) = refused_return();
    let now = START + Millis(1000);
    let refusals = (100..200).map(|request| {
        let another = LineArrival { request, ..asked };
        let refusal = line.join(&another, now).expect_err("the line is full");
        (request, now + refusal.retry_after)
    });
    let mut refusals: Vec<(u32, Millis)> = refusals.collect();
    let (request, last) = refusals.pop().expect("some are refused");
    assert_eq!(last, now + asked.patience);
    // Ten requests began in the second.
    let reserved = refusals.iter().filter(|(_, returns)| *returns < last);
    assert!(reserved.count() <= 3, "{at:?} {refusals:?}");
    let another = LineArrival { request, ..asked };
    assert!(line.join(&another, last).is_err());
    assert_eq!(line.take_returns(last).in_time, 0);
}

/// Guards against callers that retry at once and take what those get who wait for as long as they were
/// told: a retry before its time gets the same time again, unless nobody waits.
#[test]
fn a_request_that_returns_early_keeps_its_time() {
    let (mut line, group, asked, at) = refused_return();
    line.take_refusals(1);
    for early in [150, 100, 20] {
        let now = Millis(at.0 - early);
        let refusal = line.join(&asked, now).expect_err("others wait");
        assert_eq!(now + refusal.retry_after, at);
    }
    assert_eq!(line.take_refusals(1).total, 3);
    assert_eq!(line.take_returns(at).early, 3);
    let now = Millis(at.0 - 20);
    while begin(&mut line, group, now).is_some() {}
    let served = join(&mut line, asked, now);
    assert_eq!(
        begin(&mut line, group, now).map(|(key, _)| key),
        Some(served)
    );
    assert_eq!(line.take_returns(at).kept, 0);
}

/// Guards against return times that are kept for ever, or without a bound.
#[test]
fn kept_returns_are_bounded() {
    let settings = LineSettings {
        max_waiting: 0,
        max_returns: 5,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    for request in 0..100 {
        let asked = LineArrival {
            request,
            ..arrival(1, 1)
        };
        assert!(line.join(&asked, START).is_err());
    }
    assert_eq!(line.take_returns(START).kept, 5);
    assert_eq!(line.take_returns(START + Millis(5000)).kept, 0);
}

/// Guards against a full line that refuses a request which came back in its time, and keeps later ones of
/// its account.
#[test]
fn a_full_line_has_room_for_those_who_return() {
    let settings = LineSettings {
        max_waiting: 5,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    let first = [(); 5].map(|()| join(&mut line, arrival(1, 1), START));
    let asked = LineArrival {
        request: 7,
        ..arrival(1, 1)
    };
    let refusal = line.join(&asked, START).expect_err("the line is full");
    let now = START + refusal.retry_after;
    begin(&mut line, first[0], now);
    let last = join(&mut line, arrival(1, 1), now);
    let returned = join(&mut line, asked, now);
    assert_eq!(refused(&mut line, returned, now).0, last);
    let order: Vec<WaiterKey> =
        std::iter::from_fn(|| Some(begin(&mut line, returned, now)?.0)).collect();
    assert_eq!(order[3..], [first[4], returned]);
}

/// How the callers of a kind fared, who come back after a refusal.
#[derive(Clone, Copy, Debug, Default)]
struct Callers {
    asked: u64,
    served: u64,
    refused: u64,
}

impl Callers {
    fn served_permille(self) -> u64 {
        1000 * self.served / self.asked.max(1)
    }
}

/// Zero for a caller who comes back as told; one in three, of every account, may not.
fn kind_of(request: u32) -> usize {
    let mixed = request.wrapping_mul(0x9e37_79b9) >> 8;
    usize::from(mixed.is_multiple_of(3))
}

/// Plays 20 s in which 24 accounts ask for half more than the engines do, 100 a second. A refused
/// caller comes back when it was told to, and for four seconds; every third one, where `abuse`, each
/// 60 ms. Returns how the callers fared who came back as told, and the others.
fn play_returns(abuse: bool) -> [Callers; 2] {
    let mut line = Line::new(LineSettings::default());
    let mut due: std::collections::BTreeMap<u64, Vec<u32>> = std::collections::BTreeMap::new();
    let mut waiting: HashMap<WaiterKey, u32> = HashMap::new();
    let mut first: HashMap<u32, u64> = HashMap::new();
    let mut callers = [Callers::default(); 2];
    let mut next = 0;
    for now in START.0..START.0 + 20_000 {
        let at = Millis(now);
        if now % 20 < 3 {
            next += 1;
            first.insert(next, now);
            callers[kind_of(next)].asked += 1;
            due.entry(now).or_default().push(next);
        }
        let mut refusals = Vec::new();
        for request in due.remove(&now).unwrap_or_default() {
            let left = Millis(first[&request] + 4000).since(at);
            let asked = LineArrival {
                request,
                patience: Millis(left.0 / 3),
                limit: Millis((left.0 / 4).min(600)),
                ..arrival(1, request % 24)
            };
            match line.join(&asked, at) {
                Ok(key) => {
                    waiting.insert(key, request);
                }
                Err(refusal) => refusals.push((request, refusal)),
            }
        }
        let group = line.groups().next();
        let mut room = usize::from(now % 10 == 0);
        while let Some(step) = group.and_then(|group| line.next(group, at)) {
            match step {
                LineStep::Refuse(key, refusal) => refusals.push((waiting[&key], refusal)),
                LineStep::Offer(key, _) if room == 0 => {
                    line.put_back(key, at);
                    break;
                }
                LineStep::Offer(key, _) => {
                    room -= 1;
                    line.begin(key, at);
                    line.finish(key, LineEnd::Complete(OUTPUT), at);
                    callers[kind_of(waiting[&key])].served += 1;
                }
            }
        }
        for (request, refusal) in refusals {
            let kind = kind_of(request);
            callers[kind].refused += 1;
            let after = if abuse && kind == 1 {
                60
            } else {
                refusal.retry_after.0.max(1)
            };
            if now + after < first[&request] + 4000 {
                due.entry(now + after).or_default().push(request);
            }
        }
    }
    callers
}

/// Guards against a third of the callers that retry at once, many times as often as told, and take from
/// those who come back as told.
#[test]
fn callers_that_retry_at_once_take_nothing_from_the_others() {
    let before = play_returns(false);
    let abused = play_returns(true);
    let [told, at_once] = [0, 1].map(|kind| {
        let [before, abused] = [before[kind], abused[kind]];
        abused.served_permille() as i64 - before.served_permille() as i64
    });
    assert!(told >= -15, "{before:?} {abused:?}");
    assert!(at_once <= 15, "{before:?} {abused:?}");
    assert!(abused[1].refused > 3 * before[1].refused, "{abused:?}");
}

/// The refusals of an interval name the accounts with the most.
#[test]
fn refusals_are_counted_by_account() {
    let settings = LineSettings {
        max_waiting: 0,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    for account in [1, 2, 2, 3, 3, 3] {
        assert!(line.join(&arrival(1, account), START).is_err());
    }
    let refusals = line.take_refusals(2);
    assert_eq!(refusals.total, 6);
    assert_eq!(refusals.largest, [(3, 3), (2, 2)]);
    assert_eq!(line.take_refusals(2).total, 0);
}

/// The accounts that were served most are named, the largest share first.
#[test]
fn shares_are_counted_by_account() {
    let mut line = Line::new(LineSettings::default());
    assert_eq!(line.largest_shares(2, START), []);
    for (group, account) in [
        (1, 1),
        (1, 2),
        (2, 2),
        (1, 3),
        (2, 3),
        (2, 3),
        (1, 3),
        (2, 2),
    ] {
        let wanted = LineArrival {
            group,
            ..arrival(1, account)
        };
        let key = join(&mut line, wanted, START);
        begin(&mut line, key, START);
    }
    assert_eq!(line.largest_shares(2, START), [(3, 50), (2, 37)]);
    // What was served long ago doesn't count beside what is.
    let now = START + Millis(20_000);
    let key = join(&mut line, arrival(1, 1), now);
    begin(&mut line, key, now);
    assert_eq!(line.largest_shares(1, now), [(1, 99)]);
}

/// Accounts that are gone from the configuration are forgotten, unless they have requests in line.
#[test]
fn idle_accounts_are_forgotten() {
    let settings = LineSettings {
        max_accounts: 10,
        ..LineSettings::default()
    };
    let mut line = Line::new(settings);
    let waiting = join(&mut line, arrival(1, 1), START);
    for account in 2..500 {
        let key = join(&mut line, arrival(0, account), START);
        line.leave(key, START);
    }
    assert_eq!(line.len(), 1);
    let began = begin(&mut line, waiting, START);
    assert_eq!(began.map(|(key, _)| key), Some(waiting));
}
