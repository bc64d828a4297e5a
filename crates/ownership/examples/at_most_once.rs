//! Three instances in one process that execute each booking at most once.
//!
//! The example delivers the messages in memory. A caller times out and repeats its request through
//! another instance, and an instance is lost; the booking still runs only once. Run it with `cargo
//! run -p crocushold-ownership --example at_most_once`.

use std::collections::BTreeMap;

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimRound;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::Claims;
use crocushold_ownership::Grant;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::Outcome;
use crocushold_ownership::Refusal;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::Settlement;
use crocushold_ownership::Transfer;
use crocushold_ownership::Verdict;
use crocushold_ownership::View;

const NOW: Millis = Millis(1_000);

/// Delivers messages between the running instances.
struct Network {
    settings: ClaimSettings,
    nodes: BTreeMap<Member, Claims>,
    seq: u64,
}

impl Network {
    fn start(members: &[Member]) -> Network {
        // There was no earlier fleet that could have recorded anything, so there is nothing to wait
        // for.
        let settings = ClaimSettings {
            cold_start: Millis::ZERO,
            ..ClaimSettings::default()
        };
        let node = |member: &Member| (*member, Claims::new(settings, *member, NOW));
        let mut network = Network {
            settings,
            nodes: members.iter().map(node).collect(),
            seq: 0,
        };
        network.adopt(&View::new(members.iter().copied()));
        network
    }

    fn adopt(&mut self, view: &View) {
        let members: Vec<Member> = self.nodes.keys().copied().collect();
        for member in members {
            let Some(node) = self.nodes.get_mut(&member) else {
                continue;
            };
            let transfers = node.on_view(view.clone(), NOW);
            self.carry(member, &transfers);
        }
    }

    fn carry(&mut self, from: Member, transfers: &[Transfer]) {
        for transfer in transfers {
            let Some(receiver) = self.nodes.get_mut(&transfer.to) else {
                continue;
            };
            receiver.on_transfer(from, &transfer.request, NOW);
            if let Some(sender) = self.nodes.get_mut(&from) {
                sender.on_transfer_acknowledged(transfer);
            }
        }
    }

    /// What an entry instance does when it receives a request with an idempotency key.
    fn claim(&mut self, claimant: Member, key: &str) -> Result<Grant, Refusal> {
        self.seq += 1;
        let request = ClaimRequest {
            key: ClaimKey::new("clara", key),
            account: AccountId::from_name("clara"),
            claim: ClaimId {
                claimant,
                seq: self.seq,
            },
            digest: RequestDigest(1),
            group: GroupId::default(),
        };
        let view = self.nodes[&claimant].view();
        let mut round = ClaimRound::new(&self.settings, view, request, NOW);
        for voter in round.voters().to_vec() {
            let verdict = match self.nodes.get_mut(&voter) {
                Some(node) => round.on_vote(voter, node.on_claim(round.request(), NOW)),
                None => round.on_unreachable(voter),
            };
            match verdict {
                Some(Verdict::Granted(grant)) => return Ok(grant),
                Some(Verdict::Refused(refusal, settlement)) => {
                    self.settle(&settlement);
                    return Err(refusal);
                }
                None => {}
            }
        }
        unreachable!("a round ends with its last vote")
    }

    fn settle(&mut self, settlement: &Settlement) {
        for voter in settlement.pending() {
            if let Some(node) = self.nodes.get_mut(voter) {
                node.on_settle(settlement.request(), NOW);
            }
        }
    }
}

fn main() {
    let members = [
        Member::new("entry-1", 1),
        Member::new("entry-2", 1),
        Member::new("entry-3", 1),
    ];
    let mut network = Network::start(&members);

    let grant = network.claim(members[0], "booking-17");
    let grant = grant.expect("nobody has claimed the key");
    println!("entry-1 may send booking-17");

    let repeat = network.claim(members[1], "booking-17");
    println!("the repeat through entry-2 is refused: {repeat:?}");

    let started = grant.start(NOW).expect("sent at once");
    let settlement = started.settle(Outcome::Completed { status: 201 });
    network.settle(&settlement);
    println!("booking-17 was answered with 201");

    network.nodes.remove(&members[0]);
    let repeat = network.claim(members[2], "booking-17");
    println!("entry-1 is lost; the repeat through entry-3: {repeat:?}");
    assert_eq!(repeat, Err(Refusal::Done { status: 201 }));

    let _lost = network.claim(members[1], "booking-18");
    network.nodes.remove(&members[1]);
    let repeat = network.claim(members[2], "booking-18");
    println!("entry-2 is lost too; booking-18 through entry-3: {repeat:?}");
    assert!(repeat.is_err(), "one of three can't grant");
}
