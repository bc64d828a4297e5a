//! The requests of all instances that wait at the placer, as a state machine beside its [`Fleet`].
//!
//! An engine gets no more than it can begin soon, because what it has can't be reordered, refused in
//! time or taken back.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_admission::Line;
use crocushold_admission::LineArrival;
use crocushold_admission::LineEnd;
use crocushold_admission::LineGroupKey;
use crocushold_admission::LineRefusal;
use crocushold_admission::LineRefusals;
use crocushold_admission::LineReturns;
use crocushold_admission::LineScope;
use crocushold_admission::LineStatus;
use crocushold_admission::LineStep;
use crocushold_admission::WaiterKey;
use crocushold_base::Millis;
use crocushold_routing::Reason;

use super::message::LineStanding;
use super::message::LineTerms;
use super::message::PlacementRequest;
use super::message::PlacementVerdict;
use crate::fleet::Choice;
use crate::fleet::ENGINE_BOUND;
use crate::fleet::Fleet;
use crate::fleet::LineOffer;

/// How long a request stays in line without being asked for again: several of the intervals at which
/// its instance asks. A process that is short of CPU time is late by two or three of them.
pub(super) const ABANDONED_AFTER: Millis = Millis(250);

/// Interval at which all requests are checked for that. Those far behind in line are offered to no
/// engine, and would count as ahead of others until the end of their wait.
const SWEEP_INTERVAL: Millis = Millis(50);

/// Interval at which the requests in a group are offered to its engines. Waits at engines shrink
/// without an event, and this is a fraction of what an engine holds.
const OFFER_INTERVAL: Millis = Millis(10);

/// Maximum number of requests of a group that are offered in vain in one interval. Requests differ
/// in the engines that they may use or that hold their prefixes, so one that finds no room doesn't
/// mean that the next one finds none. Each costs a look at all engines.
const MAX_VAIN_OFFERS: usize = 16;

/// Maximum number of requests that are passed over in an interval, as they found no room a moment
/// ago.
const MAX_SKIPPED: usize = 256;

/// Bounds of the time until a request that found no room is offered again. In the longest one an
/// engine that was just full has ended what it held.
const REOFFER_BOUNDS: [Millis; 2] = [Millis(10), ENGINE_BOUND];

/// Divisor of the time that a caller has left for the time after which it is told to return. It
/// needs the rest for a second wait and for its answer.
const PATIENCE_DIVISOR: u64 = 3;

/// Number of accounts that are named with their refusals, and with their shares.
const MAX_ACCOUNTS_NAMED: usize = 3;

/// Identifies a request by its instance and that instance's number of it.
pub(super) type Asker = (SocketAddr, u32);

/// The line of a placer, and what became of its requests since the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LineReport {
    /// The waiting requests by rank.
    pub ranks: BTreeMap<u8, LineStatus>,
    /// The refusals, with the accounts that had the most.
    pub refusals: LineRefusals,
    /// The accounts that were served most in about the last second, with their shares in percent.
    pub shares: Vec<(u32, u8)>,
    /// The requests that came back after a refusal, and those that may.
    pub returns: LineReturns,
}

/// A decision on a request that waited.
pub(super) struct Decided {
    pub(super) asker: Asker,
    pub(super) verdict: PlacementVerdict,
    /// The engine with a slot taken, and time left until the deadline.
    pub(super) placed: Option<(Choice, WaiterKey, Millis)>,
}

#[derive(Debug)]
struct Held {
    waiter: WaiterKey,
    request: PlacementRequest,
    asked: Millis,
    /// It is passed over until this time, unless it is the first in line.
    full_until: Millis,
}

impl Held {
    /// Whether its instance has stopped asking for it.
    fn is_abandoned(&self, now: Millis) -> bool {
        self.asked + ABANDONED_AFTER <= now
    }
}

/// The requests that wait at this placer.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    line: Line,
    held: HashMap<Asker, Held>,
    askers: HashMap<WaiterKey, Asker>,
    /// When the requests of each group were last offered in vain.
    offered: HashMap<LineGroupKey, Millis>,
    /// When the first request of each group last found no room, unless something has changed since.
    looked: HashMap<LineGroupKey, Millis>,
    /// When all requests were last checked for being abandoned.
    swept: Millis,
}

impl WaitingRequests {
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    pub(super) fn contains(&self, asker: &Asker) -> bool {
        self.held.contains_key(asker)
    }

