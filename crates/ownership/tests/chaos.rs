//! Claims under random losses, delays, duplicates, reordering, pauses and crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimRound;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::Claims;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::Outcome;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::Transfer;
use crocushold_ownership::Verdict;
use crocushold_ownership::View;
use crocushold_ownership::Vote;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_oneof;

const MEMBER_COUNT: usize = 5;

#[derive(Clone, Debug)]
enum Message {
    Claim(u64, Member, ClaimRequest),
    Vote(u64, Member, Vote),
    Settle(Member, SettleRequest),
    Transfer(Member, Transfer),
    Acknowledge(Member, Transfer),
}

#[derive(Clone, Debug)]
enum Step {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Claim(usize, u8),
    TimeOut(usize),
    AdoptView(usize),
    Replace(usize),
    Pause(usize),
    ResumeAll,
    AdvanceTime,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Duplicate),
        3 => any::<usize>().prop_map(Step::Drop),
        4 => (any::<usize>(), 0..3u8).prop_map(|(n, key)| Step::Claim(n, key)),
        1 => any::<usize>().prop_map(Step::TimeOut),
        4 => any::<usize>().prop_map(Step::AdoptView),
        1 => any::<usize>().prop_map(Step::Replace),
        1 => any::<usize>().prop_map(Step::Pause),
        1 => Just(Step::ResumeAll),
        2 => Just(Step::AdvanceTime),
    ]
}

struct Fleet {
    settings: ClaimSettings,
    nodes: BTreeMap<Member, Claims>,
    paused: BTreeSet<Member>,
    view: View,
    in_flight: Vec<Message>,
    rounds: BTreeMap<u64, ClaimRound>,
    sent: BTreeMap<u8, usize>,
    keys: BTreeMap<u64, u8>,
    seq: u64,
    last_incarnation: u64,
    now: Millis,
}

impl Fleet {
    fn new() -> Fleet {
        let now = Millis(1_000);
        let settings = ClaimSettings::default();
        let started = ClaimSettings {
            cold_start: Millis::ZERO,
            ..settings
        };
        let members: Vec<Member> = (0..MEMBER_COUNT)
            .map(|n| Member::new(&format!("e{n}"), 1))
            .collect();
        let start = |m: &Member| (*m, Claims::new(started, *m, now));
        let mut fleet = Fleet {
            settings,
            nodes: members.iter().map(start).collect(),
            paused: BTreeSet::new(),
            view: View::new(members),
            in_flight: Vec::new(),
            rounds: BTreeMap::new(),
            sent: BTreeMap::new(),
            keys: BTreeMap::new(),
            seq: 0,
            last_incarnation: 1,
            now,
        };
        fleet.quiesce();
        fleet
    }

    fn apply(&mut self, step: &Step) {
        let count = self.in_flight.len().max(1);
        match *step {
            Step::Deliver(n) if !self.in_flight.is_empty() => {
                let message = self.in_flight.swap_remove(n % count);
                self.deliver(message);
            }
            Step::Duplicate(n) if !self.in_flight.is_empty() => {
                let message = self.in_flight[n % count].clone();
                self.deliver(message);
            }
            Step::Drop(n) if !self.in_flight.is_empty() => {
                self.in_flight.swap_remove(n % count);
            }
            Step::Claim(n, key) => self.claim(n, key),
            Step::TimeOut(n) => self.time_out(n),
            Step::AdoptView(n) => self.adopt(self.pick(n)),
            Step::Replace(n) => self.replace(n),
            Step::Pause(n) => {
                self.paused.insert(self.pick(n));
            }
            Step::ResumeAll => self.paused.clear(),
            Step::AdvanceTime => self.advance_time(),
            _ => {}
        }
    }

    fn pick(&self, n: usize) -> Member {
        *self.nodes.keys().nth(n % MEMBER_COUNT).expect("a member")
    }

    fn is_running(&self, member: Member) -> bool {
        self.nodes.contains_key(&member) && !self.paused.contains(&member)
    }

    fn advance_time(&mut self) {
        self.now += Millis::from_secs(3);
        let members: Vec<Member> = self.nodes.keys().copied().collect();
        for member in members {
            if self.is_running(member) {
                self.tick(member);
            }
        }
    }

    fn tick(&mut self, member: Member) {
        let now = self.now;
        let node = self.nodes.get_mut(&member).expect("a member");
        let transfers = node.on_tick(now);
        self.post(member, transfers);
    }

    fn post(&mut self, from: Member, transfers: Vec<Transfer>) {
        let messages = transfers.into_iter().map(|t| Message::Transfer(from, t));
        self.in_flight.extend(messages);
    }

    fn adopt(&mut self, member: Member) {
        if !self.is_running(member) {
            return;
        }
        let (view, now) = (self.view.clone(), self.now);
        let node = self.nodes.get_mut(&member).expect("a member");
        let transfers = node.on_view(view, now);
        self.post(member, transfers);
    }

