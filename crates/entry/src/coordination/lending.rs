//! Requests loans of account limits from other members.

use std::sync::Arc;

use async_std::task;
use crocushold_base::Millis;
use crocushold_ownership::Borrow;
use crocushold_peers::Request;
use crocushold_peers::Response;

use super::Coordinator;

/// Interval between ticks of the limits; several fit into each lending period.
const TICK: Millis = Millis(50);

/// Timeout of a loan request. A later reply would arrive when the next request has already been
/// sent.
const LOAN_TIMEOUT: Millis = Millis(200);

impl Coordinator {
    /// Requests loans as long as the process runs. A request of a caller never waits for a loan: it
    /// is admitted by what the instance holds, and what was missing is requested here.
    pub(crate) async fn run_lending(self: Arc<Self>) {
        loop {
            let (borrows, asked_at) = self.limits.on_tick();
            for borrow in borrows {
                self.request_loan(borrow, asked_at);
            }
            task::sleep(TICK.into()).await;
        }
    }

    fn request_loan(self: &Arc<Self>, borrow: Borrow, asked_at: Millis) {
        let account = borrow.request.account;
        if borrow.to == self.me {
            let reply = self.limits.on_borrow(self.me, &borrow.request);
            self.limits.on_lent(account, self.me, reply, asked_at);
            return;
        }
        let coordinator = self.clone();
        task::spawn(async move {
            let call = Request::Borrow(borrow.request);
            let answer = coordinator
                .transport
                .call(borrow.to, call, LOAN_TIMEOUT)
                .await;
            if let Some(Response::Lent(reply)) = answer {
                coordinator
                    .limits
                    .on_lent(account, borrow.to, reply, asked_at);
            }
        });
    }
}
