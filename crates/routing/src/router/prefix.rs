//! Which engines have a prompt's prefix cached, and the cost of choosing an engine without it.
//!
//! This matters where prompts share long prefixes and a burst fills the engine that holds one.
//! Elsewhere the prefix is either prefilled again, which takes all of an engine's time for hundreds
//! of milliseconds, or transferred from the engine that holds it, which uses the network link but
//! not the engine. So requests wait at a holder as long as that is cheaper, and otherwise go
//! elsewhere with a transfer.
//!
//! The holders are known from this instance's own requests and from what other instances report.
//! They are hints: an engine that doesn't hold the prefix after all just prefills it.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::choice::Scored;
use crate::cache::Hint;
use crate::router::Demand;
use crate::router::Router;

/// Number of servers from the ring considered for a prefix in addition to its holders and those
/// drawn at random. All instances consider the same ones, so a prompt whose home is full is cached
/// at a second engine rather than at many.
const HOME_CANDIDATES: usize = 2;

/// Cost of prefilling a prefix again, as a multiple of its duration. The engine prefills nothing
/// else in the meantime, which delays the requests behind it as well.
const PREFILL_WEIGHT: f64 = 20.0;

/// Minimum cost of a transfer, as a multiple of its duration. The memory of the copy is no longer
/// available to others.
const TRANSFER_WEIGHT: f64 = 10.0;

/// Increase of that multiple for each millisecond that long prompts recently waited beyond
/// [`NORMAL_WAIT`].
///
/// Where all engines have queues, a moved prompt meets another queue, and its copy evicts what
/// others need.
const TRANSFER_WEIGHT_PER_WAIT: f64 = 0.5;

/// The wait during a burst that spares some engines, in milliseconds: about the prefill of one long
/// prompt.
const NORMAL_WAIT: f64 = 150.0;

/// Weight of one long prompt in the mean wait. An instance of current fleets sends about eight per
/// second, so the mean follows over four seconds. By then a burst in a small fleet is over, but
/// sustained overload isn't.
const WAIT_ALPHA: f64 = 0.03;

/// Minimum length of a shared prefix that is worth a transfer, in tokens. 1,000 tokens are
/// prefilled in 20 ms.
const MIN_TRANSFER_TOKENS: u32 = 1000;

/// How long a server must be known as a holder before a prefix is transferred from it. Before that,
/// the prefix may still wait for its prefill; the wait and the prefill of a long prefix take about
/// this long.
const MIN_HINT_AGE: Millis = Millis(300);

/// Fixed duration of a transfer, in milliseconds, as published for current engines.
const TRANSFER_SETUP: f64 = 3.0;

/// Fraction of a transferred prefix that is prefilled after all because the source no longer held
/// it.
const TRANSFER_MISS_RATE: f64 = 0.2;

/// The servers that hold a prefix.
#[derive(Default)]
pub(super) struct PrefixLocations {
    /// Servers that hold it, or will have prefilled it by the time of the request.
    pub(super) holders: Vec<ServerKey>,
    /// Whether `holders` come from valid hints. Otherwise the home of the prefix is only assumed to
    /// hold it.
    has_hints: bool,
    /// The servers from the ring, the home first.
    pub(super) homes: Vec<ServerKey>,
    /// The server from which others can transfer it.
    source: Option<ServerKey>,
}

/// How a prompt is prefilled at the chosen server; all zero for plain services.
#[derive(Clone, Copy, Default)]
pub(super) struct PrefillPlan {
    /// Number of tokens that the server is expected to prefill.
    pub(super) prefill_tokens: f64,
    /// The server from which it should transfer the prefix.
    pub(super) source: Option<ServerKey>,
    /// The expected wait before the prefill, in milliseconds.
    pub(super) wait: f64,
    /// Whether another instance chose the server and reports the request.
    pub(super) remote: bool,
}

impl Router {
    /// Sets the rate at which servers transfer cached prompts from each other, in tokens per
    /// millisecond; `None` if they can't.
    pub fn set_transfer_rate(&mut self, rate: Option<f64>) {
        self.transfer_rate = rate.filter(|rate| *rate > 0.0);
    }

    /// Records that another instance sent a request with the prefix to the server, which holds it
    /// from then on.
    pub fn record_remote_prefix(&mut self, server: ServerKey, prefix: u64, now: Millis) {
        self.record_prefix(server, Some(prefix), now);
    }

