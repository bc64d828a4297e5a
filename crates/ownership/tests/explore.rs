//! Exhaustive exploration of claims: every order of the messages, every loss, every death.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crocushold_base::Millis;
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

const NOW: Millis = Millis(1_000);
const MOST_STATES: usize = 3_000_000;

/// A message on its way. Identical messages count as one, so a repetition adds no state.
#[derive(Clone, Debug)]
enum Message {
    Claim(usize, Member, ClaimRequest),
    Vote(usize, Member, Vote),
    Settle(Member, SettleRequest),
    Transfer(Member, Transfer),
}

/// What the explorer may do besides delivering messages.
#[derive(Clone, Debug)]
struct Budget {
    losses: usize,
    kills: Vec<Member>,
    releases: bool,
}

#[derive(Clone, Debug)]
struct World {
    nodes: BTreeMap<Member, Claims>,
    /// Claimants that haven't begun.
    waiting: BTreeSet<usize>,
    claimants: Vec<Member>,
    rounds: BTreeMap<usize, ClaimRound>,
    mail: BTreeMap<String, Message>,
    sent: usize,
    next: Option<View>,
    budget: Budget,
}

impl World {
    fn new(view: &View, joining: &[Member], claimants: &[Member], budget: Budget) -> World {
        let settings = ClaimSettings {
            cold_start: Millis::ZERO,
            ..ClaimSettings::default()
        };
        let cold = ClaimSettings::default();
        let mut nodes = BTreeMap::new();
        for &member in view.members() {
            nodes.insert(member, Claims::new(settings, member, NOW));
        }
        let mut world = World {
            nodes,
            waiting: (0..claimants.len()).collect(),
            claimants: claimants.to_vec(),
            rounds: BTreeMap::new(),
            mail: BTreeMap::new(),
            sent: 0,
            next: None,
            budget,
        };
        world.settle_first_view(view);
        for &member in joining {
            world.nodes.insert(member, Claims::new(cold, member, NOW));
        }
        world
    }

    fn settle_first_view(&mut self, view: &View) {
        for &member in view.members() {
            let transfers = self.node(member).on_view(view.clone(), NOW);
            self.post_transfers(member, transfers);
        }
        while let Some(id) = self.mail.keys().next().cloned() {
            self.deliver(&id);
        }
    }

    fn node(&mut self, member: Member) -> &mut Claims {
        self.nodes.get_mut(&member).expect("a live member")
    }

    fn post(&mut self, message: Message) {
        self.mail.insert(format!("{message:?}"), message);
    }

    fn post_transfers(&mut self, from: Member, transfers: Vec<Transfer>) {
        for transfer in transfers {
            self.post(Message::Transfer(from, transfer));
        }
    }

