//! Claims under random losses, delays, duplicates, reordering, pauses and deaths.

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

const COUNT: usize = 5;

#[derive(Clone, Debug)]
enum Message {
    Claim(u64, Member, ClaimRequest),
    Vote(u64, Member, Vote),
    Settle(Member, SettleRequest),
    Transfer(Member, Transfer),
    Taken(Member, Transfer),
}

#[derive(Clone, Debug)]
enum Step {
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Claim(usize, u8),
    GiveUp(usize),
    Adopt(usize),
    Replace(usize),
    Pause(usize),
    Wake,
    Pass,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Repeat),
        3 => any::<usize>().prop_map(Step::Lose),
        4 => (any::<usize>(), 0..3u8).prop_map(|(n, key)| Step::Claim(n, key)),
        1 => any::<usize>().prop_map(Step::GiveUp),
        4 => any::<usize>().prop_map(Step::Adopt),
        1 => any::<usize>().prop_map(Step::Replace),
        1 => any::<usize>().prop_map(Step::Pause),
        1 => Just(Step::Wake),
        2 => Just(Step::Pass),
    ]
}

struct Fleet {
    settings: ClaimSettings,
    nodes: BTreeMap<Member, Claims>,
    paused: BTreeSet<Member>,
    view: View,
    mail: Vec<Message>,
    rounds: BTreeMap<u64, ClaimRound>,
    sent: BTreeMap<u8, usize>,
    keys: BTreeMap<u64, u8>,
    seq: u64,
    starts: u64,
    now: Millis,
}

impl Fleet {
    fn new() -> Fleet {
        let now = Millis(1_000);
        let settings = ClaimSettings::default();
        let fresh = ClaimSettings {
            cold_start: Millis::ZERO,
            ..settings
        };
        let members: Vec<Member> = (0..COUNT)
            .map(|n| Member::new(&format!("e{n}"), 1))
            .collect();
        let start = |m: &Member| (*m, Claims::new(fresh, *m, now));
        let mut fleet = Fleet {
            settings,
            nodes: members.iter().map(start).collect(),
            paused: BTreeSet::new(),
            view: View::new(members),
            mail: Vec::new(),
            rounds: BTreeMap::new(),
            sent: BTreeMap::new(),
            keys: BTreeMap::new(),
            seq: 0,
            starts: 1,
            now,
        };
        fleet.quiesce();
        fleet
    }

    fn take(&mut self, step: &Step) {
        let mails = self.mail.len().max(1);
        match *step {
            Step::Deliver(n) if !self.mail.is_empty() => {
                let message = self.mail.swap_remove(n % mails);
                self.deliver(message);
            }
            Step::Repeat(n) if !self.mail.is_empty() => {
                let message = self.mail[n % mails].clone();
                self.deliver(message);
            }
            Step::Lose(n) if !self.mail.is_empty() => {
                self.mail.swap_remove(n % mails);
            }
            Step::Claim(n, key) => self.claim(n, key),
            Step::GiveUp(n) => self.give_up(n),
            Step::Adopt(n) => self.adopt(self.pick(n)),
            Step::Replace(n) => self.replace(n),
            Step::Pause(n) => {
                self.paused.insert(self.pick(n));
            }
            Step::Wake => self.paused.clear(),
            Step::Pass => self.pass(),
            _ => {}
        }
    }

    fn pick(&self, n: usize) -> Member {
        *self.nodes.keys().nth(n % COUNT).expect("a member")
    }

    fn runs(&self, member: Member) -> bool {
        self.nodes.contains_key(&member) && !self.paused.contains(&member)
    }