    /// Reports on the line since the last call.
    pub(super) fn take_report(&mut self, now: Millis) -> LineReport {
        LineReport {
            ranks: self.line.status(now),
            refusals: self.line.take_refusals(MAX_ACCOUNTS_NAMED),
            shares: self.line.largest_shares(MAX_ACCOUNTS_NAMED, now),
            returns: self.line.take_returns(now),
        }
    }

    /// Records that an instance still waits for a request. Returns its group.
    pub(super) fn renew(&mut self, asker: &Asker, now: Millis) -> Option<LineGroupKey> {
        let held = self.held.get_mut(asker)?;
        held.asked = now;
        Some(self.line.group_of(held.waiter))
    }

    /// Adds a request to the line. Returns its group.
    pub(super) fn join(
        &mut self,
        fleet: &Fleet,
        asker: Asker,
        request: &PlacementRequest,
        terms: LineTerms,
        now: Millis,
    ) -> Result<LineGroupKey, LineRefusal> {
        let need = &request.need;
        let arrival = LineArrival {
            service: fleet.line_service(need),
            group: fleet.line_group(need),
            rank: need.priority,
            account: terms.account,
            request: terms.request,
            prompt_tokens: need.prompt_tokens,
            output_tokens: need.expected_output_tokens.min(need.max_output_tokens),
            // The wait at the engine follows the one in line.
            limit: terms.limit.since(ENGINE_BOUND),
            patience: Millis(request.remaining.0 / PATIENCE_DIVISOR),
        };
        let waiter = self.line.join(&arrival, now)?;
        let held = Held {
            waiter,
            request: request.clone(),
            asked: now,
            full_until: now,
        };
        self.held.insert(asker, held);
        self.askers.insert(waiter, asker);
        Ok(self.line.group_of(waiter))
    }

    /// Whether the first request of a group may find room that it didn't find before, as time has passed
    /// or something has changed. Each look is one at all engines, and those who ask again come far more
    /// often than the time passes.
    pub(super) fn may_find_room(&self, group: LineGroupKey, now: Millis) -> bool {
        self.looked.get(&group) != Some(&now)
    }

    /// Records that engines may have room that they didn't have before.
    pub(super) fn record_change(&mut self) {
        self.looked.clear();
    }

    /// Removes a request whose caller has left.
    pub(super) fn leave(&mut self, asker: &Asker, now: Millis) {
        self.record_change();
        if let Some(held) = self.held.remove(asker) {
            self.askers.remove(&held.waiter);
            self.line.leave(held.waiter, now);
        }
    }

    /// Settles a request that was placed.
    pub(super) fn finish(&mut self, waiter: WaiterKey, end: LineEnd, now: Millis) {
        self.line.finish(waiter, end, now);
    }

    pub(super) fn group_of(&self, waiter: WaiterKey) -> LineGroupKey {
        self.line.group_of(waiter)
    }

    /// Offers the requests of all groups that are due.
    pub(super) fn offer_due(&mut self, fleet: &mut Fleet, now: Millis) -> Vec<Decided> {
        self.leave_abandoned(now);
        let groups: Vec<LineGroupKey> = self.line.groups().collect();
        let decided = groups.into_iter();
        decided
            .flat_map(|group| self.offer(fleet, group, now))
            .collect()
    }

    /// Removes the requests that weren't asked for again.
    fn leave_abandoned(&mut self, now: Millis) {
        if now < self.swept + SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let abandoned = self.held.iter().filter(|(_, held)| held.is_abandoned(now));
        let abandoned: Vec<Asker> = abandoned.map(|(asker, _)| *asker).collect();
        for asker in abandoned {
            self.leave(&asker, now);
        }
    }

