//! The voter's side of the protocol: a member's records, its votes, and the hand-over of records.

use crocushold_base::Millis;

use super::handover::Handover;
use super::handover::Payload;
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

/// A transfer to be sent to another member.
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
    pause_detector: PauseDetector,
}

impl Claims {
    /// A member that has just started. It refuses new keys until it has a membership from
    /// [`Claims::on_view`] and the records of the other members.
    pub fn new(settings: ClaimSettings, me: Member, now: Millis) -> Claims {
        let cold_until = now + settings.cold_start;
        Claims {
            settings,
            me,
            table: Table::new(&settings),
            readiness: Readiness::new(me, settings.window, cold_until),
            handover: Handover::new(settings.transfer_batch),
            pause_detector: PauseDetector::new(settings.lease, now),
        }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The current reference membership.
    pub fn view(&self) -> &View {
        self.readiness.view()
    }

    /// Handles a new or confirmed membership. Call this after each change, and after a pause even
    /// if nothing changed. A view without this member starts its planned hand-over, which is
    /// irreversible: this member is then excluded from every later view.
    pub fn on_view(&mut self, view: View, now: Millis) -> Vec<Transfer> {
        self.pause_detector.observe(now);
        self.pause_detector.on_rejoined();
        // A process's own membership includes the process until it ends. If this member were added
        // again, it could vote after telling the others that they have all its records, and a key
        // would run twice. Also, its next mark would replace the one that announces its leave, so
        // that it would count as lost. Nothing else readmits it: a restarted process is another
        // member.
        let view = if self.handover.is_leaving() {
            view.without(self.me)
        } else {
            view
        };
        if self.readiness.adopt(view, now) {
            self.plan_handover();
        }
        self.next_transfers(now)
    }

    /// Advances the time; call this several times per lease. Repeats transfers that were not
    /// acknowledged.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Transfer> {
        self.pause_detector.observe(now);
        self.table.expire(now);
        self.next_transfers(now)
    }

    /// Whether every peer has acknowledged this member's records, so that this member may end.
    pub fn is_handover_complete(&self) -> bool {
        self.handover.is_done()
    }

    /// Votes on a claim.
    pub fn on_claim(&mut self, request: &ClaimRequest, now: Millis) -> Vote {
        self.pause_detector.observe(now);
        self.table.expire(now);
        match self.vote_from_record(request, now) {
            Some(vote) => vote,
            None => self.vote_without_record(request, now),
        }
    }

