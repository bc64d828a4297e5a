//! Failures of claims, each by name.

use std::collections::BTreeMap;

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimRound;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::ClaimState;
use crocushold_ownership::Claims;
use crocushold_ownership::Entry;
use crocushold_ownership::Grant;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::Outcome;
use crocushold_ownership::Record;
use crocushold_ownership::Refusal;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::Settlement;
use crocushold_ownership::Transfer;
use crocushold_ownership::TransferRequest;
use crocushold_ownership::Verdict;
use crocushold_ownership::View;
use crocushold_ownership::Vote;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use test_case::test_case;

const SECOND: Millis = Millis(1_000);

fn member(n: usize) -> Member {
    Member::new(&format!("entry-{n}"), 1)
}

/// Instances whose messages arrive at once, but between cut or stopped ones.
struct Fleet {
    settings: ClaimSettings,
    nodes: BTreeMap<Member, Claims>,
    /// Members that answer nobody.
    silent: Vec<Member>,
    /// Members on the far side of a partition.
    far: Vec<Member>,
    seq: u64,
    now: Millis,
}

impl Fleet {
    fn new(count: usize, settings: ClaimSettings) -> Fleet {
        let members: Vec<Member> = (0..count).map(member).collect();
        let fresh = ClaimSettings {
            cold_start: Millis::ZERO,
            ..settings
        };
        let start = |m: &Member| (*m, Claims::new(fresh, *m, SECOND));
        let mut fleet = Fleet {
            settings,
            nodes: members.iter().map(start).collect(),
            silent: Vec::new(),
            far: Vec::new(),
            seq: 0,
            now: SECOND,
        };
        fleet.adopt(&View::new(members));
        fleet
    }

