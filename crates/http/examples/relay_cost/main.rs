//! Measures the cost of relaying: processor time per token event and per request, and added
//! latency.
//!
//! `cargo run --release -p crocushold-http --example relay_cost [STREAMS] [SECONDS]`
//!
//! This process is the relay. It measures its own processor time and runs on two threads unless
//! `ASYNC_STD_THREAD_COUNT` is set. It starts a second process of itself for the peers: an engine
//! that writes an event of about 200 bytes on each stream 50 times a second, and the callers that
//! read them. Each event carries its send time, from which the callers compute its latency. The
//! peers run once without the relay and once through it.

#![allow(clippy::unwrap_used)]

mod peers;

use std::env;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use async_std::net::SocketAddr;
use async_std::task;
use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::Client;
use crocushold_http::EventCounter;
use crocushold_http::Hangup;
use crocushold_http::Listener;
use crocushold_http::ListenerLimits;
use crocushold_http::Observer;
use crocushold_http::PoolLimits;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Request;
use http_types::Response;

struct CountingObserver(EventCounter);

impl Observer for CountingObserver {
    fn chunk(&mut self, bytes: &[u8]) {
        self.0.push(bytes);
    }

    fn end(&mut self, _end: AnswerEnd) {}
}

async fn relay(client: Client, server: SocketAddr, mut request: Request) -> Response {
    let body = read_body(&mut request, &ServerLimits::default())
        .await
        .unwrap();
    let target = RequestTarget::of(&request).unwrap();
    let mut onward = target.request(request.method());
    relay_headers(request.as_ref(), onward.as_mut());
    onward.set_body(body);
    let limits = SendLimits {
        connect_timeout: Millis::from_secs(5),
        ..SendLimits::default()
    };
    let answer = client
        .send(server, onward, &limits, Reuse::Allowed)
        .await
        .unwrap();
    let mut response = Response::new(answer.status);
    relay_headers(&answer.headers, response.as_mut());
    response.set_body(answer.body.into_body(CountingObserver(EventCounter::new())));
    response
}

/// Total times of all threads of this process, in nanoseconds.
struct ThreadTimes {
    /// Time spent running.
    ran: u64,
    /// Time spent runnable but waiting for a processor that other processes used.
    waited: u64,
}

fn thread_times() -> ThreadTimes {
    let mut times = ThreadTimes { ran: 0, waited: 0 };
    for task in fs::read_dir("/proc/self/task").unwrap() {
        let text = fs::read_to_string(task.unwrap().path().join("schedstat")).unwrap_or_default();
        let mut fields = text.split(' ').map(|field| field.parse().unwrap_or(0));
        times.ran += fields.next().unwrap_or(0);
        times.waited += fields.next().unwrap_or(0);
    }
    times
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "peers") {
        peers::run(&args[1..]);
        return;
    }
    let streams = args.first().map_or("500", String::as_str);
    let seconds = args.get(1).map_or("4", String::as_str);
    if env::var("ASYNC_STD_THREAD_COUNT").is_err() {
        let status = Command::new(env::current_exe().unwrap())
            .args([streams, seconds])
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .status();
        assert!(status.unwrap().success());
        return;
    }
    task::block_on(async {
        let limits = ListenerLimits::default();
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), limits)
            .await
            .unwrap();
        let addr = listener.local_addr().unwrap();
        let mut peers = Command::new(env::current_exe().unwrap())
            .args(["peers", &addr.to_string(), streams, seconds])
            .env("ASYNC_STD_THREAD_COUNT", "4")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(peers.stdout.take().unwrap()).lines();
        let server: SocketAddr = lines.next().unwrap().unwrap().parse().unwrap();
        let client = Client::new(PoolLimits::default());
        task::spawn(
            listener.run(move |request: Request, _: Hangup| relay(client.clone(), server, request)),
        );
        let report = move || {
            let mut start = thread_times();
            for line in lines.map_while(Result::ok) {
                // A "mark" line ends a phase and gives the kind and number of the units processed
                // in it.
                let words: Vec<&str> = line.split(' ').collect();
                if let ["mark", kind, count, millis] = words[..] {
                    let now = thread_times();
                    let spent = (now.ran - start.ran) as f64 / 1e3;
                    let waited = (now.waited - start.waited) as f64 / 1e3;
                    let (count, millis): (f64, f64) =
                        (count.parse().unwrap(), millis.parse().unwrap());
                    let share = |time: f64| time / 1e3 / millis;
                    if kind != "stream" {
                        println!(
                            "relay: {:.2} us per {kind}, {:.2} cores (and {:.2} waited for)",
                            spent / count,
                            share(spent),
                            share(waited),
                        );
                    }
                    start = thread_times();
                } else {
                    println!("{line}");
                }
            }
        };
        task::spawn_blocking(report).await;
        peers.wait().unwrap();
    });
}