    /// Records the outcome of a claim.
    pub fn on_settle(&mut self, request: &SettleRequest, now: Millis) {
        self.pause_detector.observe(now);
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
            Some(own) => self.table.insert(request.key, merge(own, settled)),
            None if state == ClaimState::NotRun && self.table.is_full(request.account) => {}
            None => self.table.insert(request.key, settled),
        }
    }

    /// Merges the records transferred by another member.
    pub fn on_transfer(&mut self, from: Member, request: &TransferRequest, now: Millis) {
        self.pause_detector.observe(now);
        for entry in &request.entries {
            let incoming = Record {
                time: now.since(entry.record.time),
                ..entry.record
            };
            let own = self.table.get(entry.key).copied();
            let merged = own.map_or(incoming, |own| merge(own, incoming));
            self.table.insert(entry.key, merged);
            // The time isn't compared: it shifts with each transfer, and two members would send the
            // record back and forth forever.
            if own.is_none_or(|own| (own.claim, own.state) != (merged.claim, merged.state)) {
                self.enqueue_for_receivers(entry.key);
            }
        }
        if let Some(mark) = request.mark.clone() {
            self.readiness.on_mark(from, request.view, mark, now);
            self.finish_transfer_round();
        }
    }

    /// Handles the acknowledgement of a transfer.
    pub fn on_transfer_acknowledged(&mut self, transfer: &Transfer) {
        if transfer.request.view != self.view_id() {
            return;
        }
        let keys: Vec<ClaimKey> = transfer.request.entries.iter().map(|e| e.key).collect();
        let marked = transfer.request.mark.is_some();
        self.handover.acknowledge(transfer.to, &keys, marked);
        self.finish_transfer_round();
    }

    /// The transfer round ends once this member has heard from all others and all have heard from
    /// it.
    fn finish_transfer_round(&mut self) {
        if self.handover.is_done() {
            self.readiness.forget_earlier_views();
        }
    }

    fn view_id(&self) -> ViewId {
        self.readiness.view().id()
    }

    fn vote_from_record(&self, request: &ClaimRequest, now: Millis) -> Option<Vote> {
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
            // The record may be another voter's grant that was transferred and overtook the claim.
            // A vote based on the record alone would count one vote twice, and the key could run
            // twice; so this member votes as on a new key, or not at all.
            ClaimState::InProgress if same => return None,
            ClaimState::InProgress => Vote::InProgress {
                retry_after: self.settings.retry_after,
            },
            ClaimState::Unknown | ClaimState::NotRun => Vote::Unknown,
        })
    }

    /// A claimant that has ended or exceeded its time limit won't settle anymore. Whether its
    /// request ran is unknown, so the key isn't granted again within the window.
    fn is_overdue(&self, record: &Record, now: Millis) -> bool {
        let ended = record
            .claim
            .is_none_or(|claim| !self.view().contains(claim.claimant));
        ended || now.since(record.time) > self.settings.max_run_time
    }

    fn vote_without_record(&mut self, request: &ClaimRequest, now: Millis) -> Vote {
        let retry_after = self.settings.retry_after;
        if self.pause_detector.is_suspended() {
            return Vote::NotReady { retry_after };
        }
        let group = self.view().group(request.key.placement_hash());
        if group.id() != request.group || !group.contains(self.me) {
            return Vote::GroupMismatch;
        }
        if let Err(retry_after) = self.readiness.check(request.key, now) {
            return Vote::NotReady { retry_after };
        }
        if self.has_claim(request) {
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
        self.table.insert(request.key, record);
        Vote::Granted
    }

    /// Whether this same attempt is recorded; a repeated message must not renew its record.
    fn has_claim(&self, request: &ClaimRequest) -> bool {
        let record = self.table.get(request.key);
        record.is_some_and(|record| record.claim == Some(request.claim))
    }

    /// Queues a record that arrived or changed after the hand-over was planned for the peers that
    /// have no mark yet. A mark vouches for everything that leaving members have transferred. The
    /// version of the record that is in flight may be outdated, and a new member that knew only
    /// that version would grant the key a second time.
    fn enqueue_for_receivers(&mut self, key: ClaimKey) {
        for peer in self.readiness.receivers(key) {
            self.handover.enqueue(peer, key);
        }
    }

    /// Queues every record for the members of its group that may lack it.
    fn plan_handover(&mut self) {
        let view = self.readiness.view();
        let me = self.me;
        let peers = view.members().iter().copied().filter(|peer| *peer != me);
        self.handover.start(peers, !view.contains(me));
        for (&key, _) in self.table.iter() {
            for peer in self.readiness.receivers(key) {
                self.handover.enqueue(peer, key);
            }
        }
    }

    fn next_transfers(&mut self, now: Millis) -> Vec<Transfer> {
        let table = &self.table;
        self.handover.retain(|key| table.get(key).is_some());
        self.handover
            .next_payloads()
            .map(|(to, payload)| Transfer {
                to,
                request: self.build_request(&payload, now),
            })
            .collect()
    }

    fn build_request(&self, payload: &Payload<'_>, now: Millis) -> TransferRequest {
        let (keys, mark) = match payload {
            Payload::Records(keys) => (*keys, None),
            Payload::Mark => (&[][..], Some(self.readiness.own_mark(now))),
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
