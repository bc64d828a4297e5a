//! Noticing a caller that is gone.

use std::fmt;
use std::sync::Arc;

use crate::wire::Wire;

/// Tells when the caller of a request closed its connection.
///
/// A caller that only closes its sending side counts as gone too: the two can't be told apart until
/// something is written.
#[derive(Clone)]
pub struct Hangup {
    wire: Arc<Wire>,
}

impl Hangup {
    pub(crate) fn new(wire: Arc<Wire>) -> Hangup {
        Hangup { wire }
    }

    /// Resolves once the caller closed its connection; never before the request's answer otherwise.
    ///
    /// The end shows behind bytes that the caller sent after the request (pipelined requests). Up to
    /// 16 KiB of them are kept; behind more, a hang-up is noticed only by writing.
    pub async fn wait(&self) {
        self.wire.closed().await;
    }
}

impl fmt::Debug for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hangup").finish_non_exhaustive()
    }
}
