//! Servers and callers on loopback for the tests.

#![allow(dead_code, unreachable_pub, missing_docs, clippy::unwrap_used)]

pub mod recording_relay;

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::unbounded;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::SocketAddr;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_http::Answer;
use crocushold_http::AnswerEnd;
use crocushold_http::Client;
use crocushold_http::Hangup;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::Observer;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

/// The longest time that a test may wait for one event; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    task::block_on(with_timeout(future))
}

pub async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    // The future is boxed because unoptimized executors move it, and test threads have small
    // stacks.
    timeout(TEST_TIMEOUT, Box::pin(future))
        .await
        .expect("the future didn't complete within 10 s")
}

pub async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Starts a server that runs `script` on each accepted connection, numbered from zero.
pub async fn scripted_server<S, F>(script: S) -> SocketAddr
where
    S: Fn(usize, TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let (listener, addr) = bind().await;
    task::spawn(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            task::spawn(script(number, stream));
        }
    });
    addr
}

/// Starts a server that reads one request per connection, writes `answer` and closes the
/// connection.
pub async fn fixed_answer_server(answer: impl Into<String>) -> SocketAddr {
    let answer = answer.into();
    scripted_server(move |_, mut stream| {
        let answer = answer.clone();
        async move {
            read_head(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    })
    .await
}

/// Reads up to the end of a head.
pub async fn read_head(stream: &mut TcpStream) -> String {
    read_until(stream, "\r\n\r\n").await
}

/// Reads until `mark` has been read or the connection has ended.
pub async fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(mark.as_bytes()) {
        match with_timeout(stream.read(&mut byte)).await {
            Ok(1) => text.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8(text).unwrap()
}

/// Reads to the end of the connection, whether closed or reset.
pub async fn read_rest(stream: &mut TcpStream) -> String {
    read_until(stream, "\0never").await
}

/// Starts a listener and returns its address, its handle and its task.
pub async fn serve<H, F>(
    limits: ListenerLimits,
    handler: H,
) -> (SocketAddr, ListenerHandle, JoinHandle<()>)
where
    H: Fn(Request, Hangup) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), limits)
        .await
        .unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = listener.handle();
    (addr, handle, task::spawn(listener.run(handler)))
}

/// Starts a server that answers with the body of the request.
pub async fn echo(server: ServerLimits) -> SocketAddr {
    let limits = ListenerLimits {
        server: server.clone(),
        ..ListenerLimits::default()
    };
    let (addr, _, _) = serve(limits, move |mut request, _| {
        let server = server.clone();
        async move {
            match read_body(&mut request, &server).await {
                Ok(body) => {
                    let mut response = Response::new(200);
                    response.set_body(body);
                    response
                }
                Err(error) => Response::new(error.status()),
            }
        }
    })
    .await;
    addr
}

/// The status code of an answer, or all of `answer` if it has no status line.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or(answer)
}

pub fn get(server: SocketAddr) -> Request {
    Request::new(
        Method::Get,
        Url::parse(&format!("http://{server}/")).unwrap(),
    )
}

pub fn post(server: SocketAddr, body: &str) -> Request {
    let mut request = Request::new(
        Method::Post,
        Url::parse(&format!("http://{server}/")).unwrap(),
    );
    request.set_body(body);
    request
}

pub fn client() -> Client {
    Client::new(PoolLimits::default())
}

pub async fn send(server: SocketAddr) -> Result<Answer, SendError> {
    let request = get(server);
    with_timeout(client().send(server, request, &SendLimits::default(), Reuse::Fresh)).await
}

/// Starts a relay that sends every request to `server`, and returns the ends of the relayed
/// answers.
pub async fn relay(server: SocketAddr) -> (SocketAddr, Receiver<AnswerEnd>) {
    let (sender, ends) = unbounded();
    let client = client();
    let (addr, _, _) = serve(ListenerLimits::default(), move |_, _| {
        let client = client.clone();
        let sender = sender.clone();
        async move {
            let answer = client
                .send(server, get(server), &SendLimits::default(), Reuse::Fresh)
                .await
                .unwrap();
            let mut response = Response::new(answer.status);
            relay_headers(&answer.headers, response.as_mut());
            response.set_body(answer.body.into_body(EndRecorder::new(sender)));
            response
        }
    })
    .await;
    (addr, ends)
}

/// An observer that records the chunks of an answer and sends its end.
pub struct EndRecorder {
    sender: Sender<AnswerEnd>,
    pub seen: Arc<Mutex<Vec<u8>>>,
}

impl EndRecorder {
    pub fn new(sender: Sender<AnswerEnd>) -> EndRecorder {
        EndRecorder {
            sender,
            seen: Arc::default(),
        }
    }
}

impl Observer for EndRecorder {
    fn chunk(&mut self, bytes: &[u8]) {
        self.seen.lock().unwrap().extend_from_slice(bytes);
    }

    fn end(&mut self, end: AnswerEnd) {
        self.sender.try_send(end).unwrap();
    }
}

/// Connects to `server` and writes `text`.
pub async fn connect_and_send(server: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}
