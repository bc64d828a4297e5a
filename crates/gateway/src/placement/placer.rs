//! The requests that one instance placed for others: a state machine beside its [`Fleet`].

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

/// Requests that are held for others at most: some seconds of the most that are expected of one placer,
/// 2,000 a second, of which each takes a third of a kilobyte. Beyond, instances choose by themselves.
const MOST_HELD: usize = 16 * 1024;

/// How long a request is held beyond its own time. Its end is on its way then, or its instance is gone.
const HELD_BEYOND: Millis = Millis(500);

#[derive(Clone, Debug)]
struct Held {
    choice: Choice,
    reply: PlacementReply,
    began: bool,
    ends: Millis,
}

/// The requests that this instance placed for others.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    held: HashMap<(SocketAddr, u32), Held>,
}

impl Placer {
    /// How many requests are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Says where a request of `from` should go, and takes a slot there.
    ///
    /// A question that comes twice gets the same reply: a datagram may be doubled on its way.
    pub fn place(
        &mut self,
        fleet: &mut Fleet,
        from: SocketAddr,
        ask: &PlacementRequest,
        now: Millis,
    ) -> PlacementReply {
        let number = ask.number;
        if let Some(held) = self.held.get(&(from, number)) {
            return held.reply;
        }
        let unable = PlacementReply {
            number,
            verdict: PlacementVerdict::Unable,
        };
        if self.held.len() >= MOST_HELD {
            return unable;
        }
        match fleet.place(&ask.need, &ask.zone, &ask.tried, now) {
            Ok(choice) => {
                let verdict = PlacementVerdict::Placed(choice.placed());
                let reply = PlacementReply { number, verdict };
                let held = Held {
                    choice,
                    reply,
                    began: false,
                    ends: now + ask.remaining + HELD_BEYOND,
                };
                self.held.insert((from, number), held);
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

    /// Takes in what became of a request of `from`. Notes come more than once, and late.
    pub fn note(&mut self, fleet: &mut Fleet, from: SocketAddr, note: RequestUpdate, now: Millis) {
        let key = (from, note.number);
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        match note.kind {
            UpdateKind::Started(_) if held.began => {}
            UpdateKind::Started(load) => {
                held.began = true;
                fleet.first_byte(&held.choice, now);
                if let Some([running, waiting]) = load {
                    let age = Millis::ZERO;
                    let report = LoadReport {
                        running,
                        waiting,
                        age,
                    };
                    fleet.load(&held.choice, report, now);
                }
            }
            UpdateKind::Ended(ended) => {
                if let Some(pause) = ended.pause {
                    fleet.paused_elsewhere(&held.choice, pause);
                }
                fleet.done(&held.choice, ended.outcome, ended.tokens, now);
                self.held.remove(&key);
            }
        }
    }

    /// Gives back the slots of requests whose end was never told: their instance was lost, or the note.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Millis) {
        self.held.retain(|_, held| {
            let keeps = now < held.ends;
            if !keeps {
                fleet.done(&held.choice, Outcome::Cancelled, 0, now);
            }
            keeps
        });
    }
}
