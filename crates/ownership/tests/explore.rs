//! Exhaustive exploration of claims: every order of the messages, every loss, every death.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

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
use test_case::test_case;

const NOW: Millis = Millis(1_000);
const MOST_STATES: usize = 3_000_000;

/// States that a sample visits.
const SAMPLE: usize = 30_000;

/// A message on its way. Identical messages count as one, so a repetition adds no state.
#[derive(Clone, Debug)]
enum Message {
    Claim(usize, Member, ClaimRequest),
    Settle(Member, SettleRequest),
    Transfer(Member, Transfer),
}

/// A change of the membership, which each member learns of at a step of its own.
#[derive(Clone, Copy, Debug, Default)]
struct Change {
    gone: Option<Member>,
    come: Option<Member>,
    /// Whether the one that goes is the first to learn of it.
    planned: bool,
}

/// A part of a state, shared between the states that have it in common, with its hash.
#[derive(Clone, Debug)]
struct Hashed<T> {
    value: Rc<T>,
    hash: u64,
}

impl<T: Clone + Debug> Hashed<T> {
    fn new(value: T) -> Hashed<T> {
        let hash = hash_of(&value);
        Hashed {
            value: Rc::new(value),
            hash,
        }
    }

    fn change<R>(&mut self, step: impl FnOnce(&mut T) -> R) -> R {
        let value = Rc::make_mut(&mut self.value);
        let result = step(value);
        self.hash = hash_of(value);
        result
    }
}

fn hash_of(value: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(format!("{value:?}").as_bytes());
    hasher.finish()
}

#[derive(Clone, Debug)]
struct World {
    nodes: BTreeMap<Member, Hashed<Claims>>,
    /// Claimants that haven't begun.
    waiting: BTreeSet<usize>,
    claimants: Vec<Member>,
    rounds: BTreeMap<usize, Hashed<ClaimRound>>,
    mail: BTreeMap<u64, Rc<Message>>,
    sent: usize,
    first: View,
    changes: Vec<Change>,
    /// Which changes each member knows of.
    known: BTreeMap<Member, BTreeSet<usize>>,
    /// Changes that a member never learns of.
    hidden: BTreeSet<(Member, usize)>,
    /// Whether settlements are delivered too.
    settling: bool,
}

impl World {
    fn new(view: &View, joining: &[Member], claimants: &[Member]) -> World {
        let settings = ClaimSettings {
            cold_start: Millis::ZERO,
            ..ClaimSettings::default()
        };
        let mut nodes = BTreeMap::new();
        for &member in view.members() {
            nodes.insert(member, Hashed::new(Claims::new(settings, member, NOW)));
        }
        let mut world = World {
            nodes,
            waiting: (0..claimants.len()).collect(),
            claimants: claimants.to_vec(),
            rounds: BTreeMap::new(),
            mail: BTreeMap::new(),
            sent: 0,
            first: view.clone(),
            changes: Vec::new(),
            known: BTreeMap::new(),
            hidden: BTreeSet::new(),
            settling: false,
        };
        world.settle_first_view(view);
        for &member in joining {
            let node = Claims::new(settings, member, NOW);
            world.nodes.insert(member, Hashed::new(node));
        }
        world
    }

    fn settle_first_view(&mut self, view: &View) {
        for &member in view.members() {
            let transfers = self.change(member, |node| node.on_view(view.clone(), NOW));
            self.post_transfers(member, transfers);
        }
        while let Some(id) = self.mail.keys().next().copied() {
            self.deliver(id);
        }
    }

    fn change<R>(&mut self, member: Member, step: impl FnOnce(&mut Claims) -> R) -> R {
        let node = self.nodes.get_mut(&member).expect("a member");
        node.change(step)
    }

    fn post(&mut self, message: Message) {
        self.mail.insert(hash_of(&message), Rc::new(message));
    }

