//! The line of requests that wait before the engines, as a state machine.
//!
//! Engines order what they hold by rank alone, and what they hold can't be taken back. A request in
//! the line can be overtaken, refused in time or given up, and begins when an engine can begin it
//! soon. The line doesn't know the engines: its driver offers the next request to them and says
//! whether one had room.
//!
//! The load that it answers: more requests arrive than the engines can begin for seconds, by a rush
//! of one kind, a rush of one account, or a loss of engines.
//!
//! * **Order:** by rank, within a rank the account with the fewest tokens served, then by arrival.
//!   That is the order of a [`Scheduler`], whose classes are the ranks; each group of
//!   interchangeable engines has one, so that a full group doesn't hold up the others.
//! * **Refusal:** a request whose wait is expected to exceed what its caller bears is refused as it
//!   arrives, and one that has waited for that long is refused then. The expected wait counts no
//!   more of other accounts' requests than fair queuing serves first.
//! * **Return:** a request that was refused has a time at which it may return, and keeps its place until
//!   shortly after. If it comes back earlier while others wait, it is refused again with the same time.
//! * **Rank:** a request isn't refused while less urgent ones are served. It may use the engines of
//!   other groups that have room, and at the end of its wait it is sent to an engine however long the
//!   queue there is.

mod drain;
mod group;
mod returns;
mod shares;
mod types;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use slotmap::SlotMap;

use self::group::Entry;
use self::group::Group;
use self::group::Waiter;
use self::returns::Visit;
use crate::decay::DecayingSum;
use crate::request::Arrival;
use crate::scheduler::Action;
use crate::scheduler::Completion;
use crate::spec::AccountSpec;
use crate::ticket::NotRun;

pub use self::types::LineArrival;
pub use self::types::LineEnd;
pub use self::types::LineGroupKey;
pub use self::types::LineRefusal;
pub use self::types::LineRefusals;
pub use self::types::LineReturns;
pub use self::types::LineScope;
pub use self::types::LineSettings;
pub use self::types::LineStatus;
pub use self::types::LineStep;
pub use self::types::WaiterKey;

/// Half-life of the tokens served by rank, and how long a rank counts as served after its last
/// request. Callers whose requests take a second or two perceive a preference for others over about
/// that time.
const SERVED_SPAN: Millis = Millis::from_secs(1);

/// Share of the tokens from which less urgent ranks count as served. Their floors alone are below.
const SERVED_SHARE: f64 = 0.1;

/// Time until a request that was to be sent whatever the queue, and found no engine at all, is
/// offered again: about the time in which an engine ends a request.
const REOFFER: Millis = Millis(50);

/// Minimum time that a request may wait, whatever its limit: two round trips between instances.
const MIN_LIMIT: Millis = Millis(10);

/// The line of requests that wait before the engines of all services.
///
/// A pure state machine: each call takes the current time as an argument. Time may jump forwards by
/// any amount; if it steps back, the last time is used.
#[derive(Debug, Default)]
pub struct Line {
    settings: LineSettings,
    groups: SlotMap<LineGroupKey, Group>,
    names: HashMap<u64, LineGroupKey>,
    classes: SlotMap<ClassKey, ()>,
    accounts: SlotMap<AccountKey, u32>,
    account_keys: HashMap<u32, AccountKey>,
    /// Refused requests since they were last taken.
    refused: Refusals,
    /// Tokens served of late, by service and rank. Each decision asks for them, and a service has more
    /// groups than it could add up.
    served: HashMap<u32, BTreeMap<u8, Served>>,
    /// Number of places that were given.
    places: u64,
    /// Those who came back, since they were last taken.
    returns: LineReturns,
}

/// Number of refused requests by account.
#[derive(Debug, Default)]
struct Refusals(HashMap<u32, u32>);

impl Refusals {
    fn count(&mut self, account: u32) {
        *self.0.entry(account).or_default() += 1;
    }
}

/// What was served of a rank.
#[derive(Clone, Copy, Debug)]
struct Served {
    tokens: DecayingSum,
    last: Millis,
}

