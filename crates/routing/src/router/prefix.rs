//! What engines keep of prompts, and what it costs that another one doesn't.
//!
//! The load it answers: prompts of which a long part is shared, and a rush that fills the engine that holds it.
//! Elsewhere the part is read anew, which takes all of an engine's time for hundreds of milliseconds, or is
//! brought from the engine that holds it, which takes the link's time and none of the engine's. So requests wait
//! at a holder for as long as that costs less, and go elsewhere with a transfer.
//!
//! Who holds what is known from this instance's own sends and from what others tell. It is a hint: an engine
//! that was said to hold a part and doesn't reads it, and nothing else happens.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::choice::Scored;
use crate::cache::Hint;
use crate::router::Demand;
use crate::router::Router;

/// Servers on the ring behind a prefix that are weighed besides its holders and those drawn at random. All
/// instances see the same ones, so a prompt whose home is full is kept at a second engine and not at many.
const HOMES: usize = 2;

/// What the reading of shared parts counts for, in times of its length. An engine that reads them once
/// more reads nothing else meanwhile, which those behind it pay as well.
const REREAD_WEIGHT: f64 = 20.0;

/// What a transfer counts for at least, in times of its length: the memory that the copy takes there is no
/// longer there for others.
const TRANSFER_WEIGHT: f64 = 10.0;

/// What each millisecond that long prompts wait of late, beyond [`USUAL_WAIT`], adds to that weight.
///
/// Where all engines have queues a prompt that is moved meets another queue, and its copy pushes out what others
/// need.
const WEIGHT_BY_WAIT: f64 = 0.5;

/// The wait of a rush that some engines are free of, in milliseconds: about the reading of one long prompt.
const USUAL_WAIT: f64 = 150.0;

/// Weight of one long prompt in the mean wait. An instance of today's fleets sends about eight a second, so
/// that the mean follows four seconds: a rush of a small fleet is over by then, too much work isn't.
const WAIT_ALPHA: f64 = 0.03;

/// The shortest shared part that is worth a transfer, in tokens. One of 1,000 is read in 20 ms.
const LEAST_SHARED: u32 = 1000;

/// How long a server must be said to hold a part before it is brought from there. Before, it may still wait to
/// be read; the wait and the reading of a long part take about that.
const RIPE: Millis = Millis(300);

/// What a transfer takes beside its length, in milliseconds, as published for the engines of today.
const TRANSFER_SETUP: f64 = 3.0;

/// The part of a transferred prefix that is read after all, as it was no longer there.
const MISSED_PART: f64 = 0.2;

/// Where a prefix is held.
#[derive(Default)]
pub(super) struct Kept {
    /// Servers that hold it, or will have read it when the request's turn comes.
    pub(super) holders: Vec<ServerKey>,
    /// Whether `holders` come from valid hints. Otherwise the home of the prefix is only assumed to hold it.
    has_hints: bool,
    /// The servers at which it is looked for when nothing is known, the first one first.
    pub(super) homes: Vec<ServerKey>,
    /// Whence others may bring it.
    source: Option<ServerKey>,
}

/// How a prompt is read at the server that was chosen for it; nothing of it is known for plain services.
#[derive(Clone, Copy, Default)]
pub(super) struct Reading {
    /// Tokens that the server is expected to read.
    pub(super) read: f64,
    /// The server from which it should bring the shared part.
    pub(super) source: Option<ServerKey>,
    /// The expected wait before, in milliseconds.
    pub(super) wait: f64,
    /// Whether another instance chose the server, and tells of the request.
    pub(super) told: bool,
}

impl Router {
    /// Sets how many tokens of a prompt's memory a server brings from another in a millisecond; `None` where
    /// servers can't.
    pub fn set_transfer_rate(&mut self, speed: Option<f64>) {
        self.transfer = speed.filter(|speed| *speed > 0.0);
    }

    /// Another instance sent a request with the prefix to the server, which holds it from then on.
    pub fn record_remote_prefix(&mut self, server: ServerKey, prefix: u64, now: Millis) {
        self.note_kept(server, Some(prefix), now);
    }

    pub(super) fn note_kept(&mut self, server: ServerKey, prefix: Option<u64>, since: Millis) {
        let (Some(prefix), Some(state)) = (prefix, self.servers.get(server)) else {
            return;
        };
        let epoch = state.cursor.epoch();
        let hint = Hint {
            server,
            epoch,
            since,
        };
        self.hints.store(prefix, hint);
    }