    fn post_transfers(&mut self, from: Member, transfers: Vec<Transfer>) {
        for transfer in transfers {
            // A mark makes its receiver vote sooner, a record makes it refuse: the dangerous orders
            // are those where marks are as early as can be and records late.
            if transfer.request.mark.is_some() {
                self.deliver_transfer(from, &transfer);
            } else {
                self.post(Message::Transfer(from, transfer));
            }
        }
    }

    /// Every state that can follow this one.
    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        for &id in self.mail.keys() {
            next.push(self.with(|w| w.deliver(id)));
        }
        for &claimant in &self.waiting {
            next.push(self.with(|w| w.begin(claimant)));
        }
        for &claimant in self.rounds.keys().filter(|_| self.settling) {
            next.push(self.with(|w| w.give_up(claimant)));
        }
        for &member in self.nodes.keys() {
            for change in 0..self.changes.len() {
                if self.may_learn(member, change) {
                    next.push(self.with(|w| w.learn(member, change)));
                }
            }
            if self.has_left(member) {
                next.push(self.with(|w| w.tell_of_itself(member)));
            }
        }
        next
    }

    fn knows(&self, member: Member, change: usize) -> bool {
        let known = self.known.get(&member);
        known.is_some_and(|known| known.contains(&change))
    }

    fn may_learn(&self, member: Member, change: usize) -> bool {
        let Change { gone, planned, .. } = self.changes[change];
        let is_first = gone.is_none_or(|gone| gone == member || self.knows(gone, change));
        let hidden = self.hidden.contains(&(member, change)) || (planned && !is_first);
        !hidden && !self.knows(member, change)
    }

    fn has_left(&self, member: Member) -> bool {
        let mut changes = (0..self.changes.len()).filter(|at| self.changes[*at].planned);
        changes.any(|at| self.changes[at].gone == Some(member) && self.knows(member, at))
    }

    /// The membership as far as a member knows of its changes.
    fn view_of(&self, member: Member) -> View {
        let known = self.known.get(&member).into_iter().flatten();
        let changes: Vec<Change> = known.map(|at| self.changes[*at]).collect();
        let first = self.first.members().iter().copied();
        let all = first.chain(changes.iter().filter_map(|change| change.come));
        let is_gone = |m: &Member| changes.iter().any(|change| change.gone == Some(*m));
        View::new(all.filter(|m| !is_gone(m)))
    }

    fn with(&self, step: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        step(&mut next);
        next
    }

    fn begin(&mut self, claimant: usize) {
        self.waiting.remove(&claimant);
        let member = self.claimants[claimant];
        let view = self.nodes[&member].value.view().clone();
        let request = ClaimRequest {
            key: ClaimKey(7),
            account: AccountId::from_name("clara"),
            claim: ClaimId {
                claimant: member,
                seq: claimant as u64,
            },
            digest: RequestDigest(1),
            group: GroupId::default(),
        };
        let round = ClaimRound::new(&ClaimSettings::default(), &view, request, NOW);
        for &voter in round.voters() {
            self.post(Message::Claim(claimant, voter, *round.request()));
        }
        self.rounds.insert(claimant, Hashed::new(round));
    }

    fn give_up(&mut self, claimant: usize) {
        let round = self.rounds.get_mut(&claimant).expect("a round");
        let verdict = round.change(ClaimRound::on_deadline);
        self.conclude(claimant, verdict);
    }

    fn conclude(&mut self, claimant: usize, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else {
            return;
        };
        self.rounds.remove(&claimant);
        if !self.settling {
            // Claims of a round that is over could only make voters refuse more.
            let over = |m: &Message| matches!(m, Message::Claim(other, ..) if *other == claimant);
            self.mail.retain(|_, message| !over(message));
        }
        let settlement = match verdict {
            Verdict::Refused(_, settlement) => settlement,
            Verdict::Granted(grant) => {
                self.sent += 1;
                let started = grant.start(NOW).expect("sent at once");
                started.settle(Outcome::Completed { status: 201 })
            }
        };
        // A settled success only makes the voters refuse more.
        if self.settling && settlement.request().outcome == Outcome::NotRun {
            for &voter in settlement.pending() {
                self.post(Message::Settle(voter, *settlement.request()));
            }
        }
    }

    fn deliver(&mut self, id: u64) {
        let message = self.mail.remove(&id).expect("a message in the mail");
        match &*message {
            Message::Claim(claimant, voter, request) => {
                let vote = self.change(*voter, |node| node.on_claim(request, NOW));
                // A vote that comes later, or never, leads to no other grant than one that comes at
                // once, or a claimant that gives up.
                let Some(round) = self.rounds.get_mut(claimant) else {
                    return;
                };
                let verdict = round.change(|round| round.on_vote(*voter, vote));
                self.conclude(*claimant, verdict);
            }
            Message::Settle(voter, request) => {
                self.change(*voter, |node| node.on_settle(request, NOW));
            }
            Message::Transfer(from, transfer) => self.deliver_transfer(*from, transfer),
        }
    }

    /// Delivers the claim that is on its way to a voter.
    fn deliver_claim(&mut self, voter: Member) {
        let is_it = |m: &Message| matches!(m, Message::Claim(_, to, _) if *to == voter);
        let ids: Vec<u64> = self.mail.keys().copied().collect();
        let id = ids.into_iter().find(|id| is_it(&self.mail[id]));
        self.deliver(id.expect("a claim for the voter"));
    }

    /// The receiver takes the records, and the acknowledgement arrives at once; its loss is the same
    /// as the loss of the message, which is repeated at the next tick.
    fn deliver_transfer(&mut self, from: Member, transfer: &Transfer) {
        self.change(transfer.to, |node| {
            node.on_transfer(from, &transfer.request, NOW);
        });
        let transfers = self.change(from, |node| {
            node.on_transfer_acknowledged(transfer);
            node.on_tick(NOW)
        });
        self.post_transfers(from, transfers);
    }

    fn learn(&mut self, member: Member, change: usize) {
        let own = |change: &Change| change.come == Some(member);
        // A member always counts itself.
        let own = self.changes.iter().position(own);
        let known = self.known.entry(member).or_default();
        known.extend([change].into_iter().chain(own));
        self.adopt(member, self.view_of(member));
    }

    /// The membership of a process counts the process until it ends, also one that leaves.
    fn tell_of_itself(&mut self, member: Member) {
        let others = self.view_of(member);
        let others = others.members().iter().copied();
        self.adopt(member, View::new(others.chain([member])));
    }

    fn adopt(&mut self, member: Member, view: View) {
        let transfers = self.change(member, |node| node.on_view(view, NOW));
        self.post_transfers(member, transfers);
    }

    fn fingerprint(&self) -> u64 {
        let nodes = self.nodes.values().map(|node| node.hash);
        let rounds = self
            .rounds
            .iter()
            .map(|(id, round)| round.hash ^ *id as u64);
        let known = self.known.iter().map(hash_of_known);
        let parts: Vec<u64> = nodes
            .chain(std::iter::once(u64::MAX))
            .chain(known)
            .chain(rounds)
            .chain(self.waiting.iter().map(|id| *id as u64))
            .chain(self.mail.keys().copied())
            .chain(std::iter::once(self.sent as u64))
            .collect();
        let mut hasher = DefaultHasher::new();
        parts.hash(&mut hasher);
        hasher.finish()
    }
}