    /// Lets time pass in steps below a lease; stopped members don't notice.
    fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + Millis::from_secs(5)).min(end);
            self.tick();
        }
    }

    fn tick(&mut self) {
        for from in self.awake() {
            let now = self.now;
            let transfers = self.node(from).on_tick(now);
            self.carry(from, transfers);
        }
    }

    fn awake(&self) -> Vec<Member> {
        let awake = |m: &Member| !self.silent.contains(m);
        self.nodes.keys().copied().filter(awake).collect()
    }

    fn node(&mut self, member: Member) -> &mut Claims {
        self.nodes.get_mut(&member).expect("a live member")
    }

    fn adopt(&mut self, view: &View) {
        for member in self.awake() {
            let now = self.now;
            let transfers = self.node(member).on_view(view.clone(), now);
            self.carry(member, transfers);
        }
        self.tick();
        self.tick();
    }

    fn carry(&mut self, from: Member, transfers: Vec<Transfer>) {
        for transfer in transfers {
            if self.reaches(from, transfer.to) {
                let now = self.now;
                let node = self.node(transfer.to);
                node.on_transfer(from, &transfer.request, now);
                self.node(from).on_transfer_acknowledged(&transfer);
            }
        }
    }

    fn reaches(&self, from: Member, to: Member) -> bool {
        let same_side = self.far.contains(&from) == self.far.contains(&to);
        same_side && self.nodes.contains_key(&to) && !self.silent.contains(&to)
    }

    fn request(&mut self, claimant: Member, key: u128, digest: u64) -> ClaimRequest {
        self.seq += 1;
        ClaimRequest {
            key: ClaimKey(key),
            account: AccountId::from_name("clara"),
            claim: ClaimId {
                claimant,
                seq: self.seq,
            },
            digest: RequestDigest(digest),
            group: GroupId::default(),
        }
    }

    fn claim(&mut self, claimant: Member, key: u128) -> Result<Grant, Refusal> {
        self.claim_digest(claimant, key, 1)
    }

    fn claim_digest(&mut self, claimant: Member, key: u128, digest: u64) -> Result<Grant, Refusal> {
        let request = self.request(claimant, key, digest);
        let now = self.now;
        let settings = self.settings;
        let mut round = ClaimRound::new(&settings, self.node(claimant).view(), request, now);
        let mut verdict = None;
        for voter in round.voters().to_vec() {
            let next = if self.reaches(claimant, voter) {
                let vote = self.node(voter).on_claim(round.request(), now);
                round.on_vote(voter, vote)
            } else {
                round.on_unreachable(voter)
            };
            verdict = verdict.or(next);
        }
        match verdict.expect("every voter was asked") {
            Verdict::Granted(grant) => Ok(grant),
            Verdict::Refused(refusal, settlement) => {
                self.settle(claimant, &settlement);
                Err(refusal)
            }
        }
    }

    fn settle(&mut self, from: Member, settlement: &Settlement) {
        let now = self.now;
        for &voter in settlement.pending() {
            if self.reaches(from, voter) {
                self.node(voter).on_settle(settlement.request(), now);
            }
        }
    }

    fn complete(&mut self, claimant: Member, grant: Grant) {
        let started = grant.start(self.now).expect("sent at once");
        let settlement = started.settle(Outcome::Completed { status: 201 });
        self.settle(claimant, &settlement);
    }

    fn group(&self, key: u128) -> Vec<Member> {
        let view = self.nodes.values().next().expect("a node").view();
        view.group(ClaimKey(key).placement_hash())
            .members()
            .to_vec()
    }

    /// A member that doesn't hold the record of `key`.
    fn outsider(&self, key: u128) -> Member {
        let group = self.group(key);
        let outside = |m: &&Member| !group.contains(m) && !self.silent.contains(m);
        *self.nodes.keys().find(outside).expect("an outsider")
    }

    fn kill(&mut self, member: Member) {
        self.nodes.remove(&member);
    }

    /// Starts a member, of whom all learn.
    fn join(&mut self, newcomer: Member) {
        let claims = Claims::new(self.settings, newcomer, self.now);
        self.nodes.insert(newcomer, claims);
        let view = self.view_of_living();
        self.adopt(&view);
    }

    /// Begins a member's planned stop: it passes everything on, and may then end.
    fn hand_over(&mut self, leaver: Member) {
        let (now, view) = (self.now, self.node(leaver).view().without(leaver));
        let transfers = self.node(leaver).on_view(view, now);
        self.carry(leaver, transfers);
        self.tick();
        assert!(self.node(leaver).is_handover_complete());
    }

    fn view_of_living(&self) -> View {
        View::new(self.nodes.keys().copied())
    }
}

fn fleet() -> Fleet {
    Fleet::new(8, ClaimSettings::default())
}

/// A caller loses its answer and repeats the request through another instance. It is told how the
/// first try ended; a reuse of the key for another request is told so too.
#[test]
fn a_repeat_learns_the_outcome() {
    let mut fleet = fleet();
    let grant = fleet.claim(member(0), 1).expect("a fresh key");
    let retry_after = Millis::from_secs(1);
    assert_eq!(
        fleet.claim(member(1), 1),
        Err(Refusal::InProgress { retry_after })
    );
    fleet.complete(member(0), grant);
    assert_eq!(
        fleet.claim(member(2), 1),
        Err(Refusal::Done { status: 201 })
    );
    assert_eq!(fleet.claim_digest(member(3), 1, 2), Err(Refusal::KeyReused));
}

/// The backend server couldn't be connected to: not a byte left. The key is free again at once, for
/// any instance.
#[test]
fn a_released_key_is_granted_again() {
    let mut fleet = fleet();
    let grant = fleet.claim(member(0), 1).expect("a fresh key");
    let release = grant.release();
    fleet.settle(member(0), &release);
    assert!(fleet.claim(member(1), 1).is_ok());
}

/// The instance that sent the request is killed before the answer. Nobody can tell whether the
/// booking was made: a repeat is answered "unknown", never "not run", and is not granted.
#[test]
fn a_killed_claimant_leaves_its_key_unknown() {
    let mut fleet = fleet();
    let claimant = fleet.outsider(1);
    let _grant = fleet.claim(claimant, 1).expect("a fresh key");
    fleet.kill(claimant);
    let view = fleet.view_of_living();
    fleet.adopt(&view);
    let other = fleet.awake()[0];
    assert_eq!(fleet.claim(other, 1), Err(Refusal::Unknown));
    fleet.pass(Millis::from_secs(500));
    assert_eq!(fleet.claim(other, 1), Err(Refusal::Unknown));
}

