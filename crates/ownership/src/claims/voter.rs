//! One member's part in claims: its records, its votes, and their hand-over.

use crocushold_base::Millis;

use super::handover::Handover;
use super::handover::Parcel;
use super::merge::merge;
use super::message::ClaimKey;
use super::message::ClaimRequest;
use super::message::ClaimState;
use super::message::Entry;
use super::message::Outcome;
use super::message::Record;
use super::message::SettleRequest;
use super::message::TransferRequest;
use super::message::Vote;
use super::readiness::Readiness;
use super::settings::ClaimSettings;
use super::table::Table;
use crate::pause::PauseDetector;
use crate::view::Member;
use crate::view::View;
use crate::view::ViewId;

/// A message that the shell sends to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The receiver.
    pub to: Member,
    /// The message.
    pub request: TransferRequest,
}

/// The records of one member and its votes on claims.
#[derive(Clone, Debug)]
pub struct Claims {
    settings: ClaimSettings,
    me: Member,
    table: Table,
    readiness: Readiness,
    handover: Handover,
    guard: PauseDetector,
}

impl Claims {
    /// A member that has just started. It refuses fresh keys until [`Claims::on_view`] gives it a
    /// membership and the others have passed on their records.
    pub fn new(settings: ClaimSettings, me: Member, now: Millis) -> Claims {
        let cold_until = now + settings.cold_start;
        Claims {
            settings,
            me,
            table: Table::new(&settings),
            readiness: Readiness::new(me, settings.window, cold_until),
            handover: Handover::new(settings.transfer_batch),
            guard: PauseDetector::new(settings.lease, now),
        }
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The reference membership in force.
    pub fn view(&self) -> &View {
        self.readiness.view()
    }

    /// The membership was read or confirmed. Call it after each change, and after a pause even if
    /// nothing changed. A view without this member starts its planned hand-over, which is for good:
    /// this member is left out of every later view.
    pub fn on_view(&mut self, view: View, now: Millis) -> Vec<Transfer> {
        self.guard.observe(now);
        self.guard.on_rejoined();
        // The membership of a process counts the process itself until it ends. Taken in again, this
        // member could vote after it has told the others that they have all its records, and a key
        // would run twice; and its next mark would undo the one that says that it leaves, so that it
        // counts as lost. Nothing else brings it back: a restarted process is another member.
        let view = if self.handover.is_leaving() {
            view.without(self.me)
        } else {
            view
        };
        if self.readiness.adopt(view, now) {
            self.plan_handover();
        }
        self.transfers(now)
    }

    /// Time has passed; call it several times a lease. Repeats what was not acknowledged.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Transfer> {
        self.guard.observe(now);
        self.table.expire(now);
        self.transfers(now)
    }

    /// Whether every peer has acknowledged this member's records, so that it may end.
    pub fn is_handover_complete(&self) -> bool {
        self.handover.is_done()
    }

    /// Votes on a claim.
    pub fn on_claim(&mut self, request: &ClaimRequest, now: Millis) -> Vote {
        self.guard.observe(now);
        self.table.expire(now);
        match self.recorded_vote(request, now) {
            Some(vote) => vote,
            None => self.fresh_vote(request, now),
        }
    }

    /// Takes note of what became of a claim.
    pub fn on_settle(&mut self, request: &SettleRequest, now: Millis) {
        self.guard.observe(now);
        let state = match request.outcome {
            Outcome::Completed { status } => ClaimState::Done { status },
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Unknown => ClaimState::Unknown,
        };
        let settled = Record {
            account: request.account,
            digest: request.digest,
            claim: Some(request.claim),
            time: now,
            state,
        };
        match self.table.get(request.key).copied() {
            Some(own) => self.table.put(request.key, merge(own, settled)),
            None if state == ClaimState::NotRun && self.table.is_full(request.account) => {}
            None => self.table.put(request.key, settled),
        }
    }

    /// Takes over records from another member.
    pub fn on_transfer(&mut self, from: Member, request: &TransferRequest, now: Millis) {
        self.guard.observe(now);
        for entry in &request.entries {
            let incoming = Record {
                time: now.since(entry.record.time),
                ..entry.record
            };
            let own = self.table.get(entry.key).copied();
            let merged = own.map_or(incoming, |own| merge(own, incoming));
            self.table.put(entry.key, merged);
            // Not its time, which moves with each way: two members would send it to and fro for ever.
            if own.is_none_or(|own| (own.claim, own.state) != (merged.claim, merged.state)) {
                self.pass_on(entry.key);
            }
        }
        if let Some(mark) = request.mark.clone() {
            self.readiness.mark(from, request.view, mark, now);
            self.settle();
        }
    }

    /// The peer has acknowledged a transfer.
    pub fn on_transfer_acknowledged(&mut self, transfer: &Transfer) {
        if transfer.request.view != self.view_id() {
            return;
        }
        let keys: Vec<ClaimKey> = transfer.request.entries.iter().map(|e| e.key).collect();
        let marked = transfer.request.mark.is_some();
        self.handover.taken(transfer.to, &keys, marked);
        self.settle();
    }

