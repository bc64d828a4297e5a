//! Settings of orders.

use crocushold_base::Millis;

/// Settings of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long an instance acts on a view that nobody has confirmed. A stale owner stops after it.
    pub lease: Millis,
    /// How long a new owner of an engine that ignores fencing numbers waits before its first order.
    /// More than `lease` plus `call_timeout`, with room for clocks that run apart.
    pub takeover_delay: Millis,
    /// The longest time from the sending of an order to its answer; later is a failure.
    pub call_timeout: Millis,
    /// How old a report may be for a convergent order to be based on it.
    pub max_report_age: Millis,
    /// The shortest time between two orders to one engine.
    pub min_order_interval: Millis,
    /// How long a target must stand unchanged before a destructive order carries it out.
    pub stabilization: Millis,
    /// Orders that one instance sends a second, over all engines.
    pub rate: u32,
}

impl Default for OrderSettings {
    fn default() -> OrderSettings {
        OrderSettings {
            lease: Millis::from_secs(10),
            takeover_delay: Millis::from_secs(25),
            call_timeout: Millis::from_secs(10),
            max_report_age: Millis::from_secs(5),
            min_order_interval: Millis::from_secs(2),
            stabilization: Millis::from_secs(30),
            rate: 20,
        }
    }
}