/// The owner of the key is killed right after the grant. The repeat is answered from the two other
/// members' records, both before and after the membership has noticed.
#[test]
fn an_owner_killed_after_the_grant_loses_nothing() {
    let mut fleet = fleet();
    let claimant = fleet.outsider(1);
    let grant = fleet.claim(claimant, 1).expect("a fresh key");
    let owner = fleet.group(1)[0];
    fleet.kill(owner);
    let done = Err(Refusal::Done { status: 201 });
    fleet.complete(claimant, grant);
    let other = fleet.awake()[1];
    assert_eq!(fleet.claim(other, 1), done);
    let view = fleet.view_of_living();
    fleet.adopt(&view);
    assert_eq!(fleet.claim(other, 1), done);
    let next = fleet.group(1)[0];
    fleet.kill(next);
    let view = fleet.view_of_living();
    fleet.adopt(&view);
    let other = fleet.awake()[0];
    assert_eq!(fleet.claim(other, 1), done);
}

/// Two members are killed at once that alone hold the record of a grant. The third and the newcomers
/// to the group know nothing of it. They must not grant for a window, and must not say "not run".
#[test]
fn two_holders_killed_at_once_leave_the_key_ungranted() {
    let mut fleet = fleet();
    let group = fleet.group(1);
    let claimant = fleet.outsider(1);
    fleet.silent.push(group[2]);
    let _grant = fleet.claim(claimant, 1).expect("a majority");
    fleet.silent.clear();
    fleet.kill(group[0]);
    fleet.kill(group[1]);
    let view = fleet.view_of_living();
    fleet.adopt(&view);
    for _ in 0..9 {
        let refusal = fleet.claim(claimant, 1).expect_err("not granted");
        assert!(matches!(refusal, Refusal::NoQuorum { .. }), "{refusal:?}");
        fleet.pass(Millis::from_secs(60));
    }
    fleet.pass(Millis::from_secs(120));
    assert!(fleet.claim(claimant, 1).is_ok(), "the window is over");
}

/// A member is stopped by a signal, and wakes minutes later with an old view and a queue of old
/// messages. It grants nothing until the membership has been confirmed.
#[test]
fn a_woken_member_grants_nothing_before_it_has_rejoined() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let sleeper = member(0);
    fleet.silent.push(sleeper);
    fleet.pass(Millis::from_secs(60));
    fleet.silent.clear();
    fleet.silent.push(member(1));
    let refusal = fleet.claim(member(2), 1).expect_err("one vote of three");
    assert!(matches!(refusal, Refusal::NoQuorum { .. }), "{refusal:?}");
    let view = fleet.node(sleeper).view().clone();
    let now = fleet.now;
    fleet.node(sleeper).on_view(view, now);
    assert!(fleet.claim(member(2), 1).is_ok());
}

/// A claimant is stopped between the grant and the sending, for so long that the members may have
/// given the key to another. The grant has run out when it wakes.
#[test]
fn a_woken_claimant_does_not_send() {
    let mut fleet = fleet();
    let grant = fleet.claim(member(0), 1).expect("a fresh key");
    assert!(grant.start(fleet.now + Millis::from_secs(6)).is_err());
}

/// The fleet splits. Both sides go on with the same reference membership; of the three holders of a
/// key one side has two, so one side grants it and the other can't. Over many keys both are useful.
#[test_case(4)]
#[test_case(3)]
#[test_case(1)]
fn a_partition_never_grants_on_both_sides(far: usize) {
    let mut fleet = fleet();
    fleet.far = (0..far).map(member).collect();
    let mut granted = 0;
    for key in 0..500 {
        let here = fleet.claim(member(7), key).is_ok();
        let there = fleet.claim(member(0), key).is_ok();
        assert!(!(here && there), "key {key} was granted twice");
        granted += usize::from(here || there);
    }
    assert_eq!(granted, 500);
}