    /// The round is over once this member has heard from all and all from it.
    fn settle(&mut self) {
        if self.handover.is_done() {
            self.readiness.settle();
        }
    }

    fn view_id(&self) -> ViewId {
        self.readiness.view().id()
    }

    fn recorded_vote(&self, request: &ClaimRequest, now: Millis) -> Option<Vote> {
        let record = self.table.get(request.key)?;
        let same = record.claim == Some(request.claim);
        if record.state == ClaimState::NotRun {
            // A claim that is overtaken by its own release must not lock the key again.
            let retry_after = self.settings.retry_after;
            return same.then_some(Vote::NotReady { retry_after });
        }
        if record.digest != request.digest {
            return Some(Vote::KeyReused);
        }
        Some(match record.state {
            ClaimState::Done { status } => Vote::Done { status },
            ClaimState::InProgress if self.is_overdue(record, now) => Vote::Unknown,
            // The record may be another voter's grant, which was passed on and overtook the claim.
            // Answered from the record alone, one vote would count as two and a key could run twice;
            // so this member votes like on a fresh key, or not at all.
            ClaimState::InProgress if same => return None,
            ClaimState::InProgress => Vote::InProgress {
                retry_after: self.settings.retry_after,
            },
            ClaimState::Unknown | ClaimState::NotRun => Vote::Unknown,
        })
    }

    /// A claimant that ended or ran over its limit will not settle any more; whether its request ran
    /// can't be told, so the key is never granted again within the window.
    fn is_overdue(&self, record: &Record, now: Millis) -> bool {
        let ended = record
            .claim
            .is_none_or(|claim| !self.view().contains(claim.claimant));
        ended || now.since(record.time) > self.settings.max_run_time
    }

    fn fresh_vote(&mut self, request: &ClaimRequest, now: Millis) -> Vote {
        let retry_after = self.settings.retry_after;
        if self.guard.is_suspended() {
            return Vote::NotReady { retry_after };
        }
        let group = self.view().group(request.key.placement_hash());
        if group.id() != request.group || !group.contains(self.me) {
            return Vote::GroupMismatch;
        }
        if let Err(retry_after) = self.readiness.check(request.key, now) {
            return Vote::NotReady { retry_after };
        }
        if self.holds(request) {
            return Vote::Granted;
        }
        if self.table.is_full(request.account) && self.table.get(request.key).is_none() {
            let retry_after = self.table.next_expiry(now);
            return Vote::Full { retry_after };
        }
        let record = Record {
            account: request.account,
            digest: request.digest,
            claim: Some(request.claim),
            time: now,
            state: ClaimState::InProgress,
        };
        self.table.put(request.key, record);
        Vote::Granted
    }

    /// Whether this very try is recorded; a repeated message must not make its record younger.
    fn holds(&self, request: &ClaimRequest) -> bool {
        let record = self.table.get(request.key);
        record.is_some_and(|record| record.claim == Some(request.claim))
    }

    /// A record that came or changed since the plan was made goes to those that aren't marked yet. A
    /// mark vouches for all that leavers have passed on; what is on its way may be the record of before,
    /// and a newcomer that knew that one alone would grant the key a second time.
    fn pass_on(&mut self, key: ClaimKey) {
        for peer in self.readiness.receivers(key) {
            self.handover.push(peer, key);
        }
    }

    /// Every record goes to the members of its group that may lack it.
    fn plan_handover(&mut self) {
        let view = self.readiness.view();
        let me = self.me;
        let peers = view.members().iter().copied().filter(|peer| *peer != me);
        self.handover.start(peers, !view.contains(me));
        for (&key, _) in self.table.iter() {
            for peer in self.readiness.receivers(key) {
                self.handover.push(peer, key);
            }
        }
    }

    fn transfers(&mut self, now: Millis) -> Vec<Transfer> {
        let table = &self.table;
        self.handover.retain(|key| table.get(key).is_some());
        self.handover
            .parcels()
            .map(|(to, parcel)| Transfer {
                to,
                request: self.fill(&parcel, now),
            })
            .collect()
    }

    fn fill(&self, parcel: &Parcel<'_>, now: Millis) -> TransferRequest {
        let (keys, mark) = match parcel {
            Parcel::Records(keys) => (*keys, None),
            Parcel::Mark => (&[][..], Some(self.readiness.own_mark(now))),
        };
        TransferRequest {
            view: self.view_id(),
            entries: keys
                .iter()
                .filter_map(|&key| self.entry(key, now))
                .collect(),
            mark,
        }
    }

    fn entry(&self, key: ClaimKey, now: Millis) -> Option<Entry> {
        let record = *self.table.get(key)?;
        let time = now.since(record.time);
        Some(Entry {
            key,
            record: Record { time, ..record },
        })
    }
}
