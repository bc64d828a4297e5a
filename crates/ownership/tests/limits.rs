//! Shared limits in a model of eight instances: skewed load, joins, losses, a partition.

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::Admission;
use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::Limit;
use crocushold_ownership::LimitSettings;
use crocushold_ownership::Limits;
use crocushold_ownership::Member;
use crocushold_ownership::View;
use test_case::test_case;

const ACCOUNT: AccountId = AccountId(77);
const RATE: f64 = 400.0;
const STEP_MS: u64 = 10;

/// An account with a rate of one request per second sends its first request to the last of eight
/// instances, where its share is a sixteenth. Without an initial unit it would be refused there
/// although the account is idle, and so would any request that costs more than the share can
/// accumulate. The second request must wait until the debt of the first is paid back.
#[test]
fn the_first_request_of_a_small_account_is_admitted_by_any_instance() {
    let small = Limit {
        rate: 1.0,
        slots: 80,
    };
    for cost in [1.0, 5.0] {
        let mut model = Model::new(&even_load(0.0), small, 0);
        let node = &mut model.nodes[7];
        assert_eq!(node.admit(ACCOUNT, cost, Millis(1)), Admission::Admitted);
        let second = node.admit(ACCOUNT, cost, Millis(2));
        assert!(matches!(second, Admission::Limited { .. }), "{second:?}");
    }
}

/// Instances that exchange loans at once within a side of a partition and never between sides.
struct Model {
    members: Vec<Member>,
    nodes: Vec<Limits>,
    /// The side of the partition that each instance is on.
    sides: Vec<usize>,
    /// Instances that are known to have ended.
    ended: Vec<usize>,
    /// Requests per second that arrive at each instance.
    load: Vec<f64>,
    due: Vec<f64>,
    /// Running requests: instance and end time.
    running: Vec<(usize, u64)>,
    duration: u64,
    now: u64,
    admitted: u64,
    peak: usize,
    messages: u64,
}

impl Model {
    fn new(load: &[f64], limit: Limit, duration: u64) -> Model {
        let count = load.len();
        let members: Vec<Member> = (0..count)
            .map(|n| Member::new(&format!("entry-{n}"), 1))
            .collect();
        let start = |member: &Member| {
            let mut node = Limits::new(LimitSettings::default(), *member, Millis::ZERO);
            node.on_limit(ACCOUNT, limit, Millis::ZERO);
            node
        };
        let mut model = Model {
            nodes: members.iter().map(start).collect(),
            members,
            sides: vec![0; count],
            ended: Vec::new(),
            load: load.to_vec(),
            due: vec![0.0; count],
            running: Vec::new(),
            duration,
            now: 0,
            admitted: 0,
            peak: 0,
            messages: 0,
        };
        model.update_views();
        model
    }

    /// Updates each instance's view of its side and of the ended instances.
    fn update_views(&mut self) {
        let left = (0..self.members.len()).filter(|n| !self.ended.contains(n));
        let reference = View::new(left.map(|n| self.members[n]));
        for at in 0..self.nodes.len() {
            let live = View::new(self.side_of(at).map(|n| self.members[n]));
            self.nodes[at].on_view(live, &reference, Millis(self.now));
        }
    }

    fn side_of(&self, at: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(move |n| self.sides[*n] == self.sides[at])
    }

    /// Runs for some seconds; returns the admissions per second.
    fn run(&mut self, seconds: u64) -> f64 {
        let (start, before) = (self.now, self.admitted);
        while self.now < start + seconds * 1_000 {
            self.now += STEP_MS;
            self.finish();
            for at in 0..self.nodes.len() {
                self.arrive(at);
                self.lend(at);
            }
            self.peak = self.peak.max(self.running.len());
        }
        (self.admitted - before) as f64 / seconds as f64
    }

    fn finish(&mut self) {
        let now = self.now;
        let ended = self.running.extract_if(.., |(_, end)| *end <= now);
        for (at, _) in ended.collect::<Vec<_>>() {
            self.nodes[at].release(ACCOUNT);
        }
    }

    fn arrive(&mut self, at: usize) {
        self.due[at] += self.load[at] * STEP_MS as f64 / 1_000.0;
        while self.due[at] >= 1.0 {
            self.due[at] -= 1.0;
            if self.nodes[at].admit(ACCOUNT, 1.0, Millis(self.now)) == Admission::Admitted {
                self.admitted += 1;
                self.running.push((at, self.now + self.duration));
            }
        }
    }

    fn lend(&mut self, at: usize) {
        let now = Millis(self.now);
        for borrow in self.nodes[at].on_tick(now) {
            let owner = self
                .members
                .iter()
                .position(|m| *m == borrow.to)
                .expect("a member");
            if self.sides[owner] != self.sides[at] {
                continue;
            }
            self.messages += u64::from(owner != at);
            let reply = self.nodes[owner].on_borrow(self.members[at], &borrow.request, now);
            self.nodes[at].on_borrow_reply(ACCOUNT, borrow.to, reply, now);
        }
    }
}

fn even_load(each: f64) -> Vec<f64> {
    vec![each; 8]
}