impl Line {
    /// Creates an empty line.
    pub fn new(settings: LineSettings) -> Line {
        Line {
            settings,
            ..Line::default()
        }
    }

    /// Adds a request to the line.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request whose wait is expected to be too long, or that finds the
    /// line full of more urgent ones.
    pub fn join(&mut self, arrival: &LineArrival, now: Millis) -> Result<WaiterKey, LineRefusal> {
        let account = self.account(arrival.account);
        let outranks = self.outranks(arrival.service, arrival.rank, now);
        let named = self.names.get(&arrival.group).copied();
        let key = named.unwrap_or_else(|| self.add_group(arrival));
        let group = &mut self.groups[key];
        let class = group.class(arrival.rank, &mut self.classes);
        let spec = AccountSpec {
            key: account,
            ..AccountSpec::default()
        };
        group.scheduler.ensure_account(spec, now);
        group.advance(now);
        let work = group
            .scheduler
            .cost(arrival.prompt_tokens, arrival.output_tokens);
        let visit = group.returns.visit(arrival.request, now);
        self.returns.count(visit);
        let wait = group.expected_wait(arrival.rank, account, work, visit);
        let place = match visit {
            Visit::InTime(place) => place,
            Visit::First | Visit::Early => self.places + 1,
        };
        self.places = self.places.max(place);
        let entry = Entry {
            account: arrival.account,
            rank: arrival.rank,
            request: arrival.request,
            place,
            limit: arrival.limit.max(MIN_LIMIT),
            patience: arrival.patience,
        };
        let is_early = visit == Visit::Early && group.ahead(entry.rank) > 0;
        if !outranks && (is_early || wait > entry.limit) {
            self.refused.count(entry.account);
            return Err(group.refusal(&entry, wait, now));
        }
        let submitted = Arrival {
            class,
            account,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.output_tokens.max(1),
            ..Arrival::default()
        };
        let waiter = Waiter {
            entry,
            account,
            work,
            joined: now,
            end: now + entry.limit,
            outranks,
        };
        let Some(request) = group.queue(&submitted, waiter, now) else {
            self.refused.count(entry.account);
            // Room is expected when what waits has begun, whatever the limit.
            let limit = Millis::ZERO;
            return Err(group.refusal(&Entry { limit, ..entry }, wait, now));
        };
        Ok(WaiterKey {
            group: key,
            request,
        })
    }

    /// The groups in which requests wait.
    pub fn groups(&self) -> impl Iterator<Item = LineGroupKey> {
        let groups = self.groups.iter();
        let waiting = groups.filter(|(_, group)| !group.waiters.is_empty());
        waiting.map(|(key, _)| key)
    }

    /// The group of a request.
    pub fn group_of(&self, key: WaiterKey) -> LineGroupKey {
        key.group
    }

    /// The next step in a group; `None` if no request waits there that wasn't offered.
    ///
    /// A request that is put back is offered again, so the driver puts back what found no room only
    /// after it has made all steps that it wants to, the last one first.
    pub fn next(&mut self, key: LineGroupKey, now: Millis) -> Option<LineStep> {
        self.groups.get_mut(key)?.advance(now);
        if let Some(step) = self.next_end(key, now) {
            return Some(step);
        }
        let group = self.groups.get_mut(key)?;
        loop {
            // One slot at a time: the engines decide whether there is room.
            match group.scheduler.next(now, 1)? {
                Action::Refuse(refused) => {
                    let request = refused.key;
                    // It may have left since it was refused.
                    let Some(waiter) = group.forget(request) else {
                        continue;
                    };
                    self.refused.count(waiter.entry.account);
                    let refusal = group.refusal_of(&waiter, now);
                    let key = WaiterKey {
                        group: key,
                        request,
                    };
                    return Some(LineStep::Refuse(key, refusal));
                }
                Action::Dispatch(ticket) => {
                    let request = ticket.key();
                    let waiter = group.waiters.get(&request)?;
                    let scope = if waiter.outranks {
                        LineScope::Any
                    } else {
                        LineScope::Group
                    };
                    group.offered.insert(request, ticket);
                    let key = WaiterKey {
                        group: key,
                        request,
                    };
                    return Some(LineStep::Offer(key, scope));
                }
            }
        }
    }