    /// Takes in how long a request is expected to wait where it is sent.
    pub(super) fn note_load(&mut self, demand: &Demand<'_>, wait: f64) {
        if demand.prefix_tokens >= LEAST_SHARED {
            self.waits.add(wait, WAIT_ALPHA);
        }
    }

    /// The hints of a prefix that hold. One from before a server's restart is void.
    pub(super) fn valid_hints(&self, prefix: u64) -> impl Iterator<Item = Hint> {
        let hints = self.hints.get(prefix).iter().copied();
        hints.filter(|hint| {
            let server = self.servers.get(hint.server);
            server.is_some_and(|server| server.cursor.epoch() == hint.epoch)
        })
    }

    /// Where the prefix is held: as far as is known, else at its home.
    pub(super) fn kept(&self, pool: usize, demand: &Demand<'_>, now: Millis) -> Kept {
        let Some(prefix) = demand.prefix else {
            return Kept::default();
        };
        let homes = self.homes(pool, prefix);
        let mut holders = Vec::new();
        let mut source = None;
        for hint in self.valid_hints(prefix) {
            holders.push(hint.server);
            let ripe = now.since(hint.since) >= RIPE;
            let gives = || self.can_give(hint.server) && self.is_allowed(hint.server, demand);
            if source.is_none() && ripe && gives() {
                source = Some(hint.server);
            }
        }
        let has_hints = !holders.is_empty();
        if !has_hints {
            // Other instances, or this one before it started anew, sent the prefix there.
            holders.extend(homes.first());
            let home = homes.first().copied();
            source = home.filter(|&home| self.is_allowed(home, demand));
        }
        Kept {
            holders,
            has_hints,
            homes,
            source,
        }
    }

    /// What it costs that `shared` tokens of the prompt are shared, in milliseconds: nothing where they are
    /// held, else the cheaper of reading and bringing them.
    pub(super) fn cost_of_shared(&self, server: ServerKey, shared: f64, kept: &Kept) -> f64 {
        if kept.holders.contains(&server) {
            return 0.0;
        }
        let reading = self.speed.reading(shared) * REREAD_WEIGHT;
        let source = kept.source.filter(|_| shared >= f64::from(LEAST_SHARED));
        match (source, self.transfer) {
            (Some(_), Some(speed)) => {
                let strain = (self.waits.mean() - USUAL_WAIT).max(0.0);
                let weight = TRANSFER_WEIGHT + WEIGHT_BY_WAIT * strain;
                reading.min(weight * shared / speed + TRANSFER_SETUP)
            }
            _ => reading,
        }
    }

    /// What the chosen server is expected to read of the demand, and whence it should bring the rest.
    pub(super) fn reading_at(&self, chosen: &Scored, demand: &Demand<'_>, kept: &Kept) -> Reading {
        let shared = f64::from(demand.prefix_tokens);
        let brings = self.transfer.is_some() && demand.prefix_tokens >= LEAST_SHARED;
        let source = kept.source.filter(|_| brings);
        let (shared, source) = if demand.central && !kept.has_hints {
            // Engines that have just started hold nothing. Assuming that they hold the shared part would
            // underestimate their queues several times over during a rush. Only the central router counts the
            // part in full: several routers would each count it once more.
            let is_holder = kept.holders.contains(&chosen.server);
            (shared, source.filter(|_| !is_holder))
        } else if kept.holders.contains(&chosen.server) {
            (0.0, None)
        } else if source.is_some() {
            (shared * MISSED_PART, source)
        } else {
            (shared, None)
        };
        Reading {
            read: f64::from(demand.unique_tokens) + shared,
            source,
            wait: chosen.wait,
            told: false,
        }
    }

    fn homes(&self, pool: usize, prefix: u64) -> Vec<ServerKey> {
        let mut homes = Vec::with_capacity(HOMES);
        for server in self.pools[pool].ring.walk(prefix) {
            if self.takes(server, pool) && !homes.contains(&server) {
                homes.push(server);
                if homes.len() == HOMES {
                    break;
                }
            }
        }
        homes
    }

    /// Whether a prefix may be brought from the server: one that is out, leaving or gone may not answer.
    fn can_give(&self, server: ServerKey) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| server.departure.is_none() && server.counted.usable)
    }
}
