//! A listener holds a bounded number of connections and stops without cutting a request.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::channel::unbounded;
use async_std::io::WriteExt;
use crocushold_base::Millis;
use crocushold_http::ListenerLimits;
use crocushold_http::ServerLimits;
use crocushold_http::StopSignal;
use crocushold_http::serve_until;
use futures::future::join;
use http_types::Response;

use support::bind;
use support::call;
use support::read_head;
use support::read_rest;
use support::run;
use support::serve;
use support::soon;
use support::status;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

fn stopping() -> ListenerLimits {
    ListenerLimits {
        server: ServerLimits {
            stop_grace: Millis(20),
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

// One connection more than allowed: it gets an answer with when to come back, at once, and the
// place is free again when the first one closes.
#[test]
fn connection_above_the_limit_is_told_when_to_come_back() {
    run(async {
        let limits = ListenerLimits {
            max_connections: 1,
            retry_after: Millis(1500),
            ..ListenerLimits::default()
        };
        let (addr, handle, _) = serve(limits, |_, _| async { Response::new(200) }).await;
        let mut first = call(addr, GET).await;
        read_head(&mut first).await;
        let refused = read_rest(&mut call(addr, GET).await).await;
        assert_eq!(status(&refused), "503");
        assert!(refused.contains("retry-after: 2\r\n"), "{refused}");
        drop(first);
        while handle.connections() > 0 {
            async_std::task::yield_now().await;
        }
        assert_eq!(status(&read_head(&mut call(addr, GET).await).await), "200");
    });
}

// A stop comes while one request is in progress and another is being written on an idle connection.
// Both are answered, each with a close.
#[test]
fn stop_answers_what_is_in_progress() {
    run(async {
        let (started, starts) = unbounded();
        let (go, gate) = unbounded::<()>();
        let limits = ListenerLimits {
            server: ServerLimits {
                stop_grace: Millis::from_secs(5),
                ..ServerLimits::default()
            },
            ..ListenerLimits::default()
        };
        let (addr, handle, ended) = serve(limits, move |request, _| {
            let (started, gate) = (started.clone(), gate.clone());
            async move {
                if request.url().path() == "/slow" {
                    started.send(()).await.unwrap();
                    gate.recv().await.unwrap();
                }
                Response::new(200)
            }
        })
        .await;
        let mut late = call(addr, GET).await;
        read_head(&mut late).await;
        let mut slow = call(addr, "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n").await;
        starts.recv().await.unwrap();
        handle.stop();
        late.write_all(GET.as_bytes()).await.unwrap();
        go.send(()).await.unwrap();
        for caller in [&mut slow, &mut late] {
            let answer = read_rest(caller).await;
            assert_eq!(status(&answer), "200", "{answer}");
            assert!(answer.contains("connection: close"), "{answer}");
        }
        drop((slow, late));
        soon(ended).await;
        assert_eq!(handle.connections(), 0);
        assert!(async_std::net::TcpStream::connect(addr).await.is_err());
    });
}

#[test]
fn stop_closes_idle_connections() {
    run(async {
        let (addr, handle, ended) = serve(stopping(), |_, _| async { Response::new(200) }).await;
        let mut idle = call(addr, GET).await;
        read_head(&mut idle).await;
        handle.stop();
        assert_eq!(read_rest(&mut idle).await, "");
        soon(ended).await;
    });
}

// The stop is seen while the connection is idle, and only then does a request arrive that was on its
// way. A connection closed at the stop would reset it.
#[test]
fn request_on_its_way_at_the_stop_is_answered() {
    run(async {
        let (listener, addr) = bind().await;
        let mut caller = call(addr, "").await;
        let (stream, _) = listener.accept().await.unwrap();
        let stop = StopSignal::new();
        let limits = ServerLimits {
            stop_grace: Millis::from_secs(5),
            ..ServerLimits::default()
        };
        let serving = serve_until(stream, &limits, &stop, |_, _| async { Response::new(200) });
        let mut serving = Box::pin(serving);
        assert!(futures::poll!(&mut serving).is_pending());
        stop.stop();
        assert!(futures::poll!(&mut serving).is_pending());
        caller.write_all(GET.as_bytes()).await.unwrap();
        let (served, answer) = join(serving, async {
            let answer = read_rest(&mut caller).await;
            drop(caller);
            answer
        })
        .await;
        assert_eq!(status(&answer), "200");
        assert_eq!(served.unwrap().answered, 1);
    });
}
