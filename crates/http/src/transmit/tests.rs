use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::Read;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;

use super::Transmit;
use super::TransmitError;
use crate::connection::Connection;
use crate::overdue::Overdue;

/// Time after which a socket whose peer doesn't read takes nothing any more.
const FULL: Duration = Duration::from_millis(500);

/// Time within which a message ends after its deadline, on a busy machine.
const LIMIT: Duration = Duration::from_secs(5);

/// A source that fails after a few bytes.
struct Broken {
    has_read: bool,
}

impl Read for Broken {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if std::mem::replace(&mut self.has_read, true) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        buf[0] = b'x';
        Poll::Ready(Ok(1))
    }
}

/// A connection that takes nothing, and its peer, which reads nothing.
async fn full_connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let block = vec![0; 64 * 1024];
    while timeout(FULL, stream.write_all(&block)).await.is_ok() {}
    (stream, peer)
}

// A message that is cut off anyway must not outlast its deadline because its peer doesn't read.
#[test]
fn deadline_ends_a_message_whose_source_has_failed() {
    task::block_on(async {
        let (stream, _peer) = full_connection().await;
        let source = Broken { has_read: false };
        let transmit = Transmit::new(source, Connection::new(stream), Millis::from_secs(60));
        let transmit = transmit.until(Some(Overdue::after(Millis(100))));
        let end = timeout(LIMIT, transmit).await.expect("the message ends");
        assert!(matches!(end, Err(TransmitError::Overdue)), "{end:?}");
    });
}
