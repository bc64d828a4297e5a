//! The requests that this instance placed for others, as a state machine beside its [`Fleet`].

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Reason;

use super::message::PlacementReply;
use super::message::PlacementRequest;
use super::message::PlacementVerdict;
use super::message::RequestUpdate;
use super::message::UpdateKind;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::ProbeTarget;

/// Maximum number of placed requests: some seconds of the 2,000 per second that a placer is
/// expected to handle at most, with a third of a kilobyte each. Beyond that, instances choose by
/// themselves.
const MAX_PLACED: usize = 16 * 1024;

/// How long a request is kept beyond its deadline. By then its end is being reported, or its
/// instance is gone.
const EXPIRY_GRACE: Millis = Millis(500);

#[derive(Clone, Debug)]
struct PlacedRequest {
    choice: Choice,
    reply: PlacementReply,
    started: bool,
    expires: Millis,
}

/// The requests that this instance placed for others.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    placed: HashMap<(SocketAddr, u32), PlacedRequest>,
    /// Requests whose connections failed, with the outcomes, until a probe shows whether the server
    /// is the cause. Their slots are taken until then.
    doubted: HashMap<ServerKey, Vec<(Choice, Outcome)>>,
}

impl Placer {
    /// Number of placed requests.
    pub fn len(&self) -> usize {
        self.placed.len()
    }

    /// Whether there are no placed requests.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }

    /// Chooses an engine for a request of `from` and takes one of its slots.
    ///
    /// A duplicate request gets the same reply, since the network may duplicate datagrams.
    pub fn place(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        request: &PlacementRequest,
        now: Millis,
    ) -> PlacementReply {
        let number = request.number;
        if let Some(placed) = self.placed.get(&(from, number)) {
            return placed.reply;
        }
        let unable = PlacementReply {
            number,
            verdict: PlacementVerdict::Unable,
        };
        if self.placed.len() >= MAX_PLACED {
            return unable;
        }
        match fleet.place(request, now) {
            Ok(choice) => {
                let verdict = PlacementVerdict::Placed(choice.placed());
                let reply = PlacementReply { number, verdict };
                let placed = PlacedRequest {
                    choice,
                    reply,
                    started: false,
                    expires: now + request.remaining + EXPIRY_GRACE,
                };
                self.placed.insert((from, number), placed);
                reply
            }
            Err(NoServer {
                reason: Reason::Late { wait },
                retry_after: retry_delay,
            }) => PlacementReply {
                number,
                verdict: PlacementVerdict::Late { wait, retry_delay },
            },
            Err(none) if none.reason == Reason::Busy && fleet.is_brittle(&request.need) => {
                let retry_delay = none.retry_after;
                let verdict = PlacementVerdict::Full { retry_delay };
                PlacementReply { number, verdict }
            }
            Err(_) => unable,
        }
    }

    /// Applies an update of a request of `from`. Updates may arrive late and more than once.
    ///
    /// A connection that another instance couldn't open shows either a server or the network path
    /// of that instance. If it counted against the server, an instance without a path would take
    /// sound servers out of use for all. Returns the server to probe instead, whose result is passed
    /// to [`Placer::record_probe`].
    pub fn apply_update(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        update: RequestUpdate,
        now: Millis,
    ) -> Option<ProbeTarget> {
        let key = (from, update.number);
        let placed = self.placed.get_mut(&key)?;
        match update.kind {
            UpdateKind::Started(_) | UpdateKind::StartedAtPace(..) => {
                if !placed.started {
                    placed.started = true;
                    // The report says how fast the engine was, so it comes first.
                    if let Some(load) = update.kind.load() {
                        fleet.record_load(&placed.choice, load, now);
                    }
                    fleet.first_byte(&placed.choice, now);
                }
                None
            }
            UpdateKind::Ended(ended) => {
                if let Some(pause) = ended.pause {
                    fleet.record_remote_pause(&placed.choice, pause);
                }
                let choice = self.placed.remove(&key)?.choice;
                if matches!(ended.result, Outcome::Refused | Outcome::Unreachable) {
                    return self.doubt(fleet, choice, ended.result, now);
                }
                fleet.done(&choice, ended.result, ended.tokens, now);
                None
            }
        }
    }

    /// Keeps the outcome of a failed connection until a probe has ended. Returns the server to
    /// probe, unless it is being probed.
    fn doubt(
        &mut self,
        fleet: &mut Fleet,
        choice: Choice,
        outcome: Outcome,
        now: Millis,
    ) -> Option<ProbeTarget> {
        let Some(target) = fleet.probe_target(&choice) else {
            fleet.done(&choice, Outcome::Cancelled, 0, now);
            return None;
        };
        let doubted = self.doubted.entry(choice.server).or_default();
        doubted.push((choice, outcome));
        (doubted.len() == 1).then_some(target)
    }

    /// Applies the outcomes of failed connections to a server after it was probed. They count
    /// against it if this instance can't reach it either.
    pub fn record_probe(
        &mut self,
        fleet: &mut Fleet,
        server: ServerKey,
        is_reachable: bool,
        now: Millis,
    ) {
        for (choice, outcome) in self.doubted.remove(&server).unwrap_or_default() {
            let outcome = if is_reachable {
                Outcome::Cancelled
            } else {
                outcome
            };
            fleet.done(&choice, outcome, 0, now);
        }
    }

    /// Releases the slots of requests whose end wasn't reported, because their instance or the
    /// update was lost.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Millis) {
        self.placed.retain(|_, placed| {
            let keep = now < placed.expires;
            if !keep {
                fleet.done(&placed.choice, Outcome::Cancelled, 0, now);
            }
            keep
        });
    }
}
