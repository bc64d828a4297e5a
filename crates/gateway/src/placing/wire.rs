//! The encoding of packets. Instances of several versions read it.
//!
//! During a release, instances of two versions run side by side, and each may be the placer. An
//! earlier version can't decode a packet that contains a variant unknown to it, but it ignores the
//! bytes after a packet. What was added to a known packet therefore follows it as a trailer.

use crocushold_routing::Outcome;
use serde::Deserialize;
use serde::Serialize;

use super::message::Packet;
use super::message::RequestEnd;
use super::message::RequestUpdate;
use super::message::UpdateKind;

/// What follows updates.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Trailer {
    paces: Vec<UpdatePace>,
    /// Indices of the updates whose server asked for rest.
    rests: Vec<u8>,
}

/// The pace of an engine whose answer has begun.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct UpdatePace {
    /// Index of the update.
    index: u8,
    /// How long work takes at this moment, in percent of the usual time.
    percent: u16,
}

impl Packet {
    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Packet::Updates(updates) => encode_updates(updates),
            _ => to_bytes(self),
        }
    }

    /// Decodes a packet; `None` if the bytes don't begin with a valid packet.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let (mut packet, trailer) = postcard::take_from_bytes(bytes).ok()?;
        if let Packet::Updates(updates) = &mut packet {
            add_trailer(updates, trailer);
        }
        Some(packet)
    }
}

fn encode_updates(updates: &[RequestUpdate]) -> Vec<u8> {
    let plain = updates.iter().map(|update| RequestUpdate {
        kind: as_earlier(update.kind),
        ..*update
    });
    let mut bytes = to_bytes(&Packet::Updates(plain.collect()));
    let mut trailer = Trailer::default();
    for (index, update) in (0..).zip(updates) {
        if let Some(percent) = update.kind.pace() {
            trailer.paces.push(UpdatePace { index, percent });
        }
        if is_rest(update.kind) {
            trailer.rests.push(index);
        }
    }
    if !trailer.paces.is_empty() || !trailer.rests.is_empty() {
        bytes.extend(to_bytes(&trailer));
    }
    bytes
}

/// The update as versions understand it that know neither paces nor rests.
fn as_earlier(kind: UpdateKind) -> UpdateKind {
    match kind {
        UpdateKind::StartedAtPace(requests, _) => UpdateKind::Started(Some(requests)),
        UpdateKind::Ended(end) if end.result == Outcome::Resting => UpdateKind::Ended(RequestEnd {
            result: Outcome::Overloaded,
            ..end
        }),
        UpdateKind::Started(_) | UpdateKind::Ended(_) => kind,
    }
}

fn is_rest(kind: UpdateKind) -> bool {
    matches!(kind, UpdateKind::Ended(end) if end.result == Outcome::Resting)
}

/// Adds what a trailer says to its updates. One that can't be decoded is that of a later version, whose
/// updates are used without it.
fn add_trailer(updates: &mut [RequestUpdate], bytes: &[u8]) {
    let trailer: Trailer = postcard::from_bytes(bytes).unwrap_or_default();
    for UpdatePace { index, percent } in trailer.paces {
        if let Some(update) = updates.get_mut(usize::from(index))
            && let UpdateKind::Started(Some(requests)) = update.kind
        {
            update.kind = UpdateKind::StartedAtPace(requests, percent);
        }
    }
    for index in trailer.rests {
        if let Some(update) = updates.get_mut(usize::from(index))
            && let UpdateKind::Ended(end) = &mut update.kind
            && end.result == Outcome::Overloaded
        {
            end.result = Outcome::Resting;
        }
    }
}

fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("numbers, names and addresses always serialise")
}
