//! Exchange of the configuration with peers.

use std::sync::Arc;

use crocushold_base::Millis;
use rand::seq::IteratorRandom;

use crate::identity::InstanceId;
use crate::message::Body;
use crate::message::Gossip;
use crate::message::PartRef;
use crate::message::Piece;
use crate::spread::PeerRevision;
use crate::spread::Spread;
use crate::spread::SpreadAction;
use crate::spread::SpreadFinding;
use crate::spread::fetch::CHUNK_BYTES;
use crate::spread::fetch::Fetch;
use crate::spread::fetch::Source;
use crate::spread::fetch::WantedPart;
use crate::spread::store;
use crate::spread::store::Part;
use crate::spread::store::part_hash;

impl Spread {
    /// Processes a message. A body that doesn't concern the configuration is ignored, but its
    /// gossip is applied.
    pub fn receive(
        &mut self,
        from: &InstanceId,
        gossip: &Gossip,
        body: &Body,
        now: Millis,
    ) -> Vec<SpreadAction> {
        self.observe_sender(from, gossip, now);
        match body {
            Body::Query => self.reply(Body::Announce(self.held.revision)),
            Body::PullIndex {
                after,
                cursor,
                bare,
            } => self.on_pull_index(*after, cursor, *bare),
            Body::PullPart {
                team,
                revision,
                offset,
            } => self.on_pull_part(team, *revision, *offset),
            Body::Changes { .. } => self.on_changes(from, body),
            Body::Chunk {
                part,
                offset,
                bytes,
            } => self.on_chunk(from, part, *offset, bytes),
            _ => {}
        }
        self.advance(now);
        self.finish(now)
    }

    /// Handles a message to `peer` that couldn't be delivered or wasn't answered.
    pub fn failed(&mut self, peer: &InstanceId, now: Millis) -> Vec<SpreadAction> {
        self.count_failure(peer);
        if self.fetch.as_ref().is_some_and(|fetch| fetch.is_from(peer)) {
            self.abandon();
        }
        // The next attempt waits for the next tick: a peer that fails at once would be asked in a
        // loop.
        self.finish(now)
    }

    /// Forgets peers that are no longer in the view.
    pub(crate) fn retain_peers(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.peer_revisions.retain(|peer, _| is_live(peer));
    }

    fn reply(&mut self, body: Body) {
        self.act(SpreadAction::Reply(body));
    }

    fn observe_sender(&mut self, from: &InstanceId, gossip: &Gossip, now: Millis) {
        let heard = PeerRevision {
            revision: gossip.revision,
            at: now,
            failures: 0,
        };
        self.peer_revisions.insert(from.clone(), heard);
        if gossip.revision == self.held.revision && gossip.config_digest != 0 {
            self.compare_configs(from, gossip.config_digest, now);
        }
        self.abandon_slow_platform_fetch(gossip.revision);
    }

    /// Abandons a fetch from the platform when a peer already holds the revision, as the platform's
    /// read budget makes it slower.
    fn abandon_slow_platform_fetch(&mut self, revision: u64) {
        let is_slow = self.fetch.as_ref().is_some_and(|fetch| {
            fetch.source == Source::Platform && fetch.wanted.len() > 1 && revision >= fetch.revision
        });
        if is_slow {
            self.abandon();
        }
    }

    /// Compares all parts with a peer at the same revision if the digests differ, as two instances
    /// at one revision should hold the same parts.
    fn compare_configs(&mut self, from: &InstanceId, digest: u64, now: Millis) {
        let interval = self.settings.compare_interval;
        let recent = self.last_compared.is_some_and(|t| now.since(t) < interval);
        if digest == self.digest || recent || self.fetch.is_some() || self.held.revision == 0 {
            return;
        }
        self.last_compared = Some(now);
        self.fetch = Some(Fetch::new(
            Source::Peer(from.clone()),
            self.held.revision,
            0,
        ));
    }

    /// Starts a fetch towards the highest known revision if it is newer than the one held.
    pub(super) fn start_fetch(&mut self) {
        let held = self.held.revision;
        let listed = self.reader.listed_revision();
        let highest = self.peer_revisions.values().map(|h| h.revision).max();
        let highest = highest.unwrap_or_default();
        // Fetching from peers saves platform calls, but a peer whose messages arrive may still not
        // answer if the network drops packets in one direction. Once an answer was overdue, the
        // platform is asked for what it lists.
        let prefers_peers = highest > listed || (highest == listed && self.late_answers == 0);
        if highest > held && prefers_peers {
            let holders = self
                .peer_revisions
                .iter()
                .filter(|(_, h)| h.revision == highest);
            let least = holders.clone().map(|(_, h)| h.failures).min();
            // Chosen at random: otherwise all instances would pull from the same peer.
            let holders = holders.filter(|(_, h)| Some(h.failures) == least);
            let holder = holders.choose(&mut self.rng).map(|(peer, _)| peer.clone());
            let source = holder.map(Source::Peer);
            self.fetch = source.map(|source| Fetch::new(source, highest, held));
        } else if listed > held {
            self.fetch_from_platform();
        }
    }

