//! Calls in flight.

use std::collections::BTreeMap;
use std::future::Future;

use async_std::task;
use crocushold_base::Millis;
use futures::FutureExt;
use futures::StreamExt;
use futures::channel::mpsc::Receiver;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::pin_mut;
use futures::select;
use futures::stream::FuturesUnordered;

use crate::call::CallId;
use crate::call::Event;

/// Longest sleep. An early tick is harmless.
const MAX_SLEEP: Millis = Millis::from_secs(3600);

/// The futures of all started calls, with handles to abort them.
pub(super) struct InFlightCalls<C> {
    running: FuturesUnordered<Abortable<C>>,
    handles: BTreeMap<CallId, AbortHandle>,
}

impl<C: Future<Output = Event>> InFlightCalls<C> {
    pub(super) fn new() -> InFlightCalls<C> {
        InFlightCalls {
            running: FuturesUnordered::new(),
            handles: BTreeMap::new(),
        }
    }

    pub(super) fn start(&mut self, id: CallId, call: C) {
        let (handle, registration) = AbortHandle::new_pair();
        self.handles.insert(id, handle);
        self.running.push(Abortable::new(call, registration));
    }

    /// Drops a call's future, which closes its connection.
    pub(super) fn cancel(&mut self, id: CallId) {
        if let Some(handle) = self.handles.remove(&id) {
            handle.abort();
        }
    }

    /// Returns the next event: the end of a call, a message from `inbox`, or a tick after `wait`.
    /// Returns `None` once the inbox is closed.
    pub(super) async fn next_event(
        &mut self,
        wait: Millis,
        inbox: &mut Receiver<Event>,
    ) -> Option<Event> {
        let timer = task::sleep(wait.min(MAX_SLEEP).into()).fuse();
        pin_mut!(timer);
        loop {
            select! {
                ended = self.running.select_next_some() => {
                    if let Ok(event) = ended {
                        self.forget(&event);
                        return Some(event);
                    }
                }
                message = inbox.next() => return message,
                () = timer => return Some(Event::Tick),
            }
        }
    }

    fn forget(&mut self, event: &Event) {
        if let Event::Answered { call, .. } | Event::Failed { call, .. } = event {
            self.handles.remove(call);
        }
    }
}
