//! Answers that a server begins before it has read the whole request, and how they end.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::unbounded;
use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::Shutdown;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use futures::AsyncRead;
use futures::FutureExt;
use http_types::Body;
use http_types::Request;
use socket2::SockRef;
use test_case::test_case;

use support::block_on;
use support::client;
use support::post;
use support::read_head;
use support::scripted_server;
use support::with_timeout;

/// An upload that is written at once.
const SHORT_BYTES: usize = 8 * 1024;

/// An upload beyond what they hold.
const LONG_BYTES: usize = 16 * 1024 * 1024;

/// Time for a segment to cross loopback.
const TRANSIT: Duration = Duration::from_millis(20);

/// How the server ends the connection. It has read only the head of the request.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// Resets it.
    Reset,
    /// Closes its sending side and then resets it.
    FinishAndReset,
    /// Closes it, which resets it if a part of the request is unread.
    Close,
    /// Reads all that has arrived, and closes it.
    DrainAndClose,
    /// Closes its sending side and reads on.
    FinishAndRead,
    /// Keeps it and reads on.
    ReadOn,
}

impl Ending {
    /// A server that drains from the start reads the whole request.
    fn moments(self) -> Vec<Moment> {
        let mut moments = vec![Moment::AfterHead, Moment::InBody];
        if !matches!(self, Ending::DrainAndClose) {
            moments.push(Moment::AtOnce);
        }
        moments
    }