    pub(super) fn record_prefix(&mut self, server: ServerKey, prefix: Option<u64>, since: Millis) {
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

    /// Records the expected wait of a request.
    pub(super) fn record_wait(&mut self, demand: &Demand<'_>, wait: f64) {
        if demand.prefix_tokens >= MIN_TRANSFER_TOKENS {
            self.long_prompt_wait.add(wait, WAIT_ALPHA);
        }
    }

    /// Returns the valid hints for a prefix. Those from before a server's restart are invalid.
    pub(super) fn valid_hints(&self, prefix: u64) -> impl Iterator<Item = Hint> {
        let hints = self.hints.get(prefix).iter().copied();
        hints.filter(|hint| {
            let server = self.servers.get(hint.server);
            server.is_some_and(|server| server.cursor.epoch() == hint.epoch)
        })
    }

    /// Returns the servers that hold the prefix, by its hints or else by the ring.
    pub(super) fn locate_prefix(
        &self,
        pool: usize,
        demand: &Demand<'_>,
        now: Millis,
    ) -> PrefixLocations {
        let Some(prefix) = demand.prefix else {
            return PrefixLocations::default();
        };
        let homes = self.homes(pool, prefix);
        let mut holders = Vec::new();
        let mut source = None;
        for hint in self.valid_hints(prefix) {
            holders.push(hint.server);
            let old_enough = now.since(hint.since) >= MIN_HINT_AGE;
            let is_usable = || self.is_usable_source(hint.server, demand);
            if source.is_none() && old_enough && is_usable() {
                source = Some(hint.server);
            }
        }
        let has_hints = !holders.is_empty();
        if !has_hints {
            // Other instances, or this one before its restart, sent the prefix to its home.
            holders.extend(homes.first());
            let home = homes.first().copied();
            source = home.filter(|&home| self.is_allowed(home, demand));
        }
        PrefixLocations {
            holders,
            has_hints,
            homes,
            source,
        }
    }

    /// Returns the cost of the `shared` prefix tokens at a server, in milliseconds: zero if it
    /// holds the prefix, else the cheaper of prefill and transfer.
    pub(super) fn prefix_cost(
        &self,
        server: ServerKey,
        shared: f64,
        locations: &PrefixLocations,
    ) -> f64 {
        if locations.holders.contains(&server) {
            return 0.0;
        }
        let speed = &self.servers[server].speed;
        let prefill = speed.prefill_ms(shared, &self.prefill_rate) * PREFILL_WEIGHT;
        let source = locations
            .source
            .filter(|_| shared >= f64::from(MIN_TRANSFER_TOKENS));
        match (source, self.transfer_rate) {
            (Some(_), Some(rate)) => {
                let excess_wait = (self.long_prompt_wait.mean() - NORMAL_WAIT).max(0.0);
                let weight = TRANSFER_WEIGHT + TRANSFER_WEIGHT_PER_WAIT * excess_wait;
                prefill.min(weight * shared / rate + TRANSFER_SETUP)
            }
            _ => prefill,
        }
    }

    /// Returns the prefill time of the demand's shared prefix at a server, in milliseconds.
    pub(super) fn expected_shared_prefill(
        &self,
        server: ServerKey,
        demand: &Demand<'_>,
        locations: &PrefixLocations,
    ) -> f64 {
        let is_held = locations.has_hints && locations.holders.contains(&server);
        if is_held || demand.prefix_tokens == 0 {
            return 0.0;
        }
        let shared = f64::from(demand.prefix_tokens);
        let transferred = locations.source.is_some()
            && self.transfer_rate.is_some()
            && demand.prefix_tokens >= MIN_TRANSFER_TOKENS;
        let part = if transferred { TRANSFER_MISS_RATE } else { 1.0 };
        let speed = &self.servers[server].speed;
        speed.prefill_ms(shared * part, &self.prefill_rate)
    }

    /// Returns what the chosen server is expected to prefill, and from where it should transfer the
    /// prefix.
    pub(super) fn plan_prefill(
        &self,
        chosen: &Scored,
        demand: &Demand<'_>,
        locations: &PrefixLocations,
    ) -> PrefillPlan {
        let shared = f64::from(demand.prefix_tokens);
        let transfers = self.transfer_rate.is_some() && demand.prefix_tokens >= MIN_TRANSFER_TOKENS;
        let source = locations.source.filter(|_| transfers);
        let (shared, source) = if demand.central && !locations.has_hints {
            // Engines that have just started hold nothing. Assuming that they hold the shared
            // prefix would underestimate their queues several times over during a burst. Only the
            // central router counts the whole prefix; several routers would each count it again.
            let is_holder = locations.holders.contains(&chosen.server);
            (shared, source.filter(|_| !is_holder))
        } else if locations.holders.contains(&chosen.server) {
            (0.0, None)
        } else if source.is_some() {
            (shared * TRANSFER_MISS_RATE, source)
        } else {
            (shared, None)
        };
        PrefillPlan {
            prefill_tokens: f64::from(demand.unique_tokens) + shared,
            source,
            wait: chosen.wait,
            remote: false,
        }
    }

    fn homes(&self, pool: usize, prefix: u64) -> Vec<ServerKey> {
        let mut homes = Vec::with_capacity(HOME_CANDIDATES);
        for server in self.pools[pool].ring.walk(prefix) {
            if self.accepts(server, pool) && !homes.contains(&server) {
                homes.push(server);
                if homes.len() == HOME_CANDIDATES {
                    break;
                }
            }
        }
        homes
    }

    /// Whether a prefix can be transferred from the server. One that is ejected, leaving or unknown
    /// may not respond.
    pub(super) fn is_usable_source(&self, source: ServerKey, demand: &Demand<'_>) -> bool {
        let server = self.servers.get(source);
        let is_usable =
            server.is_some_and(|server| server.departure.is_none() && server.pool_counts.usable);
        is_usable && self.is_allowed(source, demand)
    }
}