    pub(super) fn ask_peer(&mut self, peer: &InstanceId, now: Millis) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.asked_at = Some(now);
        let body = match fetch.wanted.first() {
            Some(want) if fetch.list_complete => Body::PullPart {
                team: want.team.clone(),
                revision: want.revision,
                offset: fetch.partial.bytes.len() as u32,
            },
            _ => Body::PullIndex {
                after: fetch.after,
                cursor: fetch.cursor.clone(),
                // A comparison needs only revisions and hashes; most texts are the same.
                bare: fetch.after == 0 && self.held.revision > 0,
            },
        };
        self.act(SpreadAction::Send(peer.clone(), body));
    }

    fn on_pull_index(&mut self, after: u64, cursor: &str, bare: bool) {
        let (parts, next) = self.held.changes(after, cursor);
        let pieces = if bare {
            Vec::new()
        } else {
            self.held.pieces(after, &parts)
        };
        self.reply(Body::Changes {
            revision: self.held.revision,
            after,
            parts,
            next,
            pieces,
        });
    }

    fn on_pull_part(&mut self, team: &Arc<str>, revision: u64, offset: u32) {
        let part = self.held.part(team).cloned();
        let part = part.unwrap_or_else(|| Part::removed(team, revision));
        let text = part.text.as_bytes();
        let start = (offset as usize).min(text.len());
        let end = (start + CHUNK_BYTES).min(text.len());
        self.reply(Body::Chunk {
            offset: start as u32,
            bytes: text[start..end].to_vec(),
            part: part.head,
        });
    }

    fn on_changes(&mut self, from: &InstanceId, body: &Body) {
        let Body::Changes {
            revision,
            after,
            parts,
            next,
            pieces,
        } = body
        else {
            return;
        };
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        if !fetch.is_from(from) || fetch.list_complete || fetch.after != *after {
            return;
        }
        fetch.asked_at = None;
        if !fetch.cursor.is_empty() && *revision != fetch.revision {
            fetch.restart(*revision);
            return;
        }
        fetch.revision = *revision;
        fetch.listed.extend_from_slice(parts);
        fetch.pieces.extend_from_slice(pieces);
        fetch.cursor = next.clone();
        if next.is_empty() {
            self.plan();
        }
    }

    /// Determines from the complete list which texts to fetch.
    fn plan(&mut self) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        let listed = std::mem::take(&mut fetch.listed);
        let pieces = std::mem::take(&mut fetch.pieces);
        // A part that the peer doesn't list wasn't removed: removals are listed. The peer may have
        // skipped a part that the platform doesn't return to it; taking that for a removal would
        // remove the part here.
        for head in &listed {
            let piece = pieces.iter().find(|piece| piece.team == head.team);
            self.plan_part(&mut fetch, head, piece);
        }
        fetch.list_complete = true;
        fetch.resume(std::mem::take(&mut self.partial));
        self.fetch = Some(fetch);
    }

    fn plan_part(&mut self, fetch: &mut Fetch, head: &PartRef, piece: Option<&Piece>) {
        if let Some(known) = self.held.part(&head.team).map(|part| part.head.clone()) {
            if let Some(conflict) = store::conflict(&known, head) {
                self.report_conflict(conflict);
            }
            if known.revision >= head.revision {
                return;
            }
        }
        if head.removed {
            fetch.staged.push(Part::removed(&head.team, head.revision));
            return;
        }
        let saved = self.saved_part(&head.team, head.revision);
        if let Some(part) = saved.filter(|part| part.head.hash == head.hash) {
            fetch.staged.push(part.clone());
            return;
        }
        if let Some(part) = piece.and_then(|piece| self.assemble(head, piece)) {
            fetch.staged.push(part);
            return;
        }
        fetch.wanted.push(WantedPart {
            team: head.team.clone(),
            revision: head.revision,
        });
    }

    /// Applies a difference; returns `None` if this instance holds another base than the peer
    /// assumed, so that the whole text has to be pulled.
    fn assemble(&self, head: &PartRef, piece: &Piece) -> Option<Part> {
        let known = self.held.part(&head.team);
        let base = match known {
            _ if piece.base == 0 => "",
            Some(known) if known.head.revision == piece.base => &*known.text,
            _ => return None,
        };
        let text = piece.delta.apply(base)?;
        let part = Part::new(&head.team, head.revision, &text);
        let allowed = text.len() <= self.settings.max_part_bytes;
        (allowed && part.head.hash == head.hash).then_some(part)
    }

    fn on_chunk(&mut self, from: &InstanceId, part: &PartRef, offset: u32, bytes: &[u8]) {
        let limit = self.settings.max_part_bytes;
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let expected = fetch.wanted.first().is_some_and(|w| w.team == part.team);
        if !fetch.is_from(from) || !expected {
            return;
        }
        fetch.asked_at = None;
        if part.removed {
            fetch.stage(Part::removed(&part.team, part.revision));
            return;
        }
        if part.bytes as usize > limit {
            self.skip(&part.team);
            return;
        }
        let partial = &mut fetch.partial;
        if partial.head.as_ref() != Some(part) {
            // The part changed between two chunks: the received bytes belong to another text.
            partial.bytes.clear();
            partial.head = Some(part.clone());
        }
        if offset as usize != partial.bytes.len() {
            return;
        }
        partial.bytes.extend_from_slice(bytes);
        self.complete(from, part);
    }

    fn complete(&mut self, from: &InstanceId, part: &PartRef) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let wanted = part.bytes as usize;
        if fetch.partial.bytes.len() < wanted {
            return;
        }
        let text = String::from_utf8(std::mem::take(&mut fetch.partial.bytes));
        let intact = text.ok().filter(|text| part_hash(text) == part.hash);
        let Some(text) = intact else {
            self.report(SpreadFinding::Corrupt(from.clone()));
            self.drop_peer(from);
            return;
        };
        self.stage(Part::new(&part.team, part.revision, &text));
    }

    fn drop_peer(&mut self, from: &InstanceId) {
        self.peer_revisions.remove(from);
        self.abandon();
    }
}