    /// Every state that can follow this one.
    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        for id in self.mail.keys() {
            next.push(self.with(|w| w.deliver(id)));
            if self.budget.losses > 0 {
                next.push(self.with(|w| w.lose(id)));
            }
        }
        for &claimant in &self.waiting {
            next.push(self.with(|w| w.begin(claimant)));
        }
        for &claimant in self.rounds.keys() {
            next.push(self.with(|w| w.give_up(claimant)));
        }
        for member in self.nodes.keys().copied() {
            next.push(self.with(|w| w.adopt(member)));
        }
        for at in 0..self.budget.kills.len() {
            next.push(self.with(|w| w.kill(at)));
        }
        next
    }

    fn with(&self, step: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        step(&mut next);
        next
    }

    fn begin(&mut self, claimant: usize) {
        self.waiting.remove(&claimant);
        let member = self.claimants[claimant];
        let Some(node) = self.nodes.get(&member) else {
            return;
        };
        let request = ClaimRequest {
            key: ClaimKey(7),
            claim: ClaimId {
                claimant: member,
                seq: claimant as u64,
            },
            digest: RequestDigest(1),
            group: GroupId::default(),
        };
        let round = ClaimRound::new(&ClaimSettings::default(), node.view(), request, NOW);
        for &voter in round.voters() {
            self.post(Message::Claim(claimant, voter, *round.request()));
        }
        self.rounds.insert(claimant, round);
    }

    fn give_up(&mut self, claimant: usize) {
        let verdict = self
            .rounds
            .get_mut(&claimant)
            .and_then(ClaimRound::on_deadline);
        self.conclude(claimant, verdict);
    }

    fn conclude(&mut self, claimant: usize, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else {
            return;
        };
        self.rounds.remove(&claimant);
        let settlement = match verdict {
            Verdict::Refused(_, settlement) => settlement,
            Verdict::Granted(grant) => {
                self.sent += 1;
                let started = grant.start(NOW).expect("sent at once");
                started.settle(Outcome::Completed { status: 201 })
            }
        };
        if self.budget.releases {
            for &voter in settlement.pending() {
                self.post(Message::Settle(voter, *settlement.request()));
            }
        }
    }

    fn deliver(&mut self, id: &str) {
        match self.mail.remove(id).expect("a message in the mail") {
            Message::Claim(claimant, voter, request) => {
                if let Some(node) = self.nodes.get_mut(&voter) {
                    let vote = node.on_claim(&request, NOW);
                    self.post(Message::Vote(claimant, voter, vote));
                }
            }
            Message::Vote(claimant, voter, vote) => {
                let round = self.rounds.get_mut(&claimant);
                let verdict = round.and_then(|round| round.on_vote(voter, vote));
                self.conclude(claimant, verdict);
            }
            Message::Settle(voter, request) => {
                if let Some(node) = self.nodes.get_mut(&voter) {
                    node.on_settle(&request, NOW);
                }
            }
            Message::Transfer(from, transfer) => self.deliver_transfer(from, &transfer),
        }
    }

    /// The receiver takes the records, and the acknowledgement arrives at once; its loss is the same
    /// as the loss of the message, which is repeated at the next tick.
    fn deliver_transfer(&mut self, from: Member, transfer: &Transfer) {
        let Some(node) = self.nodes.get_mut(&transfer.to) else {
            return;
        };
        node.on_transfer(from, &transfer.request, NOW);
        let Some(node) = self.nodes.get_mut(&from) else {
            return;
        };
        node.on_transferred(transfer);
        let transfers = node.on_tick(NOW);
        self.post_transfers(from, transfers);
    }

    fn lose(&mut self, id: &str) {
        self.budget.losses -= 1;
        self.mail.remove(id);
    }

    fn adopt(&mut self, member: Member) {
        let Some(view) = self.next.clone() else {
            return;
        };
        let transfers = self.node(member).on_view(view, NOW);
        self.post_transfers(member, transfers);
    }

    fn kill(&mut self, at: usize) {
        let member = self.budget.kills.remove(at);
        self.nodes.remove(&member);
        let claimants = &self.claimants;
        self.waiting
            .retain(|claimant| claimants[*claimant] != member);
        self.rounds
            .retain(|claimant, _| claimants[*claimant] != member);
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Visits every reachable state; returns how many there are and whether the key was ever granted.
fn explore(start: World) -> (usize, bool) {
    let mut seen = HashSet::from([start.fingerprint()]);
    let mut todo = vec![start];
    let mut granted = false;
    while let Some(world) = todo.pop() {
        granted |= world.sent == 1;
        assert!(world.sent <= 1, "sent {} times: {world:#?}", world.sent);
        for next in world.successors() {
            if seen.insert(next.fingerprint()) {
                assert!(seen.len() < MOST_STATES, "too many states");
                todo.push(next);
            }
        }
    }
    (seen.len(), granted)
}

fn members(names: &[&str]) -> Vec<Member> {
    names.iter().map(|name| Member::new(name, 1)).collect()
}

/// A caller repeats a request through another instance while the first try is still collecting
/// votes. Messages arrive in any order, up to two are lost, and one of the three instances may be
/// killed at any step. A second grant would run a booking twice; the majorities share a voter.
#[test]
fn two_claimants_never_both_send() {
    let all = members(&["a", "b", "c"]);
    let budget = Budget {
        losses: 2,
        kills: vec![all[2]],
        releases: true,
    };
    let world = World::new(&View::new(all.clone()), &[], &all[..2], budget);
    let (states, granted) = explore(world);
    println!("{states} states");
    assert!(granted);
}

/// A fourth instance joins, or replaces one that is killed, while two claimants want the key. Each
/// instance learns of the change at a step of its own; transfers come in any order. The newcomer
/// holds no record: were it to vote before it has been told, the key would be granted twice.
#[test]
fn a_joiner_never_grants_what_was_granted() {
    let all = members(&["a", "b", "c", "d"]);
    let old = View::new(all[..3].to_vec());
    for gone in [None, Some(all[0]), Some(all[1]), Some(all[2])] {
        let kept = all.iter().copied().filter(|member| Some(*member) != gone);
        let budget = Budget {
            losses: 0,
            kills: gone.into_iter().collect(),
            releases: false,
        };
        let mut world = World::new(&old, &all[3..], &all[..2], budget);
        world.next = Some(View::new(kept));
        let (states, granted) = explore(world);
        println!("without {gone:?}: {states} states");
        assert!(granted);
    }
}
