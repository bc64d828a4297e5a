//! Settings of orders.

use crocushold_base::Millis;

/// Settings of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long an instance acts on a view that hasn't been confirmed. A stale owner stops after
    /// this time.
    pub lease: Millis,
    /// How long a new owner waits before its first order to an engine that ignores fencing tokens.
    /// Longer than `lease` plus `call_timeout`, with a margin for clock drift.
    pub takeover_delay: Millis,
    /// The maximum time from sending an order to its answer; after that, the call has failed.
    pub call_timeout: Millis,
    /// The maximum age of a report that an order may be based on.
    pub max_report_age: Millis,
    /// The minimum time between two orders to one engine.
    pub min_order_interval: Millis,
    /// How long a target must be unchanged before destructive orders implement it.
    pub stabilization: Millis,
    /// Orders and reads per second that one instance sends, over all engines.
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