/// An instance stops as planned: it passes on its records, may then end, and a repeat is answered.
#[test]
fn a_planned_stop_hands_over() {
    let mut fleet = fleet();
    let grant = fleet.claim(member(0), 1).expect("a fresh key");
    fleet.complete(member(0), grant);
    for _ in 0..5 {
        let leaver = fleet.group(1)[0];
        let view = View::new(fleet.awake().into_iter().filter(|m| *m != leaver));
        fleet.adopt(&view);
        assert!(fleet.node(leaver).is_handover_complete());
        fleet.kill(leaver);
        let other = fleet.awake()[0];
        assert_eq!(fleet.claim(other, 1), Err(Refusal::Done { status: 201 }));
    }
}

/// Two instances stop as planned. Each has handed over and waits for its neighbours to hear that it
/// leaves; meanwhile its own membership changes, in whose view an instance always counts itself. Did it
/// take itself in again, its next mark would undo the one that says that it leaves: the others would
/// count both as lost, and refuse callers with fresh keys for a window.
#[test]
fn leavers_that_are_told_of_themselves_are_not_counted_as_lost() {
    let mut fleet = fleet();
    let all = fleet.view_of_living();
    let leavers = [member(0), member(1)];
    for leaver in leavers {
        fleet.hand_over(leaver);
    }
    for leaver in leavers {
        let now = fleet.now;
        let transfers = fleet.node(leaver).on_view(all.clone(), now);
        fleet.carry(leaver, transfers);
    }
    for leaver in leavers {
        fleet.kill(leaver);
    }
    let rest = fleet.view_of_living();
    fleet.adopt(&rest);
    for key in 0..100 {
        let claim = fleet.claim(member(2), key);
        assert!(claim.is_ok(), "key {key}: {claim:?}");
    }
}

/// An instance has handed over and is about to end; its own membership names it still. A caller's key
/// comes under the view of before, while one holder is cut off; then the other holder freezes, and the
/// first comes back. Had the leaver voted, its record would end with it, and the one that came back and
/// the newcomer to the group, who knows that the leaver has passed on everything, would grant again.
#[test]
fn a_leaver_that_is_told_of_itself_grants_nothing() {
    let mut fleet = fleet();
    let all = fleet.view_of_living();
    let group = fleet.group(1);
    let (leaver, frozen, cut) = (group[0], group[1], group[2]);
    let claimant = fleet.outsider(1);
    fleet.hand_over(leaver);
    let now = fleet.now;
    // The process ends before it can send any of this.
    drop(fleet.node(leaver).on_view(all, now));
    fleet.silent.push(cut);
    let first = fleet.claim(claimant, 1);
    fleet.kill(leaver);
    fleet.silent = vec![frozen];
    let rest = fleet.view_of_living();
    fleet.adopt(&rest);
    let second = fleet.claim(claimant, 1);
    assert!(second.is_ok(), "{second:?}");
    assert!(first.is_err(), "granted twice");
}

/// Of three instances one voted for a claim that the third never heard of, and stops as planned; its
/// successor joins while the second is frozen. The two that are left for the group hold it already, so
/// nobody is new to the key. Did the leaver pass its record to newcomers alone, the frozen one would
/// be the only holder, whom a newcomer does without: the third and the successor would grant it again.
#[test]
fn a_leaver_of_a_small_fleet_leaves_its_records_with_the_rest() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let (leaver, frozen, third) = (member(0), member(1), member(2));
    fleet.silent.push(third);
    let _grant = fleet.claim(frozen, 1).expect("a majority");
    fleet.silent.clear();
    fleet.hand_over(leaver);
    fleet.kill(leaver);
    let rest = fleet.view_of_living();
    fleet.adopt(&rest);
    fleet.silent.push(frozen);
    let successor = Member {
        incarnation: 2,
        ..leaver
    };
    fleet.join(successor);
    let refusal = fleet.claim(third, 1).expect_err("it may run");
    assert!(
        !matches!(refusal, Refusal::NotRun { .. }),
        "it may run: {refusal:?}"
    );
}

