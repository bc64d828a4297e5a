//! What relaying costs: processor time per token event and per request, and the delay it adds.
//!
//! `cargo run --release -p crocushold-http --example relay_cost [STREAMS] [SECONDS]`
//!
//! This process is the relay and counts its own processor time, on two threads unless
//! `ASYNC_STD_THREAD_COUNT` says otherwise. It starts itself once more as the peers: an engine that
//! writes an event of about 200 bytes on each stream 50 times a second, and the callers that read
//! them. Each event carries the time of its write, so the callers see its delay. The peers run once
//! without the relay and once through it.

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
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use http_types::Request;
use http_types::Response;

struct Count(EventCounter);

impl Observer for Count {
    fn chunk(&mut self, bytes: &[u8]) {
        self.0.push(bytes);
    }

    fn end(&mut self, _end: AnswerEnd) {}
}

async fn relay(client: Client, server: SocketAddr, mut request: Request) -> Response {
    let body = read_body(&mut request, &ServerLimits::default())
        .await
        .unwrap();
    let mut onward = Request::new(request.method(), request.url().clone());
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
    response.set_body(answer.body.into_body(Count(EventCounter::new())));
    response
}

/// What the threads did so far, in nanoseconds.
struct Times {
    /// They ran.
    ran: u64,
    /// They were ready to run and waited for a processor, which other processes held.
    waited: u64,
}

fn times() -> Times {
    let mut times = Times { ran: 0, waited: 0 };
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
            let mut start = times();
            for line in lines.map_while(Result::ok) {
                // "mark" ends a phase; its work is `count` things of the named kind.
                let words: Vec<&str> = line.split(' ').collect();
                if let ["mark", kind, count, millis] = words[..] {
                    let now = times();
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
                    start = times();
                } else {
                    println!("{line}");
                }
            }
        };
        task::spawn_blocking(report).await;
        peers.wait().unwrap();
    });
}
