use std::time::Duration;

use async_std::task;

use super::*;

const NOW: Millis = Millis(1000);

fn origin() -> StreamOrigin {
    StreamOrigin {
        key: StreamKey::new(None, "a"),
        software: SoftwareKey::new("v1"),
        remaining: Millis(2000),
    }
}

/// The service of an instance, and the sockets of three others.
fn start() -> (OriginService, Vec<UdpSocket>) {
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let others: Vec<UdpSocket> = (0..3).map(|_| bind()).collect();
    for other in &others {
        let longest = Duration::from_millis(200);
        other.set_read_timeout(Some(longest)).unwrap();
    }
    let members: Vec<SocketAddr> = others.iter().map(|o| o.local_addr().unwrap()).collect();
    let service = OriginService::default();
    service.start(bind(), &members);
    (service, others)
}

async fn find(service: &OriginService) -> Found {
    let key = origin().key;
    service.find(Some(key), key, 1).await
}

fn receive(socket: &UdpSocket) -> Option<Packet> {
    let mut bytes = [0; 64];
    let count = socket.recv(&mut bytes).ok()?;
    Packet::decode(&bytes[..count])
}

/// Guards against an origin that is lost with the instance that began the stream.
#[test]
fn an_origin_is_told_to_two_others() {
    let (service, others) = start();
    service.record(origin(), NOW);
    let told = others.iter().filter_map(receive);
    let told: Vec<Packet> = told.collect();
    assert_eq!(told, [Packet::Origin(origin()), Packet::Origin(origin())]);
}

/// Guards against a lost question or reply that ends the search.
#[test]
fn a_question_is_repeated_to_those_that_are_silent() {
    let (service, others) = start();
    let found = task::block_on(async {
        let find = find(&service);
        let reply = async {
            // The first question to each is lost.
            task::sleep(Duration::from_millis(10)).await;
            others.iter().for_each(|other| drop(receive(other)));
            task::sleep(Duration::from_millis(40)).await;
            let Some(Packet::OriginQuery(query)) = receive(&others[0]) else {
                panic!("the question isn't repeated");
            };
            let reply = OriginReply {
                number: query.number,
                software: Some(origin().software),
                seen: SeenSoftware::default(),
            };
            service.handle_reply(others[0].local_addr().unwrap(), reply);
        };
        futures::future::join(find, reply).await.0
    });
    assert_eq!(found, Found::Elsewhere(origin().software));
}

/// Guards against a guess while an instance that may know the origin is out of touch, and against a
/// caller who waits for it for long, or for all of the time if each one has replied.
#[test]
fn a_search_ends_soon() {
    let (service, others) = start();
    let started = std::time::Instant::now();
    let found = task::block_on(find(&service));
    assert_eq!(found, Found::Unsure);
    assert!(started.elapsed() < Duration::from_millis(400));
    let started = std::time::Instant::now();
    let found = task::block_on(async {
        let find = find(&service);
        let replies = async {
            task::sleep(Duration::from_millis(10)).await;
            for other in &others {
                let from = other.local_addr().unwrap();
                service.handle_reply(
                    from,
                    OriginReply {
                        number: 1,
                        software: None,
                        seen: SeenSoftware::default(),
                    },
                );
            }
        };
        futures::future::join(find, replies).await.0
    });
    assert_eq!(found, Found::Unknown(vec![SeenSoftware::default(); 3]));
    let longest = Millis(REPEAT_AFTER.0 * ROUNDS as u64);
    assert!(started.elapsed() < longest.into());
}