    /// Records that an engine takes the request that was offered.
    pub fn begin(&mut self, key: WaiterKey, now: Millis) {
        let Some(group) = self.groups.get_mut(key.group) else {
            return;
        };
        let Some(ticket) = group.offered.remove(key.request) else {
            return;
        };
        group.advance(now);
        let Some(Waiter { entry, .. }) = group.forget(key.request) else {
            return;
        };
        group.returns.forget(entry.request);
        if !group.waiters.is_empty() {
            group.drain.record(entry.rank, ticket.charge());
        }
        let tokens = ticket.charge() as f64;
        let shares = group.shares.entry(entry.rank).or_default();
        shares.record(entry.account, tokens, now);
        group.begun.insert(key.request, ticket.sent());
        let served = self.served.entry(group.service).or_default();
        let served = served.entry(entry.rank).or_insert_with(|| Served {
            tokens: DecayingSum::new(SERVED_SPAN),
            last: now,
        });
        served.tokens.add(tokens, now);
        served.last = now;
    }

    /// Returns a request that was offered, and for which no engine had room, to its place.
    pub fn put_back(&mut self, key: WaiterKey, now: Millis) {
        let WaiterKey { group, request } = key;
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Some(ticket) = group.offered.remove(request) else {
            return;
        };
        group.scheduler.requeue(ticket, now);
        let Some(waiter) = group.waiters.get_mut(&request) else {
            return;
        };
        if waiter.end <= now {
            waiter.end = now + REOFFER;
            group.ends.insert((waiter.end, request));
        }
    }

    /// Removes a request whose caller or instance is gone, or for which there is no server at all.
    pub fn leave(&mut self, key: WaiterKey, now: Millis) {
        self.put_back(key, now);
        let WaiterKey { group, request } = key;
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        group.advance(now);
        if group.forget(request).is_some() {
            group.scheduler.cancel(request, 0, now);
        }
    }

    /// Settles a request that has left the line by what it really used.
    pub fn finish(&mut self, key: WaiterKey, end: LineEnd, now: Millis) {
        let WaiterKey { group, request } = key;
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Some(ticket) = group.begun.remove(request) else {
            return;
        };
        let completion = match end {
            LineEnd::Complete(output) => Completion {
                output,
                complete: true,
            },
            LineEnd::Partial(output) => Completion {
                output,
                complete: false,
            },
            LineEnd::NotRun => {
                // Undoes the charge; the request isn't offered in between.
                let ticket = ticket.not_run(NotRun::NothingWritten);
                group.scheduler.requeue(ticket, now);
                group.scheduler.cancel(request, 0, now);
                return;
            }
        };
        group.scheduler.finish(ticket, completion, now);
    }

    /// How long the request has waited in the line; `None` if it doesn't wait.
    pub fn waited(&self, key: WaiterKey, now: Millis) -> Option<Millis> {
        let group = self.groups.get(key.group)?;
        let waiter = group.waiters.get(&key.request)?;
        Some(now.since(waiter.joined))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.waiters.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.groups.values().all(|group| group.waiters.is_empty())
    }

    /// The waiting requests by rank.
    pub fn status(&self, now: Millis) -> BTreeMap<u8, LineStatus> {
        let mut ranks: BTreeMap<u8, LineStatus> = BTreeMap::new();
        let waiters = self
            .groups
            .values()
            .flat_map(|group| group.waiters.values());
        for waiter in waiters {
            let status = ranks.entry(waiter.entry.rank).or_default();
            status.waiting += 1;
            status.oldest = status.oldest.max(now.since(waiter.joined));
        }
        ranks
    }

    /// Takes the refusals since the last call, with the `most` accounts that had the most.
    pub fn take_refusals(&mut self, most: usize) -> LineRefusals {
        let Refusals(refused) = std::mem::take(&mut self.refused);
        let mut largest: Vec<(u32, u32)> = refused.into_iter().collect();
        largest.sort_unstable_by_key(|&(account, count)| (Reverse(count), account));
        let total = largest.iter().map(|(_, count)| count).sum();
        largest.truncate(most);
        LineRefusals { total, largest }
    }

