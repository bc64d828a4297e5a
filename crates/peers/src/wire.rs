//! Conversion between [`Message`] and its Cap'n Proto encoding.

use std::sync::Arc;

use capnp::message::HeapAllocator;
use capnp::message::ReaderOptions;
use capnp::struct_list;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::message::BUCKETS;
use crate::message::Body;
use crate::message::Delta;
use crate::message::Gossip;
use crate::message::Message;
use crate::message::PartHash;
use crate::message::PartRef;
use crate::message::Piece;
use crate::message::Status;
use crate::message::Update;
use crate::peer_capnp::gossip;
use crate::peer_capnp::message;
use crate::peer_capnp::part_ref;
use crate::peer_capnp::piece;
use crate::peer_capnp::update;

/// Oldest supported protocol version.
pub const OLDEST_VERSION: u16 = 1;

/// Newest supported protocol version.
pub const NEWEST_VERSION: u16 = 2;

/// First protocol version whose messages carry digests.
const DIGESTS_SINCE: u16 = 2;

/// First protocol version whose changes carry the smaller texts.
const PIECES_SINCE: u16 = 2;

/// Maximum length of the name of an instance, zone or team, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Maximum number of entries of a list in a message.
const MAX_LIST_ENTRIES: u32 = 2048;

/// Writes a message in the encoding of the given protocol version.
pub(crate) fn write(message: &Message, version: u16, mut out: message::Builder<'_>) {
    let carried = &message.gossip;
    let mut gossip = out.reborrow().init_gossip();
    gossip.set_start(carried.incarnation.start);
    gossip.set_counter(carried.incarnation.counter);
    gossip.set_revision(carried.revision);
    if version >= DIGESTS_SINCE {
        gossip.set_view_digest(carried.view_digest);
        gossip.set_config_digest(carried.config_digest);
    }
    if !carried.updates.is_empty() {
        let list = gossip.init_updates(carried.updates.len() as u32);
        write_updates(&carried.updates, list);
    }
    write_body(&message.body, version, out);
}

fn write_body(body: &Body, version: u16, mut out: message::Builder<'_>) {
    match body {
        Body::None => out.set_none(()),
        Body::Probe(id) => out.set_probe(id.as_str()),
        Body::Ack(id) => out.set_ack(id.as_str()),
        Body::Indirect(id) => out.set_indirect(id.as_str()),
        Body::Confirm { target, alive } => {
            let mut confirm = out.init_confirm();
            confirm.set_target(target.as_str());
            confirm.set_alive(*alive);
        }
        Body::Sync(digests) => {
            let mut list = out.init_sync(digests.len() as u32);
            for (at, digest) in digests.iter().enumerate() {
                list.set(at as u32, *digest);
            }
        }
        Body::Members(updates) => write_updates(updates, out.init_members(updates.len() as u32)),
        Body::Query => out.set_query(()),
        Body::Announce(revision) => out.set_announce(*revision),
        _ => write_pull(body, version, out),
    }
}

fn write_pull(body: &Body, version: u16, mut out: message::Builder<'_>) {
    match body {
        Body::PullIndex {
            after,
            cursor,
            bare,
        } => {
            let mut pull = out.init_pull_index();
            pull.set_bare(*bare);
            pull.set_after(*after);
            pull.set_cursor(&**cursor);
        }
        Body::Changes {
            revision,
            after,
            parts,
            next,
            pieces,
        } => {
            let mut changes = out.init_changes();
            changes.set_revision(*revision);
            changes.set_after(*after);
            changes.set_next(&**next);
            if version >= PIECES_SINCE {
                write_pieces(pieces, changes.reborrow().init_pieces(pieces.len() as u32));
            }
            let mut list = changes.init_parts(parts.len() as u32);
            for (at, part) in parts.iter().enumerate() {
                write_part(part, list.reborrow().get(at as u32));
            }
        }
        Body::PullPart {
            team,
            revision,
            offset,
        } => {
            let mut pull = out.init_pull_part();
            pull.set_team(&**team);
            pull.set_revision(*revision);
            pull.set_offset(*offset);
        }
        Body::Chunk {
            part,
            offset,
            bytes,
        } => {
            let mut chunk = out.init_chunk();
            chunk.set_offset(*offset);
            chunk.set_bytes(bytes);
            write_part(part, chunk.init_part());
        }
        _ => out.set_none(()),
    }
}