    /// Kills an instance and starts it again. The hand-over after the previous loss has finished by
    /// then: two losses at once are covered by another test.
    fn replace(&mut self, n: usize) {
        self.quiesce();
        let dead = self.pick(n);
        self.nodes.remove(&dead);
        self.last_incarnation += 1;
        let started = Member {
            incarnation: self.last_incarnation,
            ..dead
        };
        let node = Claims::new(self.settings, started, self.now);
        self.nodes.insert(started, node);
        self.view = View::new(self.nodes.keys().copied());
    }

    /// All members adopt the view and receive all transfers; claims stay in flight.
    fn quiesce(&mut self) {
        self.paused.clear();
        let members: Vec<Member> = self.nodes.keys().copied().collect();
        for &member in &members {
            self.adopt(member);
        }
        for _ in 0..4 {
            members.iter().for_each(|member| self.tick(*member));
            let is_transfer =
                |m: &mut Message| matches!(m, Message::Transfer(..) | Message::Acknowledge(..));
            let mut transfers: Vec<Message> = self.in_flight.extract_if(.., is_transfer).collect();
            while let Some(message) = transfers.pop() {
                self.deliver(message);
                transfers.extend(self.in_flight.extract_if(.., is_transfer));
            }
        }
    }

    fn claim(&mut self, n: usize, key: u8) {
        let claimant = self.pick(n);
        if !self.is_running(claimant) {
            return;
        }
        self.seq += 1;
        let request = ClaimRequest {
            key: ClaimKey(u128::from(key)),
            account: AccountId::from_name("clara"),
            claim: ClaimId {
                claimant,
                seq: self.seq,
            },
            digest: RequestDigest(1),
            group: GroupId::default(),
        };
        let view = self.nodes[&claimant].view();
        let round = ClaimRound::new(&self.settings, view, request, self.now);
        for &voter in round.voters() {
            self.in_flight
                .push(Message::Claim(self.seq, voter, *round.request()));
        }
        self.rounds.insert(self.seq, round);
        self.keys.insert(self.seq, key);
    }

    fn time_out(&mut self, n: usize) {
        let rounds = self.rounds.len().max(1);
        let Some((&id, round)) = self.rounds.iter_mut().nth(n % rounds) else {
            return;
        };
        let verdict = round.on_deadline();
        self.conclude(id, verdict);
    }

    fn conclude(&mut self, id: u64, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else {
            return;
        };
        let mut settlement = match verdict {
            Verdict::Refused(_, settlement) => settlement,
            Verdict::Granted(grant) => match grant.start(self.now) {
                Err(settlement) => settlement,
                Ok(started) => {
                    *self.sent.entry(self.keys[&id]).or_default() += 1;
                    let outcome = match id % 3 {
                        0 => return,
                        1 => Outcome::Unknown,
                        _ => Outcome::Completed { status: 201 },
                    };
                    started.settle(outcome)
                }
            },
        };
        settlement.on_view(&self.view);
        for &voter in settlement.pending() {
            self.in_flight
                .push(Message::Settle(voter, *settlement.request()));
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Claim(id, voter, request) if self.is_running(voter) => {
                let node = self.nodes.get_mut(&voter).expect("a member");
                let vote = node.on_claim(&request, now);
                self.in_flight.push(Message::Vote(id, voter, vote));
            }
            Message::Vote(id, voter, vote) => {
                let Some(round) = self.rounds.get_mut(&id) else {
                    return;
                };
                let claimant = round.request().claim.claimant;
                let verdict = round.on_vote(voter, vote);
                if self.is_running(claimant) {
                    self.conclude(id, verdict);
                }
            }
            Message::Settle(voter, request) if self.is_running(voter) => {
                let node = self.nodes.get_mut(&voter).expect("a member");
                node.on_settle(&request, now);
            }
            Message::Transfer(from, transfer) if self.is_running(transfer.to) => {
                let node = self.nodes.get_mut(&transfer.to).expect("a member");
                node.on_transfer(from, &transfer.request, now);
                self.in_flight.push(Message::Acknowledge(from, transfer));
            }
            Message::Acknowledge(from, transfer) if self.is_running(from) => {
                let node = self.nodes.get_mut(&from).expect("a member");
                node.on_transfer_acknowledged(&transfer);
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Callers repeat three keys through five instances that are replaced, paused and resumed,
    /// while messages are lost, delayed, duplicated and reordered. No key is ever sent twice.
    #[test]
    fn no_key_is_sent_twice(steps in prop::collection::vec(step(), 50..300)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            assert!(fleet.sent.values().all(|count| *count <= 1), "{:?}", fleet.sent);
        }
    }
}

/// The random runs are only meaningful if requests are sent at all; a single claim without faults
/// must be sent.
#[test]
fn a_claim_without_faults_is_sent() {
    let mut fleet = Fleet::new();
    fleet.claim(0, 0);
    while let Some(message) = fleet.in_flight.pop() {
        fleet.deliver(message);
    }
    assert_eq!(fleet.sent.get(&0), Some(&1));
}
