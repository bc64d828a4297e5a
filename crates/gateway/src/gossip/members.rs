//! Which instances there are, and which one collects for a zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use super::message::Identity;
use super::message::MOST_NAMES;
use super::message::MemberEntry;

/// How long an instance counts that wasn't heard of. In a zone of twenty that has nothing to tell, names go
/// round in two seconds.
const SILENCE: Millis = Millis::from_secs(8);

/// Instances that are remembered at most: the fleet of the largest deployment.
const MOST_MEMBERS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Member {
    identity: Identity,
    /// When it was last heard, by this instance or by one that told of it.
    heard: Millis,
    /// It doesn't collect before then, as it didn't answer.
    suspended_until: Millis,
}

/// The other instances, by their addresses.
#[derive(Clone, Debug)]
pub struct Members {
    me: Identity,
    members: BTreeMap<SocketAddr, Member>,
    /// Where the last names ended: those of the zone alone, and those of all.
    last_entry: [Option<SocketAddr>; 2],
}

impl Members {
    /// Knows nobody.
    pub fn new(me: Identity) -> Members {
        Members {
            me,
            members: BTreeMap::new(),
            last_entry: [None; 2],
        }
    }

    /// How many other instances of a zone were heard of lately.
    pub fn live(&self, zone: u32) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.identity.zone == zone)
            .count()
    }

    /// Whether an instance was heard of lately.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.members.contains_key(address)
    }

    /// The instance itself was heard.
    pub fn observe(&mut self, identity: Identity, now: Millis) {
        self.note(identity, now);
    }

    /// Another instance told of this one.
    ///
    /// Only when it was heard counts, not when it was told of. Otherwise two instances would remind each
    /// other for ever of one that is gone.
    pub fn observe_reported(&mut self, entry: MemberEntry, now: Millis) {
        let age = Millis(u64::from(entry.age));
        if age < SILENCE {
            self.note(entry.identity, Millis(now.0.saturating_sub(age.0)));
        }
    }

    /// Forgets those that weren't heard of for long.
    pub fn expire(&mut self, now: Millis) {
        self.members
            .retain(|_, member| now.since(member.heard) < SILENCE);
    }

    /// The instance didn't answer; for a while it doesn't collect. That it is heard changes nothing: it
    /// may be one that hears nobody.
    pub fn suspend(&mut self, address: &SocketAddr, now: Millis) {
        if let Some(member) = self.members.get_mut(address) {
            member.suspended_until = now + SILENCE;
        }
    }

    /// The instance that collects for a zone: the one with the most to spare, and among equals that with
    /// the least address. All instances that know the same ones agree on it.
    pub fn collector(&self, zone: u32, now: Millis) -> Option<SocketAddr> {
        let others = self.members.values();
        let able = others.filter(|member| member.suspended_until <= now);
        let others = able.map(|member| &member.identity);
        let all = others.chain(std::iter::once(&self.me));
        let inside = all.filter(|identity| identity.zone == zone);
        let best = inside.min_by_key(|identity| (Reverse(identity.capacity), identity.address));
        best.map(|identity| identity.address)
    }

    /// The instance among those that collect for their zones that places for all, by the same order.
    pub fn placer(&self, collectors: impl Iterator<Item = SocketAddr>) -> SocketAddr {
        let known = collectors.filter_map(|address| self.members.get(&address));
        let all = known
            .map(|member| &member.identity)
            .chain(std::iter::once(&self.me));
        let best = all.min_by_key(|identity| (Reverse(identity.capacity), identity.address));
        best.map_or(self.me.address, |identity| identity.address)
    }

    /// The availability zones beside this instance's own.
    pub fn other_zones(&self) -> Vec<u32> {
        let members = self.members.values();
        let mut zones: Vec<u32> = members.map(|member| member.identity.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.retain(|&zone| zone != self.me.zone);
        zones
    }

    /// The next few instances in turn, of this zone or of all, to name to others.
    pub fn next_entries(&mut self, inside: bool, now: Millis) -> Vec<MemberEntry> {
        let start = bound(self.last_entry[usize::from(inside)]);
        let later = self.members.range((start, Bound::Unbounded));
        let next = later.chain(&self.members).take(self.members.len());
        let next = next.filter(|(_, member)| !inside || member.identity.zone == self.me.zone);
        let entries: Vec<MemberEntry> = next
            .take(MOST_NAMES)
            .map(|(_, member)| MemberEntry {
                identity: member.identity,
                age: u16::try_from(now.since(member.heard).0).unwrap_or(u16::MAX),
            })
            .collect();
        self.last_entry[usize::from(inside)] = entries.last().map(|entry| entry.identity.address);
        entries
    }

    /// Some of the instances, drawn by `seed`; one may be drawn twice.
    pub fn sample(&self, count: usize, seed: u64) -> Vec<SocketAddr> {
        let known = self.members.len();
        let drawn = (0..count.min(known)).map(|number| {
            let draw = XxHash3_64::oneshot_with_seed(seed, &number.to_le_bytes());
            draw as usize % known
        });
        let drawn = drawn.filter_map(|place| self.members.keys().nth(place));
        drawn.copied().collect()
    }

    /// The instance after `last` in the order of addresses, to greet them in turn.
    pub fn next_after(&self, last: SocketAddr) -> Option<SocketAddr> {
        let mut later = self
            .members
            .range((Bound::Excluded(last), Bound::Unbounded));
        let next = later.next().or_else(|| self.members.iter().next());
        next.map(|(address, _)| *address)
    }

    fn note(&mut self, identity: Identity, heard: Millis) {
        if identity.address == self.me.address {
            return;
        }
        let full = self.members.len() >= MOST_MEMBERS;
        if full && !self.members.contains_key(&identity.address) {
            return;
        }
        let member = self.members.entry(identity.address).or_insert(Member {
            identity,
            heard,
            suspended_until: Millis::ZERO,
        });
        if heard >= member.heard {
            member.identity = identity;
            member.heard = heard;
        }
    }
}

fn bound(last: Option<SocketAddr>) -> Bound<SocketAddr> {
    last.map_or(Bound::Unbounded, Bound::Excluded)
}