fn skewed_load() -> Vec<f64> {
    vec![300.0, 200.0, 100.0, 50.0, 50.0, 50.0, 25.0, 25.0]
}

fn wide_limit() -> Limit {
    Limit {
        rate: RATE,
        slots: 100_000,
    }
}

/// The callers together request twice the rate. However unevenly the load balancer distributes
/// them, they must get no more than the rate and the burst, and most of the rate.
#[test_case(&even_load(100.0), 0.97; "even")]
#[test_case(&skewed_load(), 0.97; "skewed")]
#[test_case(&[800.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], 0.85; "all at one")]
#[test_case(&[800.0, 0.0, 0.0], 0.97; "all at one of three")]
fn the_rate_is_enforced_and_used(load: &[f64], least: f64) {
    let mut model = Model::new(load, wide_limit(), 10);
    let first = model.run(10) / RATE;
    let steady = model.run(60) / RATE;
    println!(
        "first 10 s {first:.3}, then {steady:.3} of the rate, {} messages",
        model.messages
    );
    assert!(first <= 1.1, "{first}");
    assert!(steady <= 1.01, "{steady}");
    assert!(steady >= least, "{steady}");
}

/// The fleet is partitioned and both sides continue to serve. Each side has an owner that lends; if
/// each lent the whole pool, the account would get one and a half times its rate.
#[test_case(4; "halves")]
#[test_case(5; "five and three")]
#[test_case(1; "one alone")]
fn a_partition_admits_no_more_than_the_rate(first: usize) {
    let mut model = Model::new(&even_load(100.0), wide_limit(), 10);
    model.run(10);
    for at in first..8 {
        model.sides[at] = 1;
    }
    model.update_views();
    let split = model.run(60) / RATE;
    model.sides = vec![0; 8];
    model.update_views();
    let healed = model.run(60) / RATE;
    println!("split {split:.3}, healed {healed:.3} of the rate");
    assert!(split <= 1.01, "{split}");
    assert!(split >= 0.9, "{split}");
    assert!(healed <= 1.01, "{healed}");
}

/// The load first exceeds the slots on all instances alike, then is skewed to a few. Requests run
/// for seconds, longer than a loan, so that loans are renewed; the slots in use must stay within
/// the limit.
#[test]
fn concurrency_stays_within_the_limit() {
    let limit = Limit {
        rate: 10_000.0,
        slots: 80,
    };
    let mut model = Model::new(&even_load(20.0), limit, 5_000);
    model.run(30);
    println!("even: peak {} of 80", model.peak);
    assert!(model.peak <= 80, "{}", model.peak);
    assert!(model.peak >= 72, "{}", model.peak);
    model.load = skewed_load();
    model.run(30);
    println!("skewed: peak {} of 80", model.peak);
    assert!(model.peak <= 80, "{}", model.peak);
}

/// The owner of an account is killed while its loans are in use. The new owner doesn't know of
/// them: if it lent at once, slots would be lent twice. At first it must only renew slots in use.
#[test]
fn a_new_owner_waits_for_the_loans_of_the_former_one() {
    let members: Vec<Member> = (0..3).map(|n| Member::new(&format!("e{n}"), 1)).collect();
    let view = View::new(members.clone());
    let owner = view.owner(ACCOUNT.0).expect("an owner");
    let mut node = Limits::new(LimitSettings::default(), owner, Millis::ZERO);
    let limit = Limit {
        rate: 10.0,
        slots: 12,
    };
    node.on_limit(ACCOUNT, limit, Millis::ZERO);
    let others = View::new(members.iter().copied().filter(|m| *m != owner));
    node.on_view(others, &view, Millis(1));
    node.on_view(view.clone(), &view, Millis(10));
    let request = BorrowRequest {
        account: ACCOUNT,
        units: 0.0,
        slots: 5,
        held: 2,
    };
    let from = view.members()[0];
    assert_eq!(node.on_borrow(from, &request, Millis(20)).slots, 2);
    assert_eq!(node.on_borrow(from, &request, Millis(2_100)).slots, 5);
}

/// All accounts of a large fleet are above their limits at once. An instance must not send more
/// borrow requests per second than its limit.
#[test]
fn messages_are_bounded() {
    let members = [Member::new("a", 1), Member::new("b", 1)];
    let view = View::new(members);
    let mut node = Limits::new(LimitSettings::default(), members[0], Millis::ZERO);
    for id in 0..3_700 {
        node.on_limit(AccountId(id), wide_limit(), Millis::ZERO);
    }
    node.on_view(view.clone(), &view, Millis::ZERO);
    let mut sent = 0;
    for tick in 1..=100 {
        let now = Millis(tick * 100);
        for id in 0..3_700 {
            node.admit(AccountId(id), 1e9, now);
        }
        let borrows = node.on_tick(now);
        sent += borrows.iter().filter(|b| b.to == members[1]).count();
    }
    println!("{sent} messages in 10 s");
    assert!(sent <= 160, "{sent}");
    assert!(sent >= 150, "{sent}");
}

