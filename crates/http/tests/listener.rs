//! A listener limits its connections and shuts down without cutting requests off.

#![allow(clippy::unwrap_used)]

mod support;

use async_std::channel::unbounded;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use crocushold_base::Millis;
use crocushold_http::ListenerLimits;
use crocushold_http::OverloadPolicy;
use crocushold_http::ServerLimits;
use crocushold_http::StopSignal;
use crocushold_http::request_path;
use crocushold_http::serve_until;
use futures::future::join;
use http_types::Response;

use support::bind;
use support::block_on;
use support::connect_and_send;
use support::read_head;
use support::read_rest;
use support::serve;
use support::status;
use support::with_timeout;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

fn short_stop_grace() -> ListenerLimits {
    ListenerLimits {
        server: ServerLimits {
            stop_grace: Millis(20),
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

// A connection above the limit is answered immediately with 503 and `Retry-After`. A new connection
// is accepted again once the first one is closed.
#[test]
fn connection_above_the_limit_is_refused_with_retry_after() {
    block_on(async {
        let limits = ListenerLimits {
            max_connections: 1,
            retry_after: Millis(1500),
            ..ListenerLimits::default()
        };
        let (addr, handle, _) = serve(limits, |_, _| async { Response::new(200) }).await;
        let mut first = connect_and_send(addr, GET).await;
        read_head(&mut first).await;
        let refused = read_rest(&mut connect_and_send(addr, GET).await).await;
        assert_eq!(status(&refused), "503");
        assert!(refused.contains("retry-after: 2\r\n"), "{refused}");
        drop(first);
        while handle.connections() > 0 {
            async_std::task::yield_now().await;
        }
        assert_eq!(
            status(&read_head(&mut connect_and_send(addr, GET).await).await),
            "200"
        );
    });
}

// Guards against holding callers who could turn to another instance: above the limit, their connection is closed
// unread and without an answer.
#[test]
fn connection_above_the_limit_is_closed_unread_if_callers_try_elsewhere() {
    block_on(async {
        let limits = ListenerLimits {
            max_connections: 1,
            overload: OverloadPolicy::CloseUnread,
            ..ListenerLimits::default()
        };
        let (addr, handle, _) = serve(limits, |_, _| async { Response::new(200) }).await;
        let mut first = connect_and_send(addr, GET).await;
        read_head(&mut first).await;
        let mut second = TcpStream::connect(addr).await.unwrap();
        let mut byte = [0];
        let closed = second.read(&mut byte).await;
        assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
        assert_eq!(handle.turned_away(), 1);
    });
}

// The listener is stopped while one request is in progress and another is being written on an idle
// connection. Both must be answered, with `Connection: close`.
#[test]
fn stop_answers_requests_in_progress() {
    block_on(async {
        let (started, starts) = unbounded();
        let (release, released) = unbounded::<()>();
        let limits = ListenerLimits {
            server: ServerLimits {
                stop_grace: Millis::from_secs(5),
                ..ServerLimits::default()
            },
            ..ListenerLimits::default()
        };
        let (addr, handle, ended) = serve(limits, move |request, _| {
            let (started, released) = (started.clone(), released.clone());
            async move {
                if request_path(&request) == "/slow" {
                    started.send(()).await.unwrap();
                    released.recv().await.unwrap();
                }
                Response::new(200)
            }
        })
        .await;
        let mut late = connect_and_send(addr, GET).await;
        read_head(&mut late).await;
        let mut slow = connect_and_send(addr, "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n").await;
        starts.recv().await.unwrap();
        handle.stop();
        late.write_all(GET.as_bytes()).await.unwrap();
        release.send(()).await.unwrap();
        for caller in [&mut slow, &mut late] {
            let answer = read_rest(caller).await;
            assert_eq!(status(&answer), "200", "{answer}");
            assert!(answer.contains("connection: close"), "{answer}");
        }
        drop((slow, late));
        with_timeout(ended).await;
        assert_eq!(handle.connections(), 0);
        assert!(async_std::net::TcpStream::connect(addr).await.is_err());
    });
}

#[test]
fn stop_closes_idle_connections() {
    block_on(async {
        let (addr, handle, ended) =
            serve(short_stop_grace(), |_, _| async { Response::new(200) }).await;
        let mut idle = connect_and_send(addr, GET).await;
        read_head(&mut idle).await;
        handle.stop();
        assert_eq!(read_rest(&mut idle).await, "");
        with_timeout(ended).await;
    });
}

// The connection is idle when the listener is stopped, and a request that was in transit arrives
// after that. Closing the connection immediately would reset it.
#[test]
fn request_in_transit_at_the_stop_is_answered() {
    block_on(async {
        let (listener, addr) = bind().await;
        let mut caller = connect_and_send(addr, "").await;
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