fn hash_of_known(known: (&Member, &BTreeSet<usize>)) -> u64 {
    let mut hasher = DefaultHasher::new();
    known.hash(&mut hasher);
    hasher.finish()
}

/// Visits every reachable state; returns how many there are and whether the key was ever granted.
fn explore(start: World) -> (usize, bool) {
    let (states, granted) = walk(start, MOST_STATES, |todo| todo - 1);
    assert!(states < MOST_STATES, "too many states");
    (states, granted)
}

/// Visits some of the states, chosen among those in reach by a hash of the seed and the step.
fn sample(start: World, seed: u64) -> (usize, bool) {
    let mut step = seed;
    walk(start, SAMPLE, |todo| {
        step += 1;
        // Mostly the newest, so that long ways are walked to their end too.
        if !step.is_multiple_of(16) {
            return todo - 1;
        }
        hash_of(&step) as usize % todo
    })
}

/// Visits states until none is left or `limit` are known; `choose` picks the next of those in reach.
fn walk(start: World, limit: usize, mut choose: impl FnMut(usize) -> usize) -> (usize, bool) {
    let mut seen = HashSet::from([start.fingerprint()]);
    let mut todo = vec![start];
    let mut granted = false;
    while !todo.is_empty() && seen.len() < limit {
        let world = todo.swap_remove(choose(todo.len()));
        granted |= world.sent == 1;
        assert!(world.sent <= 1, "sent {} times", world.sent);
        for next in world.successors() {
            if seen.insert(next.fingerprint()) {
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
/// votes. Messages arrive in any order, and any of them never: that covers losses, deaths and a
/// partition. A second grant would run a booking twice; two majorities share a voter.
#[test]
fn two_claimants_never_both_send() {
    let all = members(&["a", "b", "c"]);
    let mut world = World::new(&View::new(all.clone()), &[], &all[..2]);
    world.settling = true;
    let (states, granted) = explore(world);
    println!("{states} states");
    assert!(granted);
}

/// A fourth instance joins, or replaces one that was killed, while two claimants want the key. Each
/// instance learns of the change at a step of its own; transfers come in any order, or never. The
/// newcomer holds no record: were it to vote before it was told, the key would be granted twice.
#[test_case(None; "joins")]
#[test_case(Some(0); "replaces the first")]
#[test_case(Some(2); "replaces the third")]
fn a_newcomer_never_grants_what_was_granted(gone: Option<usize>) {
    let all = members(&["a", "b", "c", "d"]);
    let old = View::new(all[..3].to_vec());
    let mut world = World::new(&old, &all[3..], &all[1..3]);
    world.changes.push(Change {
        gone: gone.map(|at| all[at]),
        come: Some(all[3]),
        planned: false,
    });
    world.begin(0);
    let (states, granted) = explore(world);
    println!("{states} states");
    assert!(granted);
}

/// Two changes of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pair {
    LeaveAndJoin,
    LossAndReturn,
    JoinAndLoss,
}

/// The key is granted by two of three instances, and the third never hears of it, when two changes of
/// the membership come: one leaves and another joins, one is replaced after its loss was seen, or one
/// joins and another is lost. Each instance learns of each change at a step of its own, in any order,
/// or never; one that leaves is told of itself once more. A repeat comes at any time. Where a change
/// left the grant with one holder, the next newcomer would do without that one and grant again.
#[test_case(Pair::LeaveAndJoin; "one leaves that voted, one joins")]
#[test_case(Pair::LossAndReturn; "one is lost that voted, and returns")]
#[test_case(Pair::JoinAndLoss; "one joins, one is lost that voted")]
fn two_changes_never_grant_again(pair: Pair) {
    let all = members(&["a", "b", "c", "d"]);
    let again = Member {
        incarnation: 2,
        ..all[0]
    };
    let newcomer = match pair {
        Pair::LossAndReturn => again,
        Pair::LeaveAndJoin | Pair::JoinAndLoss => all[3],
    };
    let old = View::new(all[..3].to_vec());
    let mut world = World::new(&old, &[newcomer], &all[1..3]);
    world.begin(0);
    for voter in &all[..2] {
        world.deliver_claim(*voter);
    }
    assert_eq!(world.sent, 1);
    world.changes.push(Change {
        gone: Some(all[0]),
        come: None,
        planned: pair == Pair::LeaveAndJoin,
    });
    world.changes.push(Change {
        gone: None,
        come: Some(newcomer),
        planned: false,
    });
    // One that is killed doesn't learn of it, and one that leaves doesn't wait for a newcomer.
    world.hidden = match pair {
        Pair::LeaveAndJoin => [(all[0], 1)].into(),
        Pair::LossAndReturn => [(all[0], 0), (all[0], 1)].into(),
        Pair::JoinAndLoss => [(all[0], 0)].into(),
    };
    let (states, _) = sample(world, 1);
    println!("{states} states");
}
