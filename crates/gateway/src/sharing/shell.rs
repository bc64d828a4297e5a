//! The socket and the tasks of gossip.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::net::UdpSocket;
use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::RegionKey;
use crocushold_routing::SuspectKind;
use log::info;
use twox_hash::XxHash3_64;

use super::contact::contact_answer;
use super::contact::contact_query;
use super::handover::Handover;
use super::handover::newly_served_packets;
use super::handover::served_packets;
use super::loads::LoadSum;
use super::message::CachedPrefix;
use super::message::Identity;
use super::message::MAX_MESSAGE_BYTES;
use super::notices::notice_packets;
use super::presence::find_gone;
use super::spread::packet;
use super::state::Gossip;
use super::suspicions::suspicion_packets;
use crate::fleet::short_hash;
use crate::follow;
use crate::placing::Packet;
use crate::quarantine;
use crate::reach;
use crate::relay::RelayPeer;
use crate::resumption::reply_origin;
use crate::shared::Shared;

/// Interval of gossip rounds. A change reaches the whole fleet within three rounds, in which an
/// engine reads two long prompts.
pub(super) const ROUND: Millis = Millis(100);

/// Shortest pause between two looks for what is due, so that a clock that stands still costs no
/// processor time.
const MIN_STEP: Millis = Millis(1);

/// Interval at which the line is served while requests wait in it: a small part of what an engine
/// holds.
const LINE_INTERVAL: Millis = Millis(10);

/// Starts sending and receiving gossip. Returns the address that is bound.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) async fn start_gossip(
    shared: &Arc<Shared>,
    address: SocketAddr,
    seeds: &[SocketAddr],
) -> io::Result<SocketAddr> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    shared.placer.set_socket(socket.try_clone()?);
    shared.origins.start(socket.try_clone()?, seeds);
    let socket = Arc::new(UdpSocket::from(socket));
    let me = Identity {
        address: socket.local_addr()?,
        zone: short_hash(&shared.settings.zone),
        capacity: shared.settings.capacity,
    };
    if shared.settings.waiting_line {
        shared.placer.start_line(me.address);
        task::spawn(serve_line(shared.clone()));
    }
    let state = Gossip::new(me, seeds);
    shared.placer.set_expected(!state.seeds().is_empty());
    let state = Arc::new(Mutex::new(state));
    let handover = Arc::new(Mutex::default());
    let now = shared.clock.now();
    shared.quarantine().start_recall(now + Handover::DURATION);
    task::spawn(receive_loop(
        shared.clone(),
        socket.clone(),
        me.address,
        state.clone(),
        handover.clone(),
    ));
    task::spawn(send_loop(
        shared.clone(),
        socket,
        me.address,
        state,
        handover,
    ));
    Ok(me.address)
}

/// Messages that are received in one turn of the task. A sender that never pauses would otherwise keep the
/// executor from other tasks.
const MAX_TURN_MESSAGES: u32 = 64;

async fn receive_loop(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    me: SocketAddr,
    state: Arc<Mutex<Gossip>>,
    handover: Arc<Mutex<Handover>>,
) {
    let mut bytes = [0; MAX_MESSAGE_BYTES];
    let mut turn_messages = 0;
    loop {
        if turn_messages >= MAX_TURN_MESSAGES {
            turn_messages = 0;
            task::yield_now().await;
        }
        turn_messages += 1;
        // An error concerns an earlier datagram to an unreachable peer; the next message may still
        // be received.
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            task::sleep(ROUND.into()).await;
            continue;
        };
        let now = shared.clock.now();
        match Packet::decode(&bytes[..count]) {
            Some(Packet::Gossip(message)) => {
                lock(&state).receive(from, message, now);
                take_step(&shared, &socket, &state, me).await;
            }
            Some(Packet::Request(ask)) => shared.placer.place(&mut shared.fleet(), from, &ask, now),
            Some(Packet::Reply(reply)) => shared.placer.handle_reply(from, reply),
            Some(Packet::Suspicions(suspicions)) => {
                let known = quarantine::receive(&shared, SuspectKind::Request, &suspicions);
                send_packets(&socket, from, packet(known, Packet::Suspicions)).await;
            }
            Some(Packet::PartSuspicions(suspicions)) => {
                let known = quarantine::receive(&shared, SuspectKind::Part, &suspicions);
                send_packets(&socket, from, packet(known, Packet::PartSuspicions)).await;
            }
            Some(Packet::ServedQuery) => {
                let served = served_packets(&shared.quarantine(), now);
                send_packets(&socket, from, served).await;
            }
            Some(Packet::PacesQuery) => {
                let paces = lock(&handover).answer_paces(&shared.fleet());
                send_packets(&socket, from, paces).await;
            }
            Some(Packet::Paces(paces)) => {
                lock(&handover).record_paces(from);
                shared.fleet().adopt_paces(&paces, now);
            }
            Some(Packet::Served(served)) => {
                lock(&handover).record_answer(from);
                quarantine::receive_served(&shared, SuspectKind::Request, &served);
            }
            Some(Packet::SoundParts(served)) => {
                lock(&handover).record_answer(from);
                quarantine::receive_served(&shared, SuspectKind::Part, &served);
            }
            Some(Packet::NewlyServed(served)) => {
                quarantine::receive_newly_served(&shared, SuspectKind::Request, &served);
            }
            Some(Packet::NewlySoundParts(served)) => {
                quarantine::receive_newly_served(&shared, SuspectKind::Part, &served);
            }
            Some(Packet::ColdPhases(phases)) => {
                let earlier = shared.review_cold(&phases);
                send_packets(&socket, from, packet(earlier, Packet::ColdPhases)).await;
            }
            Some(Packet::Limits(limits)) => shared.record_remote_limits(&limits),
            Some(Packet::Brittle(known)) => shared.record_remote_brittle(&known),
            Some(Packet::Departures(departed)) => shared.record_remote_departures(&departed),
            Some(Packet::Origin(origin)) => shared.origins.record_remote(origin, now),
            Some(Packet::OriginQuery(query)) => reply_origin(&shared, from, query),
            Some(Packet::OriginReply(reply)) => shared.origins.handle_reply(from, reply),
            Some(Packet::Contact(age)) => follow::on_peer_contact(&shared, age),
            Some(Packet::ContactQuery) => {
                // Without an answer the sender asks another instance.
                let answer = contact_answer(&shared.directory(), now);
                send_packets(&socket, from, answer).await;
            }
            Some(Packet::Updates(updates)) => {
                let mut fleet = shared.fleet();
                let probes = shared.placer.apply_updates(&mut fleet, from, updates, now);
                drop(fleet);
                reach::start_probes(&shared, probes);
            }
            None => {}
        }
    }
}

