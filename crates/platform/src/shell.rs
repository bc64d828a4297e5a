//! Carries out the machines' actions.

use crocushold_base::Clock;
use futures::channel::mpsc::Receiver;

use crate::call::Action;
use crate::call::Event;
use crate::call::Machine;
use crate::call::Update;
use crate::fetch::Fetch;
use crate::shell::calls::Calls;

mod calls;
mod exchange;

pub use exchange::read;

/// What a machine runs on.
#[derive(Clone, Debug)]
pub struct Shell<F> {
    /// Makes the calls.
    pub fetch: F,
    /// Address of the platform, `IP:PORT`.
    pub address: String,
    /// The process's clock.
    pub clock: Clock,
}

/// Runs a machine until `inbox` is closed.
///
/// Events from elsewhere in the process come in through `inbox`; `publish` gets the updates in order
/// and has to return at once.
pub async fn run<M: Machine, F: Fetch>(
    mut machine: M,
    shell: &Shell<F>,
    mut inbox: Receiver<Event>,
    mut publish: impl FnMut(&M, Update),
) {
    let mut calls = Calls::new();
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
