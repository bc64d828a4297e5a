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

use super::message::Identity;
use super::message::MOST_BYTES;
use super::state::Sharing;
use crate::placing::Packet;
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
    let state = Arc::new(Mutex::new(Sharing::new(me, seeds)));
    task::spawn(listen(shared.clone(), socket.clone(), state.clone()));
    task::spawn(tell(shared.clone(), socket, me.address, state));
    Ok(())
}

async fn listen(shared: Arc<Shared>, socket: Arc<UdpSocket>, state: Arc<Mutex<Sharing>>) {
    let mut bytes = [0; MOST_BYTES];
    loop {
        // An error tells of a peer that isn't there; the next message may come all the same.
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            task::sleep(ROUND.into()).await;
            continue;
        };
        let now = shared.clock.now();
        match Packet::decode(&bytes[..count]) {
            Some(Packet::News(message)) => lock(&state).hear(from, message, now),
            Some(Packet::Ask(ask)) => shared.placing.place(&mut shared.fleet(), from, &ask, now),
            Some(Packet::Reply(reply)) => shared.placing.take_reply(from, reply),
            Some(Packet::Notes(notes)) => {
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
    state: Arc<Mutex<Sharing>>,
) {
    let mut live = 0;
    loop {
        task::sleep(ROUND.into()).await;
        let now = shared.clock.now();
        let own = shared.fleet().load_told(now);
        let (messages, others, kept, count, placer) = {
            let mut state = lock(&state);
            state.saw(shared.store.changed());
            if state.is_behind(shared.store.watched(), now) {
                shared.store.give_up();
            }
            let messages = state.round(own, now);
            let placer = state.placer(now);
            (
                messages,
                state.others(now),
                state.kept(),
                state.live(),
                placer,
            )
        };
        let places = placer == Some(me);
        {
            let mut fleet = shared.fleet();
            fleet.take_others(&others);
            fleet.take_kept(&kept, now);
            fleet.set_places(places);
        }
        shared.placing.follow(placer.filter(|_| !places));
        if count != live {
            live = count;
            shared.store.set_live(count);
            info!("{}", Event::new("peers-changed").with("live", live));
        }
        for (target, message) in messages {
            // Lost or refused: the next round tells more recent news.
            let packet = Packet::News(message);
            let _ = socket.send_to(&packet.encode(), target).await;
        }
    }
}

fn lock(state: &Mutex<Sharing>) -> MutexGuard<'_, Sharing> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