/// Sends packets to an instance. A lost or refused one is sent again, or asked for again, in a later round.
async fn send_packets(
    socket: &UdpSocket,
    to: SocketAddr,
    packets: impl IntoIterator<Item = Packet>,
) {
    for packet in packets {
        let _ = socket.send_to(&packet.encode(), to).await;
    }
}

/// Offers requests that wait in line to the engines, beside what each event offers.
async fn serve_line(shared: Arc<Shared>) {
    loop {
        let interval = if shared.placer.has_waiting() {
            LINE_INTERVAL
        } else {
            ROUND
        };
        task::sleep(interval.into()).await;
        if shared.placer.has_waiting() {
            let now = shared.clock.now();
            shared.placer.serve_line(&mut shared.fleet(), now);
        }
    }
}

async fn send_loop(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    me: SocketAddr,
    state: Arc<Mutex<Gossip>>,
    handover: Arc<Mutex<Handover>>,
) {
    let mut live = 0;
    let mut was_truncated = false;
    loop {
        let asked = lock(&handover).targets(&lock(&state));
        for target in asked {
            send_packets(&socket, target, [Packet::ServedQuery]).await;
        }
        if shared.is_ready() {
            let asked = lock(&handover).pace_targets(&lock(&state), shared.clock.now());
            for target in asked {
                send_packets(&socket, target, [Packet::PacesQuery]).await;
            }
        }
        wait_for_round(&shared, &socket, &state, me).await;
        let round = Round::run(&shared, &state);
        {
            let mut fleet = shared.fleet();
            fleet.set_others_load(&round.others);
            fleet.add_cached_prefixes(&round.cached, round.now);
            fleet.set_instances(round.instances);
        }
        publish_placer(&shared, round.placer, me);
        shared.placer.set_expected(round.expects_placer);
        if let Some(relays) = round.relays {
            let members: Vec<SocketAddr> = relays.iter().map(|peer| peer.address).collect();
            let others = members.iter().copied().map(instance_hash).collect();
            shared.quarantine().set_instances(instance_hash(me), others);
            shared.origins.set_members(members);
            shared.relays().set(relays);
        }
        if round.is_truncated {
            shared.metrics.count_truncated_round();
        }
        if round.is_truncated != was_truncated {
            was_truncated = round.is_truncated;
            info!(
                "{}",
                Event::new("queues-left-out").with("now", was_truncated)
            );
        }
        if round.live != live {
            live = round.live;
            info!("{}", Event::new("peers-changed").with("live", live));
        }
        if !round.silent.is_empty() {
            let (shared, socket, state) = (shared.clone(), socket.clone(), state.clone());
            task::spawn(replace_gone(shared, socket, state, me, round.silent));
        }
        for (target, packet) in round.packets {
            send_packets(&socket, target, [packet]).await;
        }
    }
}

/// Waits for the next round, and sends the hellos that are due before.
async fn wait_for_round(
    shared: &Shared,
    socket: &UdpSocket,
    state: &Mutex<Gossip>,
    me: SocketAddr,
) {
    let round_at = shared.clock.now() + ROUND;
    loop {
        take_step(shared, socket, state, me).await;
        let now = shared.clock.now();
        if now >= round_at {
            return;
        }
        let next = lock(state).next_step(now).unwrap_or(round_at);
        let pause = next.min(round_at).since(now).max(MIN_STEP);
        task::sleep(pause.into()).await;
    }
}