fn write_updates(updates: &[Update], mut list: struct_list::Builder<'_, update::Owned>) {
    for (at, known) in updates.iter().enumerate() {
        let mut out = list.reborrow().get(at as u32);
        out.set_id(known.instance.id.as_str());
        out.set_start(known.incarnation.start);
        out.set_counter(known.incarnation.counter);
        out.set_status(known.status as u16);
        out.set_origin(known.origin);
        out.set_address(known.instance.address.to_string().as_str());
        out.set_zone(&*known.instance.zone);
    }
}

fn write_pieces(pieces: &[Piece], mut list: struct_list::Builder<'_, piece::Owned>) {
    for (at, piece) in pieces.iter().enumerate() {
        let mut out = list.reborrow().get(at as u32);
        out.set_team(&*piece.team);
        out.set_base(piece.base);
        out.set_prefix(piece.delta.prefix);
        out.set_suffix(piece.delta.suffix);
        out.set_middle(&piece.delta.middle);
    }
}

fn write_part(part: &PartRef, mut out: part_ref::Builder<'_>) {
    out.set_team(&*part.team);
    out.set_revision(part.revision);
    out.set_bytes(part.bytes);
    out.set_removed(part.removed);
    out.set_hash(&part.hash);
}

/// Reads a message.
///
/// # Errors
///
/// Fails if the encoding is malformed or exceeds a limit. A body that this version doesn't know
/// isn't an error: it is read as [`Body::None`].
pub(crate) fn read(input: message::Reader<'_>) -> capnp::Result<Message> {
    Ok(Message {
        gossip: read_gossip(input.get_gossip()?)?,
        body: read_body(input)?,
    })
}

fn read_gossip(input: gossip::Reader<'_>) -> capnp::Result<Gossip> {
    Ok(Gossip {
        incarnation: Incarnation {
            start: input.get_start(),
            counter: input.get_counter(),
        },
        revision: input.get_revision(),
        view_digest: input.get_view_digest(),
        config_digest: input.get_config_digest(),
        updates: read_updates(input.get_updates()?)?,
    })
}

fn read_body(input: message::Reader<'_>) -> capnp::Result<Body> {
    let Ok(body) = input.which() else {
        return Ok(Body::None);
    };
    Ok(match body {
        message::None(()) => Body::None,
        message::Probe(id) => Body::Probe(read_id(id?)?),
        message::Ack(id) => Body::Ack(read_id(id?)?),
        message::Indirect(id) => Body::Indirect(read_id(id?)?),
        message::Confirm(confirm) => {
            let confirm = confirm?;
            Body::Confirm {
                target: read_id(confirm.get_target()?)?,
                alive: confirm.get_alive(),
            }
        }
        message::Sync(digests) => Body::Sync(digests?.iter().take(BUCKETS).collect()),
        message::Members(updates) => Body::Members(read_updates(updates?)?),
        message::Query(()) => Body::Query,
        message::Announce(revision) => Body::Announce(revision),
        message::PullIndex(pull) => {
            let pull = pull?;
            Body::PullIndex {
                after: pull.get_after(),
                cursor: read_name(pull.get_cursor()?)?,
                bare: pull.get_bare(),
            }
        }
        message::Changes(changes) => {
            let changes = changes?;
            let parts = bounded(changes.get_parts()?)?;
            Body::Changes {
                revision: changes.get_revision(),
                after: changes.get_after(),
                parts: parts.iter().map(read_part).collect::<capnp::Result<_>>()?,
                next: read_name(changes.get_next()?)?,
                pieces: read_pieces(changes.get_pieces()?)?,
            }
        }
        message::PullPart(pull) => {
            let pull = pull?;
            Body::PullPart {
                team: read_name(pull.get_team()?)?,
                revision: pull.get_revision(),
                offset: pull.get_offset(),
            }
        }
        message::Chunk(chunk) => {
            let chunk = chunk?;
            Body::Chunk {
                part: read_part(chunk.get_part()?)?,
                offset: chunk.get_offset(),
                bytes: chunk.get_bytes()?.to_vec(),
            }
        }
    })
}

