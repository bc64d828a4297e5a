//! Settings of orders.

use crocushold_base::Millis;

/// Settings of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long an instance acts on a view that nobody has confirmed. A stale owner stops after it.
    pub lease: Millis,
    /// How long a new owner of an engine that ignores fencing numbers waits before its first order.
    /// More than `lease` plus `call_limit`, with room for clocks that run apart.
    pub takeover: Millis,
    /// The longest time from the sending of an order to its answer; later is a failure.
    pub call_limit: Millis,
    /// How old a report may be for a convergent order to be based on it.
    pub report_limit: Millis,
    /// The shortest time between two orders to one engine.
    pub spacing: Millis,
    /// How long a target must stand unchanged before a destructive order carries it out.
    pub damping: Millis,
    /// Orders that one instance sends a second, over all engines.
    pub rate: u32,
}

impl Default for OrderSettings {
    fn default() -> OrderSettings {
        OrderSettings {
            lease: Millis::from_secs(10),
            takeover: Millis::from_secs(25),
            call_limit: Millis::from_secs(10),
            report_limit: Millis::from_secs(5),
            spacing: Millis::from_secs(2),
            damping: Millis::from_secs(30),
            rate: 20,
        }
    }
}
