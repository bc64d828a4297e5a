//! Servers that send without end leave room for other exchanges.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::RelayBody;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_standins::Flood;
use crocushold_standins::Pace;
use futures::future::join_all;

use support::block_on;
use support::client;
use support::connect_and_send;
use support::echo;
use support::get;
use support::read_head;
use support::scripted_server;
use support::status;

/// Number of servers that send without end.
const SERVERS: usize = 100;

/// Deadline of their answers.
const DEADLINE: Millis = Millis(500);

/// Longest time of another exchange meanwhile, on a busy machine.
const LIMIT: Duration = Duration::from_secs(3);

// 100 servers send as fast as they are read, so that no read ever waits. Their readers must let others run, and
// notice the deadline although they never wait.
#[test]
fn endless_answers_leave_room_for_other_exchanges() {
    block_on(async {
        let served = echo(ServerLimits::default()).await;
        let floods = join_all((0..SERVERS).map(|_| {
            scripted_server(|_, mut stream| async move {
                read_head(&mut stream).await;
                let _ = Flood::Chunks.send(&mut stream, "", Pace::Fast).await;
            })
        }));
        let readers = floods.await.into_iter().map(|server| {
            task::spawn(async move {
                let client = client();
                let limits = SendLimits::default();
                let sent = client.send(server, get(server), &limits, Reuse::Fresh);
                let mut answer = sent.await.unwrap();
                answer.body.set_total_timeout(DEADLINE);
                let mut chunk = vec![0; 8 * 1024];
                while answer.body.read(&mut chunk).await.is_ok() {}
                RelayBody::bytes(&answer.body)
            })
        });
        let readers: Vec<_> = readers.collect();
        for _ in 0..5 {
            let text = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok";
            let began = Instant::now();
            let mut caller = connect_and_send(served, text).await;
            let head = read_head(&mut caller).await;
            assert_eq!(status(&head), "200");
            assert!(began.elapsed() < LIMIT, "{:?}", began.elapsed());
        }
        let read = join_all(readers).await;
        assert!(read.into_iter().all(|bytes| bytes > 0));
    });
}