fn read_updates(list: struct_list::Reader<'_, update::Owned>) -> capnp::Result<Vec<Update>> {
    let mut updates = Vec::new();
    for input in bounded(list)? {
        // A status that a newer version added can't be interpreted: the update is skipped.
        let Some(status) = status(input.get_status()) else {
            continue;
        };
        let address = input.get_address()?.to_str()?;
        let address = address.parse().map_err(|_| malformed("address"))?;
        updates.push(Update {
            instance: Instance {
                id: read_id(input.get_id()?)?,
                address,
                zone: read_name(input.get_zone()?)?,
            },
            incarnation: Incarnation {
                start: input.get_start(),
                counter: input.get_counter(),
            },
            status,
            origin: input.get_origin(),
        });
    }
    Ok(updates)
}

fn read_pieces(list: struct_list::Reader<'_, piece::Owned>) -> capnp::Result<Vec<Piece>> {
    let mut pieces = Vec::new();
    for input in bounded(list)? {
        pieces.push(Piece {
            team: read_name(input.get_team()?)?,
            base: input.get_base(),
            delta: Delta {
                prefix: input.get_prefix(),
                suffix: input.get_suffix(),
                middle: input.get_middle()?.to_vec(),
            },
        });
    }
    Ok(pieces)
}

fn read_part(input: part_ref::Reader<'_>) -> capnp::Result<PartRef> {
    let hash = input.get_hash()?;
    Ok(PartRef {
        team: read_name(input.get_team()?)?,
        revision: input.get_revision(),
        bytes: input.get_bytes(),
        removed: input.get_removed(),
        hash: PartHash::try_from(hash).map_err(|_| malformed("hash"))?,
    })
}

fn bounded<T>(list: struct_list::Reader<'_, T>) -> capnp::Result<struct_list::Reader<'_, T>>
where
    T: capnp::traits::OwnedStruct,
{
    if list.len() > MAX_LIST_ENTRIES {
        return Err(malformed("list"));
    }
    Ok(list)
}

fn status(code: u16) -> Option<Status> {
    let all = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
    all.get(usize::from(code)).copied()
}

/// Reads an instance's name.
pub(crate) fn read_id(text: capnp::text::Reader<'_>) -> capnp::Result<InstanceId> {
    let id = read_name(text)?;
    if id.is_empty() {
        return Err(malformed("instance"));
    }
    Ok(InstanceId::new(&id))
}

/// Reads a name of limited length.
pub(crate) fn read_name(text: capnp::text::Reader<'_>) -> capnp::Result<Arc<str>> {
    let text = text.to_str()?;
    if text.len() > MAX_NAME_BYTES {
        return Err(malformed("name"));
    }
    Ok(Arc::from(text))
}

/// Creates the error for a field with an invalid value.
pub(crate) fn malformed(field: &str) -> capnp::Error {
    capnp::Error::failed(format!("malformed {field}"))
}

fn build(message: &Message, version: u16) -> capnp::message::Builder<HeapAllocator> {
    let mut builder = capnp::message::Builder::new(HeapAllocator::new());
    write(message, version, builder.init_root());
    builder
}

/// Returns the length of a message's encoding in bytes, without the envelope of a call.
pub fn encoded_bytes(message: &Message, version: u16) -> usize {
    let builder = build(message, version);
    let segments = builder.get_segments_for_output();
    segments.iter().map(|segment| segment.len()).sum()
}

/// Encodes a standalone message in the encoding of the given protocol version.
pub fn encode(message: &Message, version: u16) -> Vec<u8> {
    capnp::serialize::write_message_to_words(&build(message, version))
}

/// Decodes a standalone message.
///
/// # Errors
///
/// Fails if the encoding is malformed or exceeds a limit.
pub fn decode(mut bytes: &[u8]) -> capnp::Result<Message> {
    let options = ReaderOptions::new();
    let reader = capnp::serialize::read_message(&mut bytes, options)?;
    read(reader.get_root()?)
}
