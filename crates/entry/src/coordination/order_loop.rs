//! Passes the time and the membership to the orders to engines.

use std::sync::Arc;

use async_std::task;
use crocushold_base::Millis;

use super::Coordinator;

/// Interval between ticks of the orders.
const TICK: Millis = Millis::from_secs(1);

impl Coordinator {
    /// Decides and sends orders as long as the process runs.
    pub(crate) async fn run_orders(self: Arc<Self>) {
        loop {
            // A view is unsettled while the instance joins and after it was suspended.
            if self.transport.is_settled() {
                let (live, reference) = self.members().quorum();
                self.orders.on_view(&live, &reference);
            }
            self.orders.on_tick();
            task::sleep(TICK.into()).await;
        }
    }
}