    /// Offers the requests of a group to its engines, in their order. While it isn't due again, only
    /// the first is offered, which may have just arrived or find what was just freed.
    pub(super) fn offer(
        &mut self,
        fleet: &mut Fleet,
        group: LineGroupKey,
        now: Millis,
    ) -> Vec<Decided> {
        let last = self.offered.get(&group).copied().unwrap_or_default();
        let is_due = last + OFFER_INTERVAL <= now;
        let [max_vain, max_skipped] = if is_due {
            [MAX_VAIN_OFFERS, MAX_SKIPPED]
        } else {
            [1, 0]
        };
        let mut vain = 0;
        let mut decided = Vec::new();
        let mut in_vain = Vec::new();
        while vain < max_vain
            && in_vain.len() <= vain + max_skipped
            && let Some(step) = self.line.next(group, now)
        {
            match step {
                LineStep::Refuse(waiter, refusal) => {
                    decided.extend(self.refuse(waiter, refusal));
                }
                // An engine may have ended earlier than expected, so the first is offered in any case.
                LineStep::Offer(waiter, scope)
                    if vain > 0
                        && scope != LineScope::Unbounded
                        && self.is_postponed(&waiter, now) =>
                {
                    in_vain.push(waiter);
                }
                LineStep::Offer(waiter, scope) => match self.try_place(fleet, waiter, scope, now) {
                    Offered::Decided(decision) => decided.push(*decision),
                    Offered::Gone => {}
                    Offered::InVain => {
                        vain += 1;
                        in_vain.push(waiter);
                    }
                },
            }
        }
        if vain > 0 {
            self.looked.insert(group, now);
            if is_due {
                self.offered.insert(group, now);
            }
        }
        for waiter in in_vain.into_iter().rev() {
            self.line.put_back(waiter, now);
        }
        decided
    }

    fn is_postponed(&self, waiter: &WaiterKey, now: Millis) -> bool {
        let asker = self.askers.get(waiter);
        let held = asker.and_then(|asker| self.held.get(asker));
        held.is_some_and(|held| now < held.full_until)
    }

    fn postpone(&mut self, asker: &Asker, reason: Reason, now: Millis) {
        if let Some(held) = self.held.get_mut(asker) {
            held.full_until = now + reoffer_after(reason);
        }
    }

    fn refuse(&mut self, waiter: WaiterKey, refusal: LineRefusal) -> Option<Decided> {
        let asker = self.askers.remove(&waiter)?;
        self.held.remove(&asker)?;
        Some(Decided {
            asker,
            verdict: refused(refusal),
            placed: None,
        })
    }

    fn try_place(
        &mut self,
        fleet: &mut Fleet,
        waiter: WaiterKey,
        scope: LineScope,
        now: Millis,
    ) -> Offered {
        let Some((asker, held)) = self
            .askers
            .get(&waiter)
            .and_then(|asker| Some((*asker, self.held.get(asker)?)))
        else {
            self.line.leave(waiter, now);
            return Offered::Gone;
        };
        if held.is_abandoned(now) {
            self.leave(&asker, now);
            return Offered::Gone;
        }
        let waited = self.line.waited(waiter, now).unwrap_or_default();
        let remaining = held.request.remaining.since(waited);
        let offer = LineOffer { scope, waited };
        let placed = fleet.place_from_line(&held.request, offer, now);
        let verdict = match &placed {
            Ok(choice) => PlacementVerdict::Placed(choice.placed()),
            Err(none) if matches!(none.reason, Reason::Late { .. } | Reason::Busy) => {
                self.postpone(&asker, none.reason, now);
                return Offered::InVain;
            }
            Err(_) => PlacementVerdict::Unable,
        };
        self.askers.remove(&waiter);
        self.held.remove(&asker);
        if placed.is_ok() {
            self.line.begin(waiter, now);
        } else {
            self.line.leave(waiter, now);
        }
        Offered::Decided(Box::new(Decided {
            asker,
            verdict,
            placed: placed.ok().map(|choice| (choice, waiter, remaining)),
        }))
    }
}

/// When to offer a request again whose engines have no room.
fn reoffer_after(reason: Reason) -> Millis {
    let [least, most] = REOFFER_BOUNDS;
    match reason {
        // The queue may be shorter than it seems.
        Reason::Late { wait } => Millis(wait.since(ENGINE_BOUND).0 / 2).clamp(least, most),
        _ => most,
    }
}

/// Result of offering a request to the engines.
enum Offered {
    Decided(Box<Decided>),
    /// Its caller or its instance is gone.
    Gone,
    /// No engine has room.
    InVain,
}

/// The verdict on a request that the line refuses.
pub(super) fn refused(refusal: LineRefusal) -> PlacementVerdict {
    PlacementVerdict::Refused {
        wait: refusal.wait,
        retry_delay: refusal.retry_after,
        standing: LineStanding {
            ahead: refusal.ahead,
            share: refusal.share,
        },
    }
}
