//! Exhaustive exploration of claims: every order of messages, every loss, every crash.

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
const MAX_STATES: usize = 3_000_000;

/// States visited by a sample.
const SAMPLE_STATES: usize = 30_000;

/// A message in flight. Identical messages are merged, so a duplicate adds no state.
#[derive(Clone, Debug)]
enum Message {
    Claim(usize, Member, ClaimRequest),
    Settle(Member, SettleRequest),
    Transfer(Member, Transfer),
}

/// A change of the membership, which each member learns in a step of its own.
#[derive(Clone, Copy, Debug, Default)]
struct Change {
    left: Option<Member>,
    joined: Option<Member>,
    /// Whether the leaving member is the first to learn of it.
    planned: bool,
}

/// A part of a state that is shared by several states, with its hash.
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
    /// Claimants that haven't started yet.
    unstarted: BTreeSet<usize>,
    claimants: Vec<Member>,
    rounds: BTreeMap<usize, Hashed<ClaimRound>>,
    in_flight: BTreeMap<u64, Rc<Message>>,
    sent: usize,
    initial_view: View,
    changes: Vec<Change>,
    /// The changes that each member knows of.
    known_changes: BTreeMap<Member, BTreeSet<usize>>,
    /// Changes that a member never learns of.
    never_learned: BTreeSet<(Member, usize)>,
    /// Whether settlements are delivered too.
    deliver_settlements: bool,
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
            unstarted: (0..claimants.len()).collect(),
            claimants: claimants.to_vec(),
            rounds: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            initial_view: view.clone(),
            changes: Vec::new(),
            known_changes: BTreeMap::new(),
            never_learned: BTreeSet::new(),
            deliver_settlements: false,
        };
        world.settle_initial_view(view);
        for &member in joining {
            let node = Claims::new(settings, member, NOW);
            world.nodes.insert(member, Hashed::new(node));
        }
        world
    }

    fn settle_initial_view(&mut self, view: &View) {
        for &member in view.members() {
            let transfers = self.change(member, |node| node.on_view(view.clone(), NOW));
            self.send_transfers(member, transfers);
        }
        while let Some(id) = self.in_flight.keys().next().copied() {
            self.deliver(id);
        }
    }

    fn change<R>(&mut self, member: Member, step: impl FnOnce(&mut Claims) -> R) -> R {
        let node = self.nodes.get_mut(&member).expect("a member");
        node.change(step)
    }

    fn send(&mut self, message: Message) {
        self.in_flight.insert(hash_of(&message), Rc::new(message));
    }

    fn send_transfers(&mut self, from: Member, transfers: Vec<Transfer>) {
        for transfer in transfers {
            // A mark lets its receiver vote earlier, and a record makes it refuse: the critical
            // orders are those where marks arrive as early as possible and records late.
            if transfer.request.mark.is_some() {
                self.deliver_transfer(from, &transfer);
            } else {
                self.send(Message::Transfer(from, transfer));
            }
        }
    }

    /// All successors of this state.
    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        for &id in self.in_flight.keys() {
            next.push(self.after(|w| w.deliver(id)));
        }
        for &claimant in &self.unstarted {
            next.push(self.after(|w| w.start_round(claimant)));
        }
        for &claimant in self.rounds.keys().filter(|_| self.deliver_settlements) {
            next.push(self.after(|w| w.time_out(claimant)));
        }
        for &member in self.nodes.keys() {
            for change in 0..self.changes.len() {
                if self.may_learn(member, change) {
                    next.push(self.after(|w| w.learn(member, change)));
                }
            }
            if self.has_left(member) {
                next.push(self.after(|w| w.readd_itself(member)));
            }
        }
        next
    }

    fn knows(&self, member: Member, change: usize) -> bool {
        let known = self.known_changes.get(&member);
        known.is_some_and(|known| known.contains(&change))
    }

    fn may_learn(&self, member: Member, change: usize) -> bool {
        let Change { left, planned, .. } = self.changes[change];
        let is_first = left.is_none_or(|left| left == member || self.knows(left, change));
        let never_learned =
            self.never_learned.contains(&(member, change)) || (planned && !is_first);
        !never_learned && !self.knows(member, change)
    }

    fn has_left(&self, member: Member) -> bool {
        let mut changes = (0..self.changes.len()).filter(|at| self.changes[*at].planned);
        changes.any(|at| self.changes[at].left == Some(member) && self.knows(member, at))
    }

    /// The membership according to the changes that a member knows of.
    fn view_of(&self, member: Member) -> View {
        let known = self.known_changes.get(&member).into_iter().flatten();
        let changes: Vec<Change> = known.map(|at| self.changes[*at]).collect();
        let first = self.initial_view.members().iter().copied();
        let all = first.chain(changes.iter().filter_map(|change| change.joined));
        let has_left = |m: &Member| changes.iter().any(|change| change.left == Some(*m));
        View::new(all.filter(|m| !has_left(m)))
    }

    fn after(&self, step: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        step(&mut next);
        next
    }

    fn start_round(&mut self, claimant: usize) {
        self.unstarted.remove(&claimant);
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
            self.send(Message::Claim(claimant, voter, *round.request()));
        }
        self.rounds.insert(claimant, Hashed::new(round));
    }

    fn time_out(&mut self, claimant: usize) {
        let round = self.rounds.get_mut(&claimant).expect("a round");
        let verdict = round.change(ClaimRound::on_deadline);
        self.conclude(claimant, verdict);
    }

    fn conclude(&mut self, claimant: usize, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else {
            return;
        };
        self.rounds.remove(&claimant);
        if !self.deliver_settlements {
            // Claims of a finished round could only cause more refusals.
            let is_obsolete =
                |m: &Message| matches!(m, Message::Claim(other, ..) if *other == claimant);
            self.in_flight.retain(|_, message| !is_obsolete(message));
        }
        let settlement = match verdict {
            Verdict::Refused(_, settlement) => settlement,
            Verdict::Granted(grant) => {
                self.sent += 1;
                let started = grant.start(NOW).expect("sent at once");
                started.settle(Outcome::Completed { status: 201 })
            }
        };
        // The settlement of a successful request only causes more refusals.
        if self.deliver_settlements && settlement.request().outcome == Outcome::NotRun {
            for &voter in settlement.pending() {
                self.send(Message::Settle(voter, *settlement.request()));
            }
        }
    }

    fn deliver(&mut self, id: u64) {
        let message = self.in_flight.remove(&id).expect("a message in flight");
        match &*message {
            Message::Claim(claimant, voter, request) => {
                let vote = self.change(*voter, |node| node.on_claim(request, NOW));
                // A vote that arrives later or never leads to no other grants than one that arrives
                // at once, or a claimant that times out.
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

    /// Delivers the claim that is in flight to a voter.
    fn deliver_claim(&mut self, voter: Member) {
        let is_claim = |m: &Message| matches!(m, Message::Claim(_, to, _) if *to == voter);
        let ids: Vec<u64> = self.in_flight.keys().copied().collect();
        let id = ids.into_iter().find(|id| is_claim(&self.in_flight[id]));
        self.deliver(id.expect("a claim for the voter"));
    }

    /// The receiver takes the records, and its acknowledgement is delivered at once. Losing it is
    /// equivalent to losing the message, which is repeated at the next tick.
    fn deliver_transfer(&mut self, from: Member, transfer: &Transfer) {
        self.change(transfer.to, |node| {
            node.on_transfer(from, &transfer.request, NOW);
        });
        let transfers = self.change(from, |node| {
            node.on_transfer_acknowledged(transfer);
            node.on_tick(NOW)
        });
        self.send_transfers(from, transfers);
    }

    fn learn(&mut self, member: Member, change: usize) {
        let own = |change: &Change| change.joined == Some(member);
        // A member's own view always includes itself.
        let own = self.changes.iter().position(own);
        let known = self.known_changes.entry(member).or_default();
        known.extend([change].into_iter().chain(own));
        self.adopt(member, self.view_of(member));
    }

    /// The membership of a process includes the process until it ends, even while it is leaving.
    fn readd_itself(&mut self, member: Member) {
        let others = self.view_of(member);
        let others = others.members().iter().copied();
        self.adopt(member, View::new(others.chain([member])));
    }

    fn adopt(&mut self, member: Member, view: View) {
        let transfers = self.change(member, |node| node.on_view(view, NOW));
        self.send_transfers(member, transfers);
    }

    fn fingerprint(&self) -> u64 {
        let nodes = self.nodes.values().map(|node| node.hash);
        let rounds = self
            .rounds
            .iter()
            .map(|(id, round)| round.hash ^ *id as u64);
        let known = self.known_changes.iter().map(hash_known_changes);
        let parts: Vec<u64> = nodes
            .chain(std::iter::once(u64::MAX))
            .chain(known)
            .chain(rounds)
            .chain(self.unstarted.iter().map(|id| *id as u64))
            .chain(self.in_flight.keys().copied())
            .chain(std::iter::once(self.sent as u64))
            .collect();
        let mut hasher = DefaultHasher::new();
        parts.hash(&mut hasher);
        hasher.finish()
    }
}

fn hash_known_changes(known: (&Member, &BTreeSet<usize>)) -> u64 {
    let mut hasher = DefaultHasher::new();
    known.hash(&mut hasher);
    hasher.finish()
}

/// Visits all reachable states; returns their number and whether the key was ever granted.
fn explore(start: World) -> (usize, bool) {
    let (states, granted) = visit(start, MAX_STATES, |frontier| frontier - 1);
    assert!(states < MAX_STATES, "too many states");
    (states, granted)
}

/// Visits some of the reachable states, selected by a hash of the seed and the step.
fn sample(start: World, seed: u64) -> (usize, bool) {
    let mut step = seed;
    visit(start, SAMPLE_STATES, |frontier| {
        step += 1;
        // Mostly the newest, so that long paths are also followed to their end.
        if !step.is_multiple_of(16) {
            return frontier - 1;
        }
        hash_of(&step) as usize % frontier
    })
}

/// Visits states until none is left or `limit` states are known; `choose` selects the next one from
/// the frontier.
fn visit(start: World, limit: usize, mut choose: impl FnMut(usize) -> usize) -> (usize, bool) {
    let mut visited = HashSet::from([start.fingerprint()]);
    let mut frontier = vec![start];
    let mut granted = false;
    while !frontier.is_empty() && visited.len() < limit {
        let world = frontier.swap_remove(choose(frontier.len()));
        granted |= world.sent == 1;
        assert!(world.sent <= 1, "sent {} times", world.sent);
        for next in world.successors() {
            if visited.insert(next.fingerprint()) {
                frontier.push(next);
            }
        }
    }
    (visited.len(), granted)
}

fn members(names: &[&str]) -> Vec<Member> {
    names.iter().map(|name| Member::new(name, 1)).collect()
}

/// A caller repeats a request through another instance while the first attempt is still collecting
/// votes. Messages arrive in any order, or never, which covers losses, crashes and a partition. A
/// second grant would run a booking twice; two majorities share a voter.
#[test]
fn two_claimants_never_both_send() {
    let all = members(&["a", "b", "c"]);
    let mut world = World::new(&View::new(all.clone()), &[], &all[..2]);
    world.deliver_settlements = true;
    let (states, granted) = explore(world);
    println!("{states} states");
    assert!(granted);
}

/// A fourth instance joins, or replaces one that was killed, while two claimants compete for the
/// key. Each instance learns of the change in a step of its own, and transfers arrive in any order
/// or never. The new member has no records: if it voted before it received them, the key would be
/// granted twice.
#[test_case(None; "joins")]
#[test_case(Some(0); "replaces the first")]
#[test_case(Some(2); "replaces the third")]
fn a_new_member_never_grants_a_granted_key(left: Option<usize>) {
    let all = members(&["a", "b", "c", "d"]);
    let old = View::new(all[..3].to_vec());
    let mut world = World::new(&old, &all[3..], &all[1..3]);
    world.changes.push(Change {
        left: left.map(|at| all[at]),
        joined: Some(all[3]),
        planned: false,
    });
    world.start_round(0);
    let (states, granted) = explore(world);
    println!("{states} states");
    assert!(granted);
}

/// Two changes of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangePair {
    LeaveAndJoin,
    LossAndReturn,
    JoinAndLoss,
}

/// The key is granted by two of three instances, and the third never receives the claim. Then the
/// membership changes twice: one instance leaves and another joins, one is lost and its replacement
/// joins, or one joins and another is lost. Each instance learns of each change in a step of its
/// own, in any order or never; one that leaves sees itself in its own view once more. A repeat
/// arrives at any time. If a change left the grant with a single holder, the next new member would
/// not wait for that holder, and the key would be granted again.
#[test_case(ChangePair::LeaveAndJoin; "a voter leaves, a member joins")]
#[test_case(ChangePair::LossAndReturn; "a voter is lost and returns")]
#[test_case(ChangePair::JoinAndLoss; "a member joins, a voter is lost")]
fn two_membership_changes_never_grant_again(pair: ChangePair) {
    let all = members(&["a", "b", "c", "d"]);
    let restarted = Member {
        incarnation: 2,
        ..all[0]
    };
    let new_member = match pair {
        ChangePair::LossAndReturn => restarted,
        ChangePair::LeaveAndJoin | ChangePair::JoinAndLoss => all[3],
    };
    let old = View::new(all[..3].to_vec());
    let mut world = World::new(&old, &[new_member], &all[1..3]);
    world.start_round(0);
    for voter in &all[..2] {
        world.deliver_claim(*voter);
    }
    assert_eq!(world.sent, 1);
    world.changes.push(Change {
        left: Some(all[0]),
        joined: None,
        planned: pair == ChangePair::LeaveAndJoin,
    });
    world.changes.push(Change {
        left: None,
        joined: Some(new_member),
        planned: false,
    });
    // An instance that is killed doesn't learn of its loss, and one that leaves doesn't wait for a
    // new member.
    world.never_learned = match pair {
        ChangePair::LeaveAndJoin => [(all[0], 1)].into(),
        ChangePair::LossAndReturn => [(all[0], 0), (all[0], 1)].into(),
        ChangePair::JoinAndLoss => [(all[0], 0)].into(),
    };
    let (states, _) = sample(world, 1);
    println!("{states} states");
}