/// An instance joins while one holder is frozen, grants a claim together with the other, and is killed.
/// The other is left with the only record, and the newcomer's place falls back to one that held the key
/// before it came. Were that one not sent the record, all would agree without a second copy; once the
/// other freezes too, the rest and the next newcomer would grant the key again.
#[test]
fn a_grant_of_a_newcomer_that_is_killed_gets_a_second_holder_back() {
    let granted = (0..300).filter(|key| is_granted_with_a_newcomer(*key));
    assert!(granted.count() > 20);
}

/// Whether the first claim was granted, in which case the second one is not.
fn is_granted_with_a_newcomer(key: u128) -> bool {
    let newcomer = member(4);
    let group = View::new((0..5).map(member)).group(ClaimKey(key).placement_hash());
    let is_old = |m: &Member| *m != newcomer;
    let old: Vec<Member> = group.members().iter().copied().filter(is_old).collect();
    let [other, frozen] = old[..] else {
        return false;
    };
    let mut fleet = Fleet::new(4, ClaimSettings::default());
    let claimant = fleet.awake().into_iter().find(|m| !group.contains(*m));
    let claimant = claimant.expect("two are outside of the group");
    fleet.silent.push(frozen);
    fleet.join(newcomer);
    let first = fleet.claim(claimant, key);
    fleet.kill(newcomer);
    fleet.silent.clear();
    let rest = fleet.view_of_living();
    fleet.adopt(&rest);
    fleet.silent.push(other);
    fleet.join(member(5));
    let second = fleet.claim(claimant, key);
    let twice = first.is_ok() && second.is_ok();
    assert!(!twice, "key {key} was granted twice");
    first.is_ok()
}

/// A claim is on its way to a newcomer, and overtaken by the record of another voter's grant. The
/// newcomer can't tell yet whether an earlier try was granted. Did it answer from the record that it was
/// sent, the one voter would count twice, and a caller's repeat would run beside the first try.
#[test]
fn a_record_that_was_passed_on_is_no_vote() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let (voter, newcomer, now) = (member(1), member(3), fleet.now);
    let view = View::new([voter, member(2), newcomer]);
    let claim = fleet.request(member(2), 1, 1);
    let claim = *ClaimRound::new(&fleet.settings, &view, claim, now).request();
    let mut claims = Claims::new(fleet.settings, newcomer, now);
    claims.on_view(view.clone(), now);
    let record = Record {
        account: claim.account,
        digest: claim.digest,
        claim: Some(claim.claim),
        time: Millis::ZERO,
        state: ClaimState::InProgress,
    };
    let transfer = TransferRequest {
        view: view.id(),
        entries: vec![Entry {
            key: claim.key,
            record,
        }],
        mark: None,
    };
    claims.on_transfer(voter, &transfer, now);
    let vote = claims.on_claim(&claim, now);
    assert!(matches!(vote, Vote::NotReady { .. }), "{vote:?}");
}

/// A voter's record is on its way to a newcomer when a leaver's record of an earlier try reaches the
/// voter. The newcomer acknowledges what it was sent. Did that count, it would be marked without ever
/// hearing of the earlier try, and vote for the later one: both would run.
#[test]
fn a_record_that_changes_on_its_way_is_sent_again() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let (voter, newcomer, now) = (member(1), member(3), fleet.now);
    let view = View::new([voter, member(2), newcomer]);
    let later = fleet.request(member(2), 1, 1);
    let old = fleet.node(voter).view().clone();
    let later = *ClaimRound::new(&fleet.settings, &old, later, now).request();
    assert_eq!(fleet.node(voter).on_claim(&later, now), Vote::Granted);
    let transfers = fleet.node(voter).on_view(view.clone(), now);
    let on_its_way = transfers.into_iter().find(|t| t.to == newcomer);
    let on_its_way = on_its_way.expect("the record");
    let earlier = fleet.request(member(0), 1, 1);
    let record = Record {
        account: earlier.account,
        digest: earlier.digest,
        claim: Some(earlier.claim),
        time: Millis::ZERO,
        state: ClaimState::InProgress,
    };
    let transfer = TransferRequest {
        view: view.id(),
        entries: vec![Entry {
            key: earlier.key,
            record,
        }],
        mark: None,
    };
    fleet.node(voter).on_transfer(member(0), &transfer, now);
    fleet.node(voter).on_transfer_acknowledged(&on_its_way);
    let transfers = fleet.node(voter).on_tick(now);
    let next = transfers.into_iter().find(|t| t.to == newcomer);
    let entries = next.expect("the record again").request.entries;
    let states: Vec<ClaimState> = entries.iter().map(|e| e.record.state).collect();
    assert_eq!(states, [ClaimState::Unknown]);
}

