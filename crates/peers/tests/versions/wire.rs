//! Encoding of messages by a program of version 1, with its own schema.

use std::sync::Arc;

use capnp::struct_list;
use crocushold_peers::Body;
use crocushold_peers::Gossip;
use crocushold_peers::Incarnation;
use crocushold_peers::Instance;
use crocushold_peers::InstanceId;
use crocushold_peers::Message;
use crocushold_peers::PartRef;
use crocushold_peers::Status;
use crocushold_peers::Update;

use crate::peer_v1_capnp::gossip;
use crate::peer_v1_capnp::message;
use crate::peer_v1_capnp::part_ref;
use crate::peer_v1_capnp::update;

const STATUSES: [Status; 4] = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];

pub(crate) fn write(message: &Message, mut out: message::Builder<'_>) {
    let mut gossip = out.reborrow().init_gossip();
    gossip.set_start(message.gossip.incarnation.start);
    gossip.set_counter(message.gossip.incarnation.counter);
    gossip.set_revision(message.gossip.revision);
    let updates = &message.gossip.updates;
    write_updates(updates, gossip.init_updates(updates.len() as u32));
    match &message.body {
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
        body => write_pull(body, out),
    }
}

fn write_pull(body: &Body, mut out: message::Builder<'_>) {
    match body {
        Body::PullIndex { after, cursor, .. } => {
            let mut pull = out.init_pull_index();
            pull.set_after(*after);
            pull.set_cursor(&**cursor);
        }
        Body::Changes {
            revision,
            after,
            parts,
            next,
            ..
        } => {
            let mut changes = out.init_changes();
            changes.set_revision(*revision);
            changes.set_after(*after);
            changes.set_next(&**next);
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

fn write_part(part: &PartRef, mut out: part_ref::Builder<'_>) {
    out.set_team(&*part.team);
    out.set_revision(part.revision);
    out.set_bytes(part.bytes);
    out.set_removed(part.removed);
    out.set_hash(&part.hash);
}

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
        updates: read_updates(input.get_updates()?)?,
        ..Gossip::default()
    })
}

fn read_body(input: message::Reader<'_>) -> capnp::Result<Body> {
    let Ok(body) = input.which() else {
        return Ok(Body::None);
    };
    Ok(match body {
        message::None(()) => Body::None,
        message::Probe(id) => Body::Probe(InstanceId::new(id?.to_str()?)),
        message::Ack(id) => Body::Ack(InstanceId::new(id?.to_str()?)),
        message::Indirect(id) => Body::Indirect(InstanceId::new(id?.to_str()?)),
        message::Confirm(confirm) => {
            let confirm = confirm?;
            Body::Confirm {
                target: InstanceId::new(confirm.get_target()?.to_str()?),
                alive: confirm.get_alive(),
            }
        }
        message::Sync(digests) => Body::Sync(digests?.iter().collect()),
        message::Members(updates) => Body::Members(read_updates(updates?)?),
        message::Query(()) => Body::Query,
        message::Announce(revision) => Body::Announce(revision),
        message::PullIndex(pull) => {
            let pull = pull?;
            Body::PullIndex {
                after: pull.get_after(),
                cursor: Arc::from(pull.get_cursor()?.to_str()?),
                bare: true,
            }
        }
        message::Changes(changes) => {
            let changes = changes?;
            let parts = changes.get_parts()?.iter().map(read_part);
            Body::Changes {
                revision: changes.get_revision(),
                after: changes.get_after(),
                parts: parts.collect::<capnp::Result<_>>()?,
                next: Arc::from(changes.get_next()?.to_str()?),
                pieces: Vec::new(),
            }
        }
        message::PullPart(pull) => {
            let pull = pull?;
            Body::PullPart {
                team: Arc::from(pull.get_team()?.to_str()?),
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
    for input in list {
        let Some(status) = STATUSES.get(usize::from(input.get_status())) else {
            continue;
        };
        let address = input.get_address()?.to_str()?.parse();
        let address = address.map_err(|_| capnp::Error::failed("address".into()))?;
        let id = input.get_id()?.to_str()?;
        updates.push(Update {
            instance: Instance::new(id, address, input.get_zone()?.to_str()?),
            incarnation: Incarnation {
                start: input.get_start(),
                counter: input.get_counter(),
            },
            status: *status,
            origin: input.get_origin(),
        });
    }
    Ok(updates)
}

fn read_part(input: part_ref::Reader<'_>) -> capnp::Result<PartRef> {
    let hash = input.get_hash()?.try_into();
    Ok(PartRef {
        team: Arc::from(input.get_team()?.to_str()?),
        revision: input.get_revision(),
        bytes: input.get_bytes(),
        removed: input.get_removed(),
        hash: hash.map_err(|_| capnp::Error::failed("hash".into()))?,
    })
}