    fn pass(&mut self) {
        self.now += Millis::from_secs(3);
        let members: Vec<Member> = self.nodes.keys().copied().collect();
        for member in members {
            if self.runs(member) {
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
        let letters = transfers.into_iter().map(|t| Message::Transfer(from, t));
        self.mail.extend(letters);
    }

    fn adopt(&mut self, member: Member) {
        if !self.runs(member) {
            return;
        }
        let (view, now) = (self.view.clone(), self.now);
        let node = self.nodes.get_mut(&member).expect("a member");
        let transfers = node.on_view(view, now);
        self.post(member, transfers);
    }

    /// Kills an instance and starts it anew. The former loss has been made good before: what two at
    /// once cost is another test's matter.
    fn replace(&mut self, n: usize) {
        self.quiesce();
        let dead = self.pick(n);
        self.nodes.remove(&dead);
        self.starts += 1;
        let fresh = Member {
            incarnation: self.starts,
            ..dead
        };
        let node = Claims::new(self.settings, fresh, self.now);
        self.nodes.insert(fresh, node);
        self.view = View::new(self.nodes.keys().copied());
    }

    /// Everyone learns of the view, and transfers arrive; claims stay on their way.
    fn quiesce(&mut self) {
        self.paused.clear();
        let members: Vec<Member> = self.nodes.keys().copied().collect();
        for &member in &members {
            self.adopt(member);
        }
        for _ in 0..4 {
            members.iter().for_each(|member| self.tick(*member));
            let moving = |m: &mut Message| matches!(m, Message::Transfer(..) | Message::Taken(..));
            let mut moved: Vec<Message> = self.mail.extract_if(.., moving).collect();
            while let Some(message) = moved.pop() {
                self.deliver(message);
                moved.extend(self.mail.extract_if(.., moving));
            }
        }
    }

    fn claim(&mut self, n: usize, key: u8) {
        let claimant = self.pick(n);
        if !self.runs(claimant) {
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
            self.mail
                .push(Message::Claim(self.seq, voter, *round.request()));
        }
        self.rounds.insert(self.seq, round);
        self.keys.insert(self.seq, key);
    }

    fn give_up(&mut self, n: usize) {
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
            self.mail
                .push(Message::Settle(voter, *settlement.request()));
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Claim(id, voter, request) if self.runs(voter) => {
                let node = self.nodes.get_mut(&voter).expect("a member");
                let vote = node.on_claim(&request, now);
                self.mail.push(Message::Vote(id, voter, vote));
            }
            Message::Vote(id, voter, vote) => {
                let Some(round) = self.rounds.get_mut(&id) else {
                    return;
                };
                let claimant = round.request().claim.claimant;
                let verdict = round.on_vote(voter, vote);
                if self.runs(claimant) {
                    self.conclude(id, verdict);
                }
            }
            Message::Settle(voter, request) if self.runs(voter) => {
                let node = self.nodes.get_mut(&voter).expect("a member");
                node.on_settle(&request, now);
            }
            Message::Transfer(from, transfer) if self.runs(transfer.to) => {
                let node = self.nodes.get_mut(&transfer.to).expect("a member");
                node.on_transfer(from, &transfer.request, now);
                self.mail.push(Message::Taken(from, transfer));
            }
            Message::Taken(from, transfer) if self.runs(from) => {
                let node = self.nodes.get_mut(&from).expect("a member");
                node.on_transfer_acknowledged(&transfer);
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Callers repeat three keys through five instances that are replaced, stopped and woken, while
    /// messages are lost, late, doubled and out of order. No key is ever sent twice.
    #[test]
    fn no_key_is_sent_twice(steps in prop::collection::vec(step(), 50..300)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.take(step);
            assert!(fleet.sent.values().all(|count| *count <= 1), "{:?}", fleet.sent);
        }
    }
}

/// The random runs prove something only if they do send: a plain run of one claim does.
#[test]
fn a_plain_claim_is_sent() {
    let mut fleet = Fleet::new();
    fleet.claim(0, 0);
    while let Some(message) = fleet.mail.pop() {
        fleet.deliver(message);
    }
    assert_eq!(fleet.sent.get(&0), Some(&1));
}
