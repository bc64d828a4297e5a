//! Steps at which a test can hold this process, or have it panic.
//!
//! A fault from outside can't hit the moment between two steps of the same process, such as a claim
//! and the first byte that it allows. The points are there only with the feature `failpoints`, which
//! the tests' builds have and the shipped binary lacks.

/// A step at which a test can step in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// A request has its turn and its server; its key isn't claimed yet.
    Dispatched,
    /// A claimant has a member's vote and hasn't counted it yet.
    Voted,
    /// A request's key is claimed; no connection is opened yet.
    Claimed,
    /// The head of an answer has come; nothing is relayed yet.
    Answered,
    /// The last byte of an answer was read; the request isn't settled yet.
    Read,
    /// A configuration was received; it isn't in force yet.
    Applying,
    /// An order to an engine was decided; whether it may be sent is still to be asked.
    Ordering,
}

#[cfg(feature = "failpoints")]
pub(crate) use enabled::command;
#[cfg(feature = "failpoints")]
pub(crate) use enabled::pass;
#[cfg(feature = "failpoints")]
pub(crate) use enabled::reach;

/// Goes past a point, or waits there as long as a test holds it.
#[cfg(not(feature = "failpoints"))]
pub(crate) async fn reach(_: Point) {}

/// Goes past a point at which nothing can wait.
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

    /// The operator's path below which the points are.
    const PATH: &str = "/failpoints/";

    /// Between two looks at whether a point still holds.
    const PAUSE: Duration = Duration::from_millis(2);

    static POINTS: [(Point, &str, AtomicUsize); 7] = [
        (Point::Dispatched, "dispatched", AtomicUsize::new(0)),
        (Point::Voted, "voted", AtomicUsize::new(0)),
        (Point::Claimed, "claimed", AtomicUsize::new(0)),
        (Point::Answered, "answered", AtomicUsize::new(0)),
        (Point::Read, "read", AtomicUsize::new(0)),
        (Point::Applying, "applying", AtomicUsize::new(0)),
        (Point::Ordering, "ordering", AtomicUsize::new(0)),
    ];

    /// One task that waits at a point.
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

    /// Whether the point's action is `return`, which holds; any other is carried out here.
    fn holds(name: &str) -> bool {
        fail::eval(name, |_| ()).is_some()
    }

    /// Goes past a point, or waits there as long as a test holds it.
    ///
    /// The task waits, not its thread, so that the rest of the process goes on.
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

    /// Goes past a point at which nothing can wait.
    pub(crate) fn pass(point: Point) {
        let found = POINTS.iter().find(|(at, ..)| *at == point);
        if let Some((_, name, _)) = found {
            holds(name);
        }
    }

    /// Answers `POST /failpoints/<name>/<actions>`, which sets a point in the language of the crate
    /// `fail`, and `GET /failpoints/<name>`, which tells how many tasks are held there.
    pub(crate) fn command(request: &Request) -> Option<Response> {
        let rest = request.url().path().strip_prefix(PATH)?;
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
