//! Four nodes on loopback in one process: they find each other, a part of the configuration changes
//! and is put in force on all of them, one node leaves, and the others notice.
//!
//! `cargo run -p crocushold-peers --example embed`

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::Instance;
use crocushold_peers::ListedInstance;
use crocushold_peers::PartText;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::PlatformRead;
use crocushold_peers::PlatformRequest;
use crocushold_peers::RefuseAll;
use crocushold_peers::Settings;
use crocushold_peers::SharedKey;
use crocushold_peers::Started;

/// Maximum duration of a step before the example fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The platform's configuration: one part.
#[derive(Debug)]
struct Platform {
    revision: u64,
    text: &'static str,
}

impl Platform {
    fn index(&self) -> Index {
        Index {
            revision: self.revision,
            parts: vec![IndexEntry {
                team: Arc::from("clara"),
                revision: self.revision,
            }],
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let platform = Arc::new(Mutex::new(Platform {
        revision: 1,
        text: "[service chat]",
    }));
    let mut handles = Vec::new();
    for number in 1..=4 {
        let started = start(number)?;
        let platform = platform.clone();
        handles.push(started.handle.clone());
        task::spawn(serve_platform(started, platform));
    }
    task::block_on(show(&handles, &platform))
}

fn start(number: u64) -> Result<Started, Box<dyn Error>> {
    let address: SocketAddr = "127.0.0.1:0".parse()?;
    let zone = if number.is_multiple_of(2) {
        "stgo-a"
    } else {
        "stgo-b"
    };
    let me = Instance::new(&format!("entry-{number}"), address, zone);
    let key = SharedKey::new(b"an example's key");
    let settings = Settings::new(me, key, number, number);
    Ok(PeerNode::start(settings, Arc::new(RefuseAll))?)
}

/// Serves a node's platform reads, as the embedder's HTTP client would.
async fn serve_platform(started: Started, platform: Arc<Mutex<Platform>>) {
    while let Ok(request) = started.platform.recv().await {
        let handle = started.handle.clone();
        let platform = platform.clone();
        task::spawn(async move {
            let read = read(&platform, request).await;
            handle.platform_read(read);
        });
    }
}

async fn read(platform: &Mutex<Platform>, request: PlatformRequest) -> PlatformRead {
    match request {
        PlatformRequest::ReadIndex => PlatformRead::Index(Ok(lock(platform).index())),
        PlatformRequest::WatchIndex { after, wait } => {
            let began = Instant::now();
            while lock(platform).revision <= after && began.elapsed() < Duration::from(wait) {
                task::sleep(Duration::from_millis(5)).await;
            }
            PlatformRead::Index(Ok(lock(platform).index()))
        }
        PlatformRequest::ReadPart(team) => {
            let platform = lock(platform);
            let part = PartText {
                team: team.clone(),
                revision: platform.revision,
                text: Arc::from(platform.text),
            };
            PlatformRead::Part(team, Ok(part))
        }
    }
}

fn lock(platform: &Mutex<Platform>) -> std::sync::MutexGuard<'_, Platform> {
    platform.lock().expect("no holder panics")
}

async fn show(handles: &[PeerHandle], platform: &Mutex<Platform>) -> Result<(), Box<dyn Error>> {
    let listed: Vec<ListedInstance> = handles
        .iter()
        .map(|handle| ListedInstance {
            instance: handle.me().clone(),
            leaving: false,
        })
        .collect();
    for handle in handles {
        handle.instance_list(listed.clone());
    }
    let all = |count| move |handle: &PeerHandle| handle.view().live() == count;
    let at = |revision| {
        move |handle: &PeerHandle| handle.config().is_some_and(|c| c.revision == revision)
    };
    wait_until("all four see each other", handles, all(4)).await?;
    wait_until("all four have revision 1 in force", handles, at(1)).await?;
    {
        let mut platform = lock(platform);
        platform.revision = 2;
        platform.text = "[service chat]\npriority = 1";
    }
    wait_until("all four have revision 2 in force", handles, at(2)).await?;
    let (leaver, rest) = handles.split_last().ok_or("no nodes")?;
    leaver.leave().await;
    leaver.stop().await;
    wait_until("the other three saw it leave", rest, all(3)).await?;
    for handle in rest {
        let view = handle.view();
        println!(
            "{}: index {:?} of {}, view digest {:016x}",
            handle.me().id,
            view.index(),
            view.live(),
            view.digest
        );
        handle.stop().await;
    }
    Ok(())
}

async fn wait_until(
    what: &str,
    handles: &[PeerHandle],
    holds: impl Fn(&PeerHandle) -> bool,
) -> Result<(), Box<dyn Error>> {
    let began = Instant::now();
    while !handles.iter().all(&holds) {
        if began.elapsed() > TIMEOUT {
            return Err(format!("timed out: {what}").into());
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    println!("{what}: {} ms", began.elapsed().as_millis());
    Ok(())
}