    async fn run(self, mut stream: TcpStream) {
        match self {
            Ending::Reset => reset(&stream),
            Ending::FinishAndReset => {
                stream.shutdown(Shutdown::Write).unwrap();
                task::sleep(TRANSIT).await;
                reset(&stream);
            }
            Ending::Close => {}
            Ending::DrainAndClose => drain(&mut stream).await,
            Ending::FinishAndRead => {
                stream.shutdown(Shutdown::Write).unwrap();
                task::spawn(async move { drain_all(&mut stream).await });
            }
            Ending::ReadOn => {
                task::spawn(async move { drain_all(&mut stream).await });
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads until nothing has arrived for [`TRANSIT`].
async fn drain(stream: &mut TcpStream) {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let read = async_std::future::timeout(TRANSIT, stream.read(&mut bytes));
        match read.await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return,
        }
    }
}

async fn drain_all(stream: &mut TcpStream) {
    let mut bytes = vec![0; 64 * 1024];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
}

/// How the caller's body reaches the client.
#[derive(Clone, Copy, Debug)]
enum Upload {
    /// All at once, with a length.
    Whole(usize),
    /// Without an end, in chunks.
    Endless,
    /// One part, in chunks; the rest never arrives.
    Paused,
}

impl Upload {
    fn request(self, server: SocketAddr) -> Request {
        let mut request = post(server, "");
        request.set_body(match self {
            Upload::Whole(bytes) => Body::from_bytes(vec![b'x'; bytes]),
            Upload::Endless => endless(async_std::io::repeat(b'x')),
            Upload::Paused => {
                let first = async_std::io::repeat(b'x').take(SHORT_BYTES as u64);
                let (sender, rest) = unbounded::<std::io::Result<Vec<u8>>>();
                std::mem::forget(sender);
                let rest = futures::TryStreamExt::into_async_read(Box::pin(rest));
                endless(futures::AsyncReadExt::chain(first, rest))
            }
        });
        request
    }
}

fn endless(source: impl AsyncRead + Unpin + Send + Sync + 'static) -> Body {
    Body::from_reader(BufReader::new(source), None)
}

/// Starts a server that reads the head of a request, sends `text`, waits for `go` and ends the connection.
async fn server(
    text: &'static str,
    ending: Ending,
    go: Receiver<()>,
    done: Sender<()>,
) -> SocketAddr {
    scripted_server(move |_, mut stream| {
        let (go, done) = (go.clone(), done.clone());
        async move {
            read_head(&mut stream).await;
            stream.write_all(text.as_bytes()).await.unwrap();
            let _ = go.recv().await;
            ending.run(stream).await;
            task::sleep(TRANSIT).await;
            let _ = done.send(()).await;
        }
    })
    .await
}

async fn send(client: &Client, server: SocketAddr, upload: Upload) -> Answer {
    let limits = SendLimits {
        head_timeout: Millis(2000),
        stall_timeout: Millis(2000),
        close_delimited: true,
        ..SendLimits::default()
    };
    let request = upload.request(server);
    let sent = client.send(server, request, &limits, Reuse::Allowed);
    with_timeout(sent).await.unwrap()
}

/// When the connection ends.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Just after the answer was sent.
    AtOnce,
    /// After its head was read; what was sent of its body is in the buffer of the socket.
    AfterHead,
    /// After the first bytes of its body were read.
    InBody,
}

/// Sends an upload to a server that answers early and lives on. Returns the body of a complete answer.
async fn read(
    text: &'static str,
    upload: Upload,
    ending: Ending,
    moment: Moment,
) -> std::io::Result<String> {
    let (release, go) = unbounded();
    let (done, ended) = unbounded();
    let ended = async move { ended.recv().await.unwrap() }.boxed().shared();
    if let Moment::AtOnce = moment {
        release.send(()).await.unwrap();
    }
    let server = server(text, ending, go, done).await;
    let client = client();
    let mut answer = send(&client, server, upload).await;
    answer.body.set_end_check(ended.clone().map(|()| true));
    let mut body = vec![];
    if let Moment::InBody = moment {
        let mut first = [0; 4];
        with_timeout(answer.body.read_exact(&mut first)).await?;
        body.extend(first);
        release.send(()).await.unwrap();
    } else {
        release.send(()).await.unwrap();
        with_timeout(ended).await;
    }
    with_timeout(answer.body.read_to_end(&mut body)).await?;
    drop(answer);
    assert_eq!(client.idle_connections(), 0);
    Ok(String::from_utf8(body).unwrap())
}

/// Those of the cases that look complete.
fn complete_cases(
    text: &'static str,
    upload: Upload,
    endings: &[Ending],
) -> Vec<(Ending, Moment, String)> {
    let mut complete = vec![];
    for &ending in endings {
        for moment in ending.moments() {
            if let Ok(body) = block_on(read(text, upload, ending, moment)) {
                complete.push((ending, moment, body));
            }
        }
    }
    complete
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nhalf of";

/// Guards against an answer that ends with its connection and looks complete, although the connection was
/// reset or closed while the request was being written.
#[test_case(Upload::Whole(LONG_BYTES); "long upload")]
#[test_case(Upload::Endless; "upload in chunks")]
#[test_case(Upload::Paused; "upload that waits for its caller")]
fn an_early_answer_that_ends_with_its_connection_is_cut_off(upload: Upload) {
    let endings = [
        Ending::Reset,
        Ending::FinishAndReset,
        Ending::Close,
        Ending::DrainAndClose,
    ];
    let complete = complete_cases(UNFRAMED, upload, &endings);
    assert!(complete.is_empty(), "{complete:?}");
}

/// Guards against a reset after a proper end of the answer, which no read reports. The request was written,
/// but only to the buffers of the sockets.
#[test]
fn an_answer_whose_request_was_reset_in_the_buffers_is_cut_off() {
    let upload = Upload::Whole(SHORT_BYTES);
    let endings = [Ending::Reset, Ending::FinishAndReset, Ending::Close];
    let complete = complete_cases(UNFRAMED, upload, &endings);
    assert!(complete.is_empty(), "{complete:?}");
}

/// Guards against an answer that counts as cut although its server has read the request and closed properly.
#[test_case(Ending::DrainAndClose; "closed")]
#[test_case(Ending::FinishAndRead; "sending side closed")]
fn an_answer_that_ends_with_its_connection_after_the_request_is_complete(ending: Ending) {
    let upload = Upload::Whole(SHORT_BYTES);
    for moment in [Moment::AtOnce, Moment::AfterHead, Moment::InBody] {
        let read = block_on(read(UNFRAMED, upload, ending, moment));
        assert_eq!(read.unwrap(), "half of", "{moment:?}");
    }
}

/// Guards against an early answer that looks complete before its delimiter.
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf of"; "length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhalf of\r\n"; "chunks")]
fn an_early_answer_cut_before_its_delimiter_is_cut_off(text: &'static str) {
    let endings = [
        Ending::Reset,
        Ending::FinishAndReset,
        Ending::Close,
        Ending::DrainAndClose,
    ];
    for upload in [Upload::Whole(LONG_BYTES), Upload::Paused] {
        let complete = complete_cases(text, upload, &endings);
        assert!(complete.is_empty(), "{upload:?}: {complete:?}");
    }
}

/// Guards against an early refusal that is lost, and against a connection that is kept although the rest of
/// the request was never sent: the server would take the next request for it.
#[test_case("HTTP/1.1 413 Payload Too Large\r\ncontent-length: 2\r\n\r\nno"; "length")]
#[test_case("HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"; "chunks")]
#[test_case("HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nno"; "kept")]
fn an_early_refusal_with_a_delimiter_is_complete_and_its_connection_is_not_kept(
    text: &'static str,
) {
    for ending in [
        Ending::Reset,
        Ending::FinishAndReset,
        Ending::FinishAndRead,
        Ending::ReadOn,
    ] {
        for upload in [Upload::Whole(LONG_BYTES), Upload::Endless, Upload::Paused] {
            let read = block_on(read(text, upload, ending, Moment::AfterHead));
            assert_eq!(read.unwrap(), "no", "{ending:?} {upload:?}");
        }
    }
}