/// Every instance is restarted at once and all memory is gone. A repeat of a booking from before
/// must not be granted, nor be told that it wasn't run, until the window is over.
#[test]
fn a_fleet_without_memory_waits_for_a_window() {
    let mut fleet = fleet();
    for claims in fleet.nodes.values_mut() {
        *claims = Claims::new(fleet.settings, member(0), SECOND);
    }
    let members: Vec<Member> = fleet.nodes.keys().copied().collect();
    for m in &members {
        fleet
            .nodes
            .insert(*m, Claims::new(fleet.settings, *m, SECOND));
    }
    fleet.adopt(&View::new(members));
    let refusal = fleet.claim(member(0), 1).expect_err("cold");
    assert!(matches!(refusal, Refusal::NoQuorum { .. }), "{refusal:?}");
    fleet.pass(Millis::from_secs(601));
    assert!(fleet.claim(member(0), 1).is_ok());
}

/// The tables are full of records within their window. Fresh keys are refused, truly as not run, and
/// nothing is evicted; after the window there is room again.
#[test]
fn a_full_table_refuses_and_forgets_nothing() {
    let settings = ClaimSettings {
        capacity: 10,
        ..ClaimSettings::default()
    };
    let mut fleet = Fleet::new(3, settings);
    for key in 0..10 {
        let grant = fleet.claim(member(0), key).expect("room");
        fleet.complete(member(0), grant);
    }
    let refusal = fleet.claim(member(1), 10).expect_err("full");
    let retry_after = settings.window;
    assert_eq!(refusal, Refusal::NotRun { retry_after });
    assert_eq!(
        fleet.claim(member(1), 3),
        Err(Refusal::Done { status: 201 })
    );
    fleet.pass(Millis::from_secs(601));
    assert!(fleet.claim(member(1), 10).is_ok());
}

/// A request runs on past every limit and is never settled. Its key must not be forgotten with the
/// window of its claim, for the request may be running still.
#[test]
fn an_unsettled_claim_outlives_its_window() {
    let mut fleet = fleet();
    let _grant = fleet.claim(member(0), 1).expect("a fresh key");
    fleet.pass(Millis::from_secs(700));
    assert_eq!(fleet.claim(member(1), 1), Err(Refusal::Unknown));
}

proptest! {
    /// Kills, restarts, partitions, stops and claims in random order, one unplanned loss between two
    /// full rounds of transfers: whatever happens, a key is sent at most once.
    #[test]
    fn a_key_is_sent_at_most_once(steps in prop::collection::vec((0..7u8, 0..8usize), 1..60)) {
        let mut fleet = fleet();
        let mut incarnations = [1; 8];
        let mut sent = [0; 4];
        for (step, n) in steps {
            let living = fleet.awake();
            let some = living[n % living.len()];
            match step {
                0 => {
                    fleet.far.clear();
                    fleet.kill(some);
                    let place = (0..8).find(|k| member(*k).id == some.id).expect("a place");
                    incarnations[place] += 1;
                    let fresh = Member::new(&format!("entry-{place}"), incarnations[place]);
                    fleet.nodes.insert(fresh, Claims::new(fleet.settings, fresh, fleet.now));
                    let view = fleet.view_of_living();
                    fleet.adopt(&view);
                }
                1 => fleet.far = living.into_iter().take(n).collect(),
                2 => fleet.far.clear(),
                _ => {
                    let key = n % 4;
                    if let Ok(grant) = fleet.claim(some, key as u128) {
                        sent[key] += 1;
                        if step > 3 {
                            fleet.complete(some, grant);
                        }
                    }
                }
            }
            fleet.pass(Millis(100));
        }
        assert!(sent.iter().all(|count| *count <= 1), "{sent:?}");
    }
}