/// The owner of the account is killed with its callers, and joins again later. While it still
/// counts as a member, its share is unused; the rate must never be exceeded, even when ownership
/// moves.
#[test]
fn a_lost_owner_costs_its_share_until_it_is_known_to_have_ended() {
    let mut model = Model::new(&even_load(100.0), wide_limit(), 10);
    model.run(10);
    let owner = View::new(model.members.clone()).owner(ACCOUNT.0);
    let lost = model.members.iter().position(|m| Some(*m) == owner);
    let lost = lost.expect("a member");
    model.sides[lost] = 1;
    model.load[lost] = 0.0;
    model.update_views();
    let counted = model.run(30) / RATE;
    model.ended.push(lost);
    model.update_views();
    let known = model.run(30) / RATE;
    model.ended.clear();
    model.sides[lost] = 0;
    model.load[lost] = 100.0;
    model.update_views();
    let joined = model.run(30) / RATE;
    println!("lost {counted:.3}, known {known:.3}, joined {joined:.3} of the rate");
    assert!((0.85..=0.90).contains(&counted), "{counted}");
    assert!((0.97..=1.01).contains(&known), "{known}");
    assert!((0.97..=1.04).contains(&joined), "{joined}");
}

/// A borrower is partitioned from the owner while it holds borrowed slots. The owner lends them
/// again after the term of the loan; by then the borrower must admit no more than its own share.
#[test]
fn borrowed_slots_expire_before_they_are_lent_again() {
    let members: Vec<Member> = (0..2).map(|n| Member::new(&format!("e{n}"), 1)).collect();
    let view = View::new(members.clone());
    let me = *members
        .iter()
        .find(|m| view.owner(ACCOUNT.0) != Some(**m))
        .expect("a borrower");
    let mut node = Limits::new(LimitSettings::default(), me, Millis::ZERO);
    let limit = Limit {
        rate: 1e6,
        slots: 40,
    };
    node.on_limit(ACCOUNT, limit, Millis::ZERO);
    node.on_view(view.clone(), &view, Millis::ZERO);
    let reply = BorrowReply {
        units: 0.0,
        slots: 20,
    };
    let owner = view.owner(ACCOUNT.0).expect("an owner");
    node.on_borrow_reply(ACCOUNT, owner, reply, Millis(1_000));
    let mut admit = |now| {
        let admitted = (0..40).filter(|_| node.admit(ACCOUNT, 1.0, now) == Admission::Admitted);
        let count = admitted.count();
        (0..count).for_each(|_| node.release(ACCOUNT));
        count
    };
    assert_eq!(admit(Millis(2_500)), 30);
    assert_eq!(admit(Millis(2_700)), 10);
}

/// An instance of three that neither owns the account nor has callers of it, and the two others.
fn idle_lender(limit: Limit) -> (Limits, Member, Member) {
    let members: Vec<Member> = (0..3).map(|n| Member::new(&format!("e{n}"), 1)).collect();
    let view = View::new(members.clone());
    let owner = view.owner(ACCOUNT.0).expect("an owner");
    let mut others = members.into_iter().filter(|member| *member != owner);
    let me = others.next().expect("three members");
    let borrower = others.next().expect("three members");
    let mut node = Limits::new(LimitSettings::default(), me, Millis::ZERO);
    node.on_limit(ACCOUNT, limit, Millis::ZERO);
    node.on_view(view.clone(), &view, Millis::ZERO);
    (node, owner, borrower)
}

/// Guards against an instance that lends all of its share, so that the first requests of its own callers are
/// refused, and against one that lends more than its share.
#[test]
fn an_instance_that_lends_its_share_still_serves_its_own_callers() {
    let limit = Limit {
        rate: 120.0,
        slots: 100,
    };
    let (mut node, _, borrower) = idle_lender(limit);
    let request = BorrowRequest {
        account: ACCOUNT,
        units: 1e6,
        slots: 0,
        held: 0,
    };
    let lent: f64 = (1..=10)
        .map(|second| {
            let now = Millis::from_secs(second);
            node.on_borrow(borrower, &request, now).units
        })
        .sum();
    assert!((90.0..=200.0).contains(&lent), "{lent} of its 20 a second");
    for _ in 0..5 {
        let admission = node.admit(ACCOUNT, 1.0, Millis::from_secs(10));
        assert_eq!(admission, Admission::Admitted);
    }
}

/// Guards against an answer with units of a share that takes away the slots that the owner has lent.
#[test]
fn units_of_another_share_leave_the_slots_of_the_owner() {
    let limit = Limit {
        rate: 1e6,
        slots: 60,
    };
    let (mut node, owner, lender) = idle_lender(limit);
    let slots = BorrowReply {
        units: 0.0,
        slots: 20,
    };
    let units = BorrowReply {
        units: 5.0,
        slots: 0,
    };
    node.on_borrow_reply(ACCOUNT, owner, slots, Millis(1_000));
    node.on_borrow_reply(ACCOUNT, lender, units, Millis(1_000));
    let admitted =
        (0..60).filter(|_| node.admit(ACCOUNT, 1.0, Millis(1_500)) == Admission::Admitted);
    assert_eq!(admitted.count(), 30);
}
