//! Sending of single requests, for tests that inspect one response.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::client::Client;
use super::exchange;
use super::exchange::Exchange;
use super::exchange::OutgoingRequest;
use super::exchange::WaitLimits;
use super::plan::LoadClass;
use super::plan::RequestKind;
use super::prompt;
use super::response::Response;

/// Sends a request of a class on its own connection and reads the response.
///
/// The class's `give_up` always applies, regardless of its share.
pub async fn send_one(entry: SocketAddr, class: &LoadClass, marker: &str) -> Exchange {
    let client = Client::new(vec![entry], false);
    let outgoing = prepare(class, marker, entry, &mut StdRng::seed_from_u64(1), |_| {
        true
    });
    exchange::exchange(&client, outgoing).await
}

/// Prepares a request of a class that is due now; `gives_up` returns whether the class's `give_up`
/// applies to it.
pub(super) fn prepare(
    class: &LoadClass,
    marker: &str,
    host: SocketAddr,
    rng: &mut StdRng,
    gives_up: impl FnOnce(&mut StdRng) -> bool,
) -> OutgoingRequest {
    let output = class.output.sample(rng);
    let tokens =
        (class.kind != RequestKind::Call).then(|| u64::from(class.expected_tokens(output)));
    let give_up = class.give_up.filter(|_| gives_up(rng));
    OutgoingRequest {
        bytes: prompt::request_bytes(class, marker, host, output, rng),
        response: Response::new(marker, class.stream),
        tokens,
        due: Instant::now(),
        limits: WaitLimits {
            timeout: Duration::from_millis(class.timeout_ms),
            give_up: give_up.map(|give_up| Duration::from_millis(give_up.after_ms)),
        },
    }
}
