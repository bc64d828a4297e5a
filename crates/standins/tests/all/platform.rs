//! The platform over HTTP.

use async_std::task;
use crocushold_standins::Handle;
use crocushold_standins::Platform;
use crocushold_standins::PlatformCommand;
use crocushold_standins::PlatformSettings;
use futures::FutureExt;

use crate::wire;

#[async_std::test]
async fn index_and_part_carry_their_revisions() {
    let platform = platform(2000).await;
    publish(&platform, "[a]\n").await;
    let index = wire::get(platform.addr(), "/v1/config").await.json();
    assert_eq!(index["revision"], 1);
    assert_eq!(index["parts"][0]["bytes"], 4);
    let part = wire::get(platform.addr(), "/v1/config/parts/clara").await;
    assert_eq!(part.body, "[a]\n");
    assert!(part.head.contains("x-revision: 1"), "{}", part.head);
    assert!(part.head.contains("x-text-revision: 1"), "{}", part.head);
    let missing = wire::get(platform.addr(), "/v1/config/parts/other").await;
    assert_eq!(missing.status, 404);
}

#[async_std::test]
async fn read_beyond_the_budget_gets_a_retry_after() {
    let platform = platform(1).await;
    // A window may end between two of three reads, but not twice.
    let mut last = wire::get(platform.addr(), "/v1/config").await;
    for _ in 0..2 {
        if last.status == 200 {
            last = wire::get(platform.addr(), "/v1/instances").await;
        }
    }
    assert_eq!(last.status, 429);
    assert!(last.head.contains("retry-after: 1"), "{}", last.head);
    let stats = wire::get(platform.addr(), "/control/stats").await.json();
    assert_eq!(stats["refused"], 1);
}

#[async_std::test]
async fn watch_completes_on_a_change_and_counts_once() {
    let platform = platform(2000).await;
    let watch = task::spawn(wire::get(
        platform.addr(),
        "/v1/config/watch?after=0&wait-ms=60000",
    ));
    wire::wait_until("the watch waits", || platform.stats().waiting == 1).await;
    publish(&platform, "[a]\n").await;
    assert_eq!(watch.await.json()["revision"], 1);
    assert_eq!((platform.stats().reads, platform.stats().waiting), (1, 0));
}

#[async_std::test]
async fn watch_without_a_change_returns_the_unchanged_index() {
    let platform = platform(2000).await;
    let path = "/v1/config/watch?after=0&wait-ms=20";
    assert_eq!(wire::get(platform.addr(), path).await.json()["revision"], 0);
}

/// A frozen platform accepts connections without responding, also to a watch that started before
/// the freeze. The responses follow when the fault ends.
#[async_std::test]
async fn frozen_platform_responds_only_after_the_fault_ends() {
    let platform = platform(2000).await;
    let watch = "/v1/config/watch?after=0&wait-ms=60000";
    let mut watch = task::spawn(wire::get(platform.addr(), watch));
    wire::wait_until("the watch waits", || platform.stats().waiting == 1).await;
    command(&platform, PlatformCommand::Frozen { on: true }).await;
    publish(&platform, "[a]\n").await;
    wire::wait_until("the watch sees it", || platform.stats().waiting == 0).await;
    let mut index = task::spawn(wire::get(platform.addr(), "/v1/config"));
    // The control listener has responded, so the public one has had time to respond as well.
    assert_eq!(
        wire::get(platform.control_addr(), "/control/stats")
            .await
            .status,
        200
    );
    assert!((&mut watch).now_or_never().is_none());
    assert!((&mut index).now_or_never().is_none());
    command(&platform, PlatformCommand::Frozen { on: false }).await;
    assert_eq!(watch.await.json()["revision"], 1);
    assert_eq!(index.await.json()["revision"], 1);
}

/// When the platform goes down, a pending watch is closed and new connections are refused. Only a
/// command on the control listener can bring it back, at the same address.
#[async_std::test]
async fn down_platform_refuses_connections_until_it_is_up() {
    let platform = platform(2000).await;
    let watch = "/v1/config/watch?after=0&wait-ms=60000";
    let watch = task::spawn(wire::get(platform.addr(), watch));
    wire::wait_until("the watch waits", || platform.stats().waiting == 1).await;
    control(&platform, r#"{"kind":"down","on":true}"#).await;
    assert_eq!(watch.await.status, 0);
    let refused = async_std::net::TcpStream::connect(platform.addr()).await;
    assert!(refused.is_err());
    control(&platform, r#"{"kind":"down","on":false}"#).await;
    assert_eq!(wire::get(platform.addr(), "/v1/config").await.status, 200);
}

#[async_std::test]
async fn unknown_path_and_malformed_command_are_refused() {
    let platform = platform(2000).await;
    assert_eq!(wire::get(platform.addr(), "/v1/other").await.status, 404);
    let reply = wire::post(platform.addr(), "/control", "", r#"{"kind":"explode"}"#).await;
    assert_eq!(reply.status, 400);
}

async fn platform(read_budget: u64) -> Handle<Platform> {
    let settings = PlatformSettings {
        read_budget,
        ..PlatformSettings::default()
    };
    Platform::start(wire::any_address(), settings)
        .await
        .unwrap()
}

async fn publish(platform: &Handle<Platform>, text: &str) {
    let part = PlatformCommand::Part {
        team: "clara".to_owned(),
        text: text.to_owned(),
    };
    command(platform, part).await;
}

async fn command(platform: &Handle<Platform>, command: PlatformCommand) {
    platform.command(command).await.unwrap();
}

async fn control(platform: &Handle<Platform>, body: &str) {
    let reply = wire::post(platform.control_addr(), "/control", "", body).await;
    assert_eq!(reply.status, 204);
}