/// Sends what doesn't wait for the next round, and uses a placer that has just become known.
async fn take_step(shared: &Shared, socket: &UdpSocket, state: &Mutex<Gossip>, me: SocketAddr) {
    let now = shared.clock.now();
    let (messages, placer) = {
        let mut state = lock(state);
        state.set_serving(shared.is_ready());
        shared.start.record_members(&state, now);
        let is_due = state.next_step(now).is_some_and(|due| due <= now);
        let messages = if is_due { state.step(now) } else { Vec::new() };
        (messages, state.placer(now))
    };
    for (target, message) in messages {
        send_packets(socket, target, [Packet::Gossip(message)]).await;
    }
    if shared.placer.is_expected() && placer.is_some() {
        publish_placer(shared, placer, me);
        shared.placer.set_expected(false);
    }
}

/// Finds out which of the silent instances are gone, and looks for others in their place.
async fn replace_gone(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<Gossip>>,
    me: SocketAddr,
    silent: Vec<SocketAddr>,
) {
    let mut is_news = false;
    for peer in find_gone(me.ip(), silent).await {
        if lock(&state).record_gone(peer, shared.clock.now()) {
            is_news = true;
            info!("{}", Event::new("peer-gone").with("peer", peer));
        }
    }
    if is_news {
        take_step(&shared, &socket, &state, me).await;
        let placer = lock(&state).placer(shared.clock.now());
        publish_placer(&shared, placer, me);
    }
}

fn publish_placer(shared: &Shared, placer: Option<SocketAddr>, me: SocketAddr) {
    let is_placer = placer == Some(me);
    shared.fleet().set_placer(is_placer);
    let is_asked = |_: &SocketAddr| !is_placer || shared.settings.waiting_line;
    shared.placer.set_placer(placer.filter(is_asked));
}

/// Result of a round.
struct Round {
    now: Millis,
    packets: Vec<(SocketAddr, Packet)>,
    /// Load of the other instances.
    others: LoadSum,
    cached: Vec<CachedPrefix>,
    /// Number of other live instances in the zone.
    live: usize,
    /// Number of live instances, including this one.
    instances: u32,
    /// The instances that requests may be relayed to, in some of the rounds.
    relays: Option<Vec<RelayPeer>>,
    /// The placer.
    placer: Option<SocketAddr>,
    /// Whether a placer is about to become known.
    expects_placer: bool,
    /// Whether some engines with a queue couldn't be listed.
    is_truncated: bool,
    /// The instances of which it is to be found out whether they run.
    silent: Vec<SocketAddr>,
}

impl Round {
    fn run(shared: &Shared, state: &Mutex<Gossip>) -> Round {
        let now = shared.clock.now();
        let own = shared.fleet().local_load(now);
        let mut state = lock(state);
        state.set_serving(shared.is_ready());
        state.observe_revision(shared.store.last_change());
        if state.is_behind(shared.store.watched_revision(), now) {
            shared.store.cancel();
        }
        let messages = state.round(own, now);
        let mut packets = suspicion_packets(&mut shared.quarantine(), &state, now);
        packets.extend(newly_served_packets(&mut shared.quarantine(), &state, now));
        packets.extend(contact_query(&shared.directory(), &state, now));
        packets.extend(notice_packets(&mut shared.fleet(), &state, now));
        let gossip = messages.into_iter();
        packets.extend(gossip.map(|(to, message)| (to, Packet::Gossip(message))));
        let mut silent = state.silent_peers(now);
        silent.extend(shared.placer.take_unanswered());
        silent.sort_unstable();
        silent.dedup();
        Round {
            now,
            packets,
            silent,
            others: state.others_load(now),
            cached: state.take_cached_prefixes(),
            live: state.live_members(),
            instances: 1 + state.identities().count() as u32,
            relays: state
                .is_keepalive_round()
                .then(|| relay_peers(shared, &state)),
            placer: state.placer(now),
            expects_placer: state.expects_placer(now),
            is_truncated: state.is_truncated(),
        }
    }
}

/// Hash of an instance that is the same at all instances.
fn instance_hash(address: SocketAddr) -> u64 {
    XxHash3_64::oneshot(address.to_string().as_bytes())
}

fn relay_peers(shared: &Shared, state: &Gossip) -> Vec<RelayPeer> {
    let own = short_hash(&shared.settings.zone);
    let regions = shared.settings.region_keys();
    let regions = regions.iter();
    let regions: HashMap<u32, RegionKey> = regions
        .map(|(zone, region)| (short_hash(zone), *region))
        .collect();
    let peers = state.identities().map(|identity| RelayPeer {
        address: identity.address,
        same_zone: identity.zone == own,
        region: regions.get(&identity.zone).copied(),
    });
    peers.collect()
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
