//! Points at which a test can block this process or make it panic.
//!
//! Faults injected from outside can't hit the moment between two steps of one process, such as a
//! claim and the first byte that is sent because of it. Failpoints exist only with the feature
//! `failpoints`, which test builds enable and the shipped binary doesn't.

/// A failpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// A request was dispatched to a server; its key is not claimed yet.
    Dispatched,
    /// A claimant received a member's vote and has not counted it yet.
    Voted,
    /// A request's key is claimed; no connection is open yet.
    Claimed,
    /// The head of a response has arrived; nothing is relayed yet.
    Answered,
    /// The last byte of a response was read; the request is not settled yet.
    Read,
    /// A request has ended; the members that recorded its claim aren't told yet.
    Settling,
    /// A configuration was received; it is not active yet.
    Applying,
    /// An order to an engine was decided; the check whether it may be sent is still to come.
    Ordering,
}

#[cfg(feature = "failpoints")]
pub(crate) use enabled::command;
#[cfg(feature = "failpoints")]
pub(crate) use enabled::pass;
#[cfg(feature = "failpoints")]
pub(crate) use enabled::reach;

/// Passes a failpoint, or blocks while a test holds it.
#[cfg(not(feature = "failpoints"))]
pub(crate) async fn reach(_: Point) {}

/// Passes a failpoint that can't block.
#[cfg(not(feature = "failpoints"))]
pub(crate) fn pass(_: Point) {}

#[cfg(feature = "failpoints")]
mod enabled {
    use std::sync::atomic::AtomicUsize;
    use std::sync::atomic::Ordering;
    use std::time::Duration;

    use async_std::task;
    use http_types::Method;
    use http_types::Request;
    use http_types::Response;
    use http_types::StatusCode;

    use super::Point;

    /// Prefix of the failpoint paths on the operator's address.
    const PATH: &str = "/failpoints/";

    /// Interval at which a blocked task checks the failpoint.
    const PAUSE: Duration = Duration::from_millis(2);

    static POINTS: [(Point, &str, AtomicUsize); 8] = [
        (Point::Dispatched, "dispatched", AtomicUsize::new(0)),
        (Point::Voted, "voted", AtomicUsize::new(0)),
        (Point::Claimed, "claimed", AtomicUsize::new(0)),
        (Point::Answered, "answered", AtomicUsize::new(0)),
        (Point::Read, "read", AtomicUsize::new(0)),
        (Point::Settling, "settling", AtomicUsize::new(0)),
        (Point::Applying, "applying", AtomicUsize::new(0)),
        (Point::Ordering, "ordering", AtomicUsize::new(0)),
    ];

    /// A task that is blocked at a failpoint.
    struct WaitingTask(&'static AtomicUsize);

    impl WaitingTask {
        fn new(count: &'static AtomicUsize) -> WaitingTask {
            count.fetch_add(1, Ordering::SeqCst);
            WaitingTask(count)
        }
    }

    impl Drop for WaitingTask {
        fn drop(&mut self) {
            self.0.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Whether the failpoint's action is `return`, which blocks. Other actions are executed here.
    fn holds(name: &str) -> bool {
        fail::eval(name, |_| ()).is_some()
    }

    /// Passes a failpoint, or blocks while a test holds it.
    ///
    /// Only the task is blocked, not its thread, so the rest of the process continues.
    pub(crate) async fn reach(point: Point) {
        let found = POINTS.iter().find(|(at, ..)| *at == point);
        let Some((_, name, count)) = found else {
            return;
        };
        if !holds(name) {
            return;
        }
        let _waiting = WaitingTask::new(count);
        while holds(name) {
            task::sleep(PAUSE).await;
        }
    }

    /// Passes a failpoint that can't block.
    pub(crate) fn pass(point: Point) {
        let found = POINTS.iter().find(|(at, ..)| *at == point);
        if let Some((_, name, _)) = found {
            holds(name);
        }
    }

    /// Handles `POST /failpoints/<name>/<actions>`, which configures a failpoint in the syntax of
    /// the crate `fail`, and `GET /failpoints/<name>`, which returns the number of tasks blocked
    /// there.
    pub(crate) fn command(request: &Request) -> Option<Response> {
        let rest = crocushold_http::request_path(request).strip_prefix(PATH)?;
        let (name, actions) = rest.split_once('/').unwrap_or((rest, ""));
        let (_, name, count) = POINTS.iter().find(|(_, known, _)| *known == name)?;
        let mut response = Response::new(StatusCode::Ok);
        if request.method() == Method::Post {
            if let Err(error) = fail::cfg(*name, actions) {
                response.set_status(StatusCode::BadRequest);
                response.set_body(error);
            }
        } else {
            response.set_body(count.load(Ordering::SeqCst).to_string());
        }
        Some(response)
    }
}
