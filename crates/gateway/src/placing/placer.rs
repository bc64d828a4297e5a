//! The requests that this instance placed for others, as a state machine beside its [`Fleet`].

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::LoadReport;
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
            Err(_) => unable,
        }
    }

    /// Applies an update of a request of `from`. Updates may arrive late and more than once.
    pub fn apply_update(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        update: RequestUpdate,
        now: Millis,
    ) {
        let key = (from, update.number);
        let Some(placed) = self.placed.get_mut(&key) else {
            return;
        };
        match update.kind {
            UpdateKind::Started(_) if placed.started => {}
            UpdateKind::Started(load) => {
                placed.started = true;
                fleet.first_byte(&placed.choice, now);
                if let Some([running, waiting]) = load {
                    let age = Millis::ZERO;
                    let report = LoadReport {
                        running,
                        waiting,
                        age,
                    };
                    fleet.record_load(&placed.choice, report, now);
                }
            }
            UpdateKind::Ended(ended) => {
                if let Some(pause) = ended.pause {
                    fleet.record_remote_pause(&placed.choice, pause);
                }
                fleet.done(&placed.choice, ended.result, ended.tokens, now);
                self.placed.remove(&key);
            }
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
