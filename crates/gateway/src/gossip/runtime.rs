//! The socket of what the instances tell each other.

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
use log::info;
use twox_hash::XxHash3_64;

use super::message::CachedPrefix;
use super::message::Identity;
use super::message::MOST_BYTES;
use super::state::Gossip;
use super::state::LoadSum;
use super::suspicions::suspicion_packets;
use crate::placement::Packet;
use crate::quarantine;
use crate::shared::Shared;

/// Between two rounds. Three steps of it pass until the fleet knows of a change, in which an engine
/// reads two long prompts.
const ROUND: Millis = Millis(100);

/// Starts to tell the other instances, and to listen.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub(crate) async fn share(
    shared: &Arc<Shared>,
    address: SocketAddr,
    seeds: &[SocketAddr],
) -> io::Result<()> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    shared.placing.set_socket(socket.try_clone()?);
    let socket = Arc::new(UdpSocket::from(socket));
    let me = Identity {
        address: socket.local_addr()?,
        zone: XxHash3_64::oneshot(shared.settings.zone.as_bytes()) as u32,
        capacity: shared.settings.capacity,
    };
    let state = Arc::new(Mutex::new(Gossip::new(me, seeds)));
    task::spawn(listen(shared.clone(), socket.clone(), state.clone()));
    task::spawn(tell(shared.clone(), socket, me.address, state));
    Ok(())
}

async fn listen(shared: Arc<Shared>, socket: Arc<UdpSocket>, state: Arc<Mutex<Gossip>>) {
    let mut bytes = [0; MOST_BYTES];
    loop {
        // An error tells of a peer that isn't there; the next message may come all the same.
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            task::sleep(ROUND.into()).await;
            continue;
        };
        let now = shared.clock.now();
        match Packet::decode(&bytes[..count]) {
            Some(Packet::Gossip(message)) => lock(&state).receive(from, message, now),
            Some(Packet::Request(ask)) => {
                shared.placing.place(&mut shared.fleet(), from, &ask, now)
            }
            Some(Packet::Reply(reply)) => shared.placing.take_reply(from, reply),
            Some(Packet::Suspicions(suspicions)) => quarantine::hear(&shared, &suspicions),
            Some(Packet::Updates(notes)) => {
                let mut fleet = shared.fleet();
                shared.placing.take_notes(&mut fleet, from, notes, now);
            }
            None => {}
        }
    }
}

async fn tell(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    me: SocketAddr,
    state: Arc<Mutex<Gossip>>,
) {
    let mut live = 0;
    let mut left_out = false;
    loop {
        task::sleep(ROUND.into()).await;
        let round = Round::run(&shared, &state);
        let places = round.placer == Some(me);
        {
            let mut fleet = shared.fleet();
            fleet.set_others_load(&round.others);
            fleet.add_cached_prefixes(&round.cached, round.now);
            fleet.set_placer(places);
        }
        shared.placing.follow(round.placer.filter(|_| !places));
        if round.is_truncated {
            shared.report.left_out();
        }
        if round.is_truncated != left_out {
            left_out = round.is_truncated;
            info!("{}", Event::new("queues-left-out").with("now", left_out));
        }
        if round.live != live {
            live = round.live;
            info!("{}", Event::new("peers-changed").with("live", live));
        }
        for (target, packet) in round.packets {
            // Lost or refused: the next round tells more recent news.
            let _ = socket.send_to(&packet.encode(), target).await;
        }
    }
}

/// What comes of one round.
struct Round {
    now: Millis,
    packets: Vec<(SocketAddr, Packet)>,
    /// What the other instances have.
    others: LoadSum,
    cached: Vec<CachedPrefix>,
    /// Other instances of the zone.
    live: usize,
    /// Which instance places for all.
    placer: Option<SocketAddr>,
    /// Whether engines with a queue couldn't be named.
    is_truncated: bool,
}

impl Round {
    fn run(shared: &Shared, state: &Mutex<Gossip>) -> Round {
        let now = shared.clock.now();
        let own = shared.fleet().local_load(now);
        let mut state = lock(state);
        state.observe_revision(shared.store.changed());
        if state.is_behind(shared.store.watched(), now) {
            shared.store.give_up();
        }
        let messages = state.round(own, now);
        let mut packets = suspicion_packets(&mut shared.quarantine(), &state, &messages, now);
        let news = messages.into_iter();
        packets.extend(news.map(|(to, message)| (to, Packet::Gossip(message))));
        Round {
            now,
            packets,
            others: state.others_load(now),
            cached: state.take_cached_prefixes(),
            live: state.live_members(),
            placer: state.placer(now),
            is_truncated: state.is_truncated(),
        }
    }
}

fn lock(state: &Mutex<Gossip>) -> MutexGuard<'_, Gossip> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