    /// The accounts with the largest shares in all that began in about the last second, in percent, and
    /// no more than `most` of them.
    pub fn largest_shares(&self, most: usize, now: Millis) -> Vec<(u32, u8)> {
        let mut rates: HashMap<u32, f64> = HashMap::new();
        let shares = self.groups.values().flat_map(|group| group.shares.values());
        for (account, rate) in shares.flat_map(|shares| shares.rates(now)) {
            *rates.entry(account).or_default() += rate;
        }
        let total: f64 = rates.values().sum();
        let percent = |rate: f64| (100.0 * rate / total) as u8;
        let shares = rates.into_iter();
        let mut shares: Vec<(u32, u8)> = shares.map(|(key, rate)| (key, percent(rate))).collect();
        shares.sort_unstable_by_key(|&(account, share)| (Reverse(share), account));
        shares.truncate(most);
        shares
    }

    /// Takes the numbers of requests that came back since the last call.
    pub fn take_returns(&mut self, now: Millis) -> LineReturns {
        let mut kept = 0;
        for group in self.groups.values_mut() {
            group.returns.expire(now);
            kept += group.returns.len();
        }
        LineReturns {
            kept,
            ..std::mem::take(&mut self.returns)
        }
    }

    /// The step for the first request whose wait is over.
    fn next_end(&mut self, key: LineGroupKey, now: Millis) -> Option<LineStep> {
        let group = self.groups.get_mut(key)?;
        let &(at, request) = group.ends.first()?;
        if at > now {
            return None;
        }
        group.ends.pop_first();
        let waiter = *group.waiters.get(&request)?;
        let service = group.service;
        let outranks = waiter.outranks && self.outranks(service, waiter.entry.rank, now);
        let group = self.groups.get_mut(key)?;
        let key = WaiterKey {
            group: key,
            request,
        };
        if outranks {
            let ticket = group.scheduler.dispatch(request, now)?;
            group.offered.insert(request, ticket);
            return Some(LineStep::Offer(key, LineScope::Unbounded));
        }
        group.forget(request);
        self.refused.count(waiter.entry.account);
        group.scheduler.cancel(request, 0, now);
        let refusal = group.refusal_of(&waiter, now);
        Some(LineStep::Refuse(key, refusal))
    }

    /// Whether less urgent requests of the service are served at present.
    fn outranks(&self, service: u32, rank: u8, now: Millis) -> bool {
        let Some(served) = self.served.get(&service) else {
            return false;
        };
        let tokens = |served: &Served| served.tokens.rate(now);
        let total: f64 = served.values().map(tokens).sum();
        let lesser = served
            .iter()
            .filter(|&(&other, served)| other > rank && now.since(served.last) < SERVED_SPAN);
        let lesser: f64 = lesser.map(|(_, served)| tokens(served)).sum();
        lesser > 0.0 && lesser >= total * SERVED_SHARE
    }

    fn add_group(&mut self, arrival: &LineArrival) -> LineGroupKey {
        let group = self
            .groups
            .insert(Group::new(arrival.service, &self.settings));
        self.names.insert(arrival.group, group);
        group
    }

    fn account(&mut self, account: u32) -> AccountKey {
        if let Some(&key) = self.account_keys.get(&account) {
            return key;
        }
        if self.accounts.len() >= self.settings.max_accounts {
            self.forget_accounts();
        }
        let key = self.accounts.insert(account);
        self.account_keys.insert(account, key);
        key
    }

    /// Forgets the accounts without requests.
    fn forget_accounts(&mut self) {
        for group in self.groups.values_mut() {
            group.scheduler.drop_idle_accounts();
        }
        let groups = &self.groups;
        self.accounts.retain(|key, account| {
            let mut groups = groups.values();
            let is_kept = groups.any(|group| group.scheduler.has_account(key));
            if !is_kept {
                self.account_keys.remove(account);
            }
            is_kept
        });
    }
}
