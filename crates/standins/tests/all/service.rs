//! The plain service over HTTP.

use crocushold_standins::Handle;
use crocushold_standins::PlainService;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceFault;
use crocushold_standins::ServiceSettings;
use test_case::test_case;

use crate::wire;

#[async_std::test]
async fn effects_are_counted_by_key() {
    let service = service().await;
    for _ in 0..2 {
        assert_eq!(
            book(&service, "idempotency-key: slot-1\r\n").await.status,
            200
        );
    }
    let reply = book(&service, "x-marker: slot-2\r\n").await;
    assert_eq!(reply.json()["marker"], "slot-2");
    assert_eq!(
        (service.effects("slot-1"), service.effects("slot-2")),
        (2, 1)
    );
    let stats = wire::get(service.addr(), "/control/stats").await.json();
    assert_eq!(stats["repeated"]["slot-1"], 2);
}

/// A request fails, and the client can't tell from the failure whether the side effect took place;
/// the number of effects differs by fault.
#[test_case(ServiceFault::DropAfter, 1; "dropped after the effect")]
#[test_case(ServiceFault::CrashAfter, 1; "crashed after the effect")]
#[test_case(ServiceFault::Unavailable, 0; "refused without an effect")]
#[async_std::test]
async fn fault_is_injected_before_or_after_the_effect(fault: ServiceFault, effects: u64) {
    let service = service().await;
    let times = Some(1);
    let command = ServiceCommand::Fault { fault, times };
    service.command(command).await.unwrap();
    let reply = book(&service, "x-marker: slot\r\n").await;
    assert_ne!(reply.status, 200);
    assert_eq!(service.effects("slot"), effects);
    service.command(ServiceCommand::Restart).await.unwrap();
    assert_eq!(book(&service, "x-marker: slot\r\n").await.status, 200);
    assert_eq!(service.effects("slot"), effects + 1);
}

#[test_case(ServiceFault::HangBefore, 0; "before the effect")]
#[test_case(ServiceFault::HangAfter, 1; "after the effect")]
#[async_std::test]
async fn hung_request_ends_when_its_client_disconnects(fault: ServiceFault, effects: u64) {
    let service = service().await;
    let command = ServiceCommand::Fault { fault, times: None };
    service.command(command).await.unwrap();
    let request = wire::post_request("/book", "x-marker: slot\r\n", "{}");
    let conn = wire::send(service.addr(), &request).await;
    wire::wait_until("the request runs", || service.stats().running == 1).await;
    wire::wait_until("the effect", || service.effects("slot") == effects).await;
    drop(conn);
    wire::wait_until("the request ends", || service.stats().running == 0).await;
    assert_eq!(service.effects("slot"), effects);
}

async fn service() -> Handle<PlainService> {
    let settings = ServiceSettings::default();
    PlainService::start(wire::any_address(), settings)
        .await
        .unwrap()
}

async fn book(service: &Handle<PlainService>, headers: &str) -> wire::RawResponse {
    wire::post(service.addr(), "/book/slot", headers, "{}").await
}
