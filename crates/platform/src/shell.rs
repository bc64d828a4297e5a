//! Performs the I/O of the state machines.

use crocushold_base::Clock;
use futures::channel::mpsc::Receiver;

use crate::call::Action;
use crate::call::Event;
use crate::call::Machine;
use crate::call::Update;
use crate::fetch::Fetch;
use crate::shell::calls::InFlightCalls;

mod calls;
mod exchange;

pub use exchange::read;

/// The transport, platform address and clock that a state machine runs with.
#[derive(Clone, Debug)]
pub struct Shell<F> {
    /// Transport of the calls.
    pub fetch: F,
    /// Address of the platform, as `IP:PORT`.
    pub address: String,
    /// The process's clock.
    pub clock: Clock,
}

/// Runs a state machine until `inbox` is closed.
///
/// Other parts of the process send events through `inbox`. `publish` receives the updates in order
/// and must not block.
pub async fn run<M: Machine, F: Fetch>(
    mut machine: M,
    shell: &Shell<F>,
    mut inbox: Receiver<Event>,
    mut publish: impl FnMut(&M, Update),
) {
    let mut calls = InFlightCalls::new();
    let mut event = Event::Tick;
    loop {
        for action in machine.step(event, shell.clock.now()) {
            match action {
                Action::Start { id, call } => calls.start(id, exchange::perform(shell, id, call)),
                Action::Cancel { id } => calls.cancel(id),
                Action::Publish(update) => publish(&machine, update),
            }
        }
        let wait = machine.next_wake().since(shell.clock.now());
        event = match calls.next_event(wait, &mut inbox).await {
            Some(event) => event,
            None => return,
        };
    }
}
