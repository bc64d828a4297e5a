//! The encoding of packets. Instances of several versions read it.
//!
//! During a release, instances of two versions run side by side, and each may be the placer. An
//! earlier version can't decode a packet that contains a variant unknown to it, but it ignores the
//! bytes after a packet. What was added to a known packet therefore follows it as a trailer.

use serde::Deserialize;
use serde::Serialize;

use super::message::Packet;
use super::message::RequestUpdate;
use super::message::UpdateKind;

/// An engine's pace, which follows the updates of which one belongs to it.
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
            add_paces(updates, trailer);
        }
        Some(packet)
    }
}

fn encode_updates(updates: &[RequestUpdate]) -> Vec<u8> {
    let plain = updates.iter().map(|update| RequestUpdate {
        kind: update.kind.without_pace(),
        ..*update
    });
    let mut bytes = to_bytes(&Packet::Updates(plain.collect()));
    let paces = updates.iter().zip(0..).filter_map(|(update, index)| {
        let percent = update.kind.pace()?;
        Some(UpdatePace { index, percent })
    });
    let paces: Vec<UpdatePace> = paces.collect();
    if !paces.is_empty() {
        bytes.extend(to_bytes(&paces));
    }
    bytes
}

/// Adds the paces of a trailer to their updates. One that can't be decoded is that of a later version,
/// whose updates are used without it.
fn add_paces(updates: &mut [RequestUpdate], trailer: &[u8]) {
    let paces: Vec<UpdatePace> = postcard::from_bytes(trailer).unwrap_or_default();
    for UpdatePace { index, percent } in paces {
        if let Some(update) = updates.get_mut(usize::from(index))
            && let UpdateKind::Started(Some(requests)) = update.kind
        {
            update.kind = UpdateKind::StartedAtPace(requests, percent);
        }
    }
}

fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("numbers, names and addresses always serialise")
}