/// Two tries hold the key on different members when the membership changes: one of them was granted,
/// the other lost and is being released. A newcomer gets both records. Did it keep only the loser's,
/// the release would free the key and a third try would run what the first one runs.
#[test]
fn conflicting_records_are_never_released() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let voter = member(2);
    let now = fleet.now;
    let loser = fleet.request(member(1), 1, 1);
    let view = fleet.node(voter).view().clone();
    let mut round = ClaimRound::new(&fleet.settings, &view, loser, now);
    assert_eq!(
        fleet.node(voter).on_claim(round.request(), now),
        Vote::Granted
    );
    let winner = fleet.request(member(0), 1, 1);
    let record = Record {
        account: winner.account,
        digest: winner.digest,
        claim: Some(winner.claim),
        time: Millis::ZERO,
        state: ClaimState::InProgress,
    };
    let transfer = TransferRequest {
        view: view.id(),
        entries: vec![Entry {
            key: winner.key,
            record,
        }],
        mark: None,
    };
    fleet.node(voter).on_transfer(member(0), &transfer, now);
    let Some(Verdict::Refused(_, release)) = round.on_deadline() else {
        panic!("no vote has reached the loser");
    };
    fleet.node(voter).on_settle(release.request(), now);
    let third = fleet.request(member(1), 1, 1);
    let third = *ClaimRound::new(&fleet.settings, &view, third, now).request();
    assert_eq!(fleet.node(voter).on_claim(&third, now), Vote::Unknown);
}

/// A release overtakes the claim that it releases. The late claim must not lock the key again, for
/// nobody would ever free it.
#[test]
fn a_claim_overtaken_by_its_release_locks_nothing() {
    let mut fleet = Fleet::new(3, ClaimSettings::default());
    let now = fleet.now;
    let late = fleet.request(member(0), 1, 1);
    let view = fleet.node(member(0)).view().clone();
    let mut round = ClaimRound::new(&fleet.settings, &view, late, now);
    let Some(Verdict::Refused(_, release)) = round.on_deadline() else {
        panic!("no vote has come");
    };
    fleet.settle(member(0), &release);
    let vote = fleet.node(member(2)).on_claim(round.request(), now);
    assert!(matches!(vote, Vote::NotReady { .. }), "{vote:?}");
    assert!(fleet.claim(member(1), 1).is_ok());
}

/// One account sends fresh keys without end. It uses up its share of the table; another account's
/// keys are granted all the same.
#[test]
fn an_account_that_runs_wild_shuts_out_no_other() {
    let settings = ClaimSettings {
        max_per_account: 5,
        ..ClaimSettings::default()
    };
    let mut fleet = Fleet::new(3, settings);
    for key in 0..5 {
        let _grant = fleet.claim(member(0), key).expect("room");
    }
    let refusal = fleet.claim(member(0), 5).expect_err("no room");
    assert!(matches!(refusal, Refusal::NotRun { .. }), "{refusal:?}");
    let mut request = fleet.request(member(0), 6, 1);
    request.account = AccountId::from_name("other");
    let (now, view) = (fleet.now, fleet.node(member(0)).view().clone());
    let request = *ClaimRound::new(&settings, &view, request, now).request();
    assert_eq!(fleet.node(member(0)).on_claim(&request, now), Vote::Granted);
    fleet.pass(Millis::from_secs(1_300));
    assert!(fleet.claim(member(0), 5).is_ok());
}
