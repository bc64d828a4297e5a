//! Reads of what the platform publishes, on behalf of the peers' node and of the routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_std::channel::Receiver;
use async_std::task;
use crocushold_base::Event;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::ListedInstance;
use crocushold_peers::PartText;
use crocushold_peers::PeerHandle;
use crocushold_peers::PlatformRead;
use crocushold_peers::PlatformRequest;
use crocushold_peers::ReadFailed;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Failure;
use crocushold_platform::Fetch;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::HttpFetch;
use crocushold_platform::InstancePoller;
use crocushold_platform::PollerSettings;
use crocushold_platform::Reply;
use crocushold_platform::Shell;
use crocushold_platform::Update;
use crocushold_platform::read;
use crocushold_platform::run;
use crocushold_platform::wire::InstanceEntry;
use crocushold_platform::wire::InstanceList;
use crocushold_platform::wire::InstanceRole;
use crocushold_platform::wire::InstanceState;
use futures::channel::mpsc;
use log::debug;
use log::info;

use crate::shared::Shared;

/// The platform's addresses; the next one is tried after a failure.
#[derive(Debug)]
pub(crate) struct Addresses {
    all: Vec<SocketAddr>,
    at: AtomicUsize,
}

impl Addresses {
    /// `None` without an address.
    pub(crate) fn new(all: &[SocketAddr]) -> Option<Arc<Addresses>> {
        (!all.is_empty()).then(|| {
            Arc::new(Addresses {
                all: all.to_vec(),
                at: AtomicUsize::new(0),
            })
        })
    }

    fn current(&self) -> String {
        self.all[self.at.load(Ordering::Relaxed) % self.all.len()].to_string()
    }

    fn advance(&self) {
        self.at.fetch_add(1, Ordering::Relaxed);
    }
}

/// Makes the reads that the peers' node asks for, each in a task of its own: a watch waits for
/// seconds, and the parts must not wait behind it.
pub(crate) async fn make_reads(
    shared: Arc<Shared>,
    peers: PeerHandle,
    addresses: Arc<Addresses>,
    requests: Receiver<PlatformRequest>,
) {
    while let Ok(request) = requests.recv().await {
        let shared = shared.clone();
        let peers = peers.clone();
        let addresses = addresses.clone();
        task::spawn(async move {
            let shell = shell(&shared, addresses.current());
            let read = make_read(&shell, request).await;
            if is_failure(&read) {
                addresses.advance();
            }
            peers.platform_read(read);
        });
    }
}

fn shell(shared: &Shared, address: String) -> Shell<HttpFetch> {
    Shell {
        fetch: HttpFetch::new(shared.client.clone()),
        address,
        clock: shared.clock,
    }
}

fn is_failure(read: &PlatformRead) -> bool {
    match read {
        PlatformRead::Index(result) => result.is_err(),
        PlatformRead::Part(_, result) => result.is_err(),
    }
}

async fn make_read(shell: &Shell<HttpFetch>, request: PlatformRequest) -> PlatformRead {
    match request {
        PlatformRequest::ReadIndex => read_index(shell, Call::Index).await,
        PlatformRequest::WatchIndex { after, wait } => {
            read_index(shell, Call::Watch { after, wait }).await
        }
        PlatformRequest::ReadPart(team) => {
            let call = Call::Part {
                team: team.to_string(),
            };
            let result = read(shell, &call).await.map_err(|failure| failed(&failure));
            let part = result.and_then(|answer| part_of(&team, answer));
            PlatformRead::Part(team, part)
        }
    }
}

async fn read_index(shell: &Shell<HttpFetch>, call: Call) -> PlatformRead {
    let result = read(shell, &call).await.map_err(|failure| failed(&failure));
    PlatformRead::Index(result.and_then(index_of))
}

fn failed(failure: &Failure) -> ReadFailed {
    debug!(
        "{}",
        Event::new("platform-read-failed").with("cause", failure)
    );
    ReadFailed {
        retry_after: match failure {
            Failure::Throttled { retry_after } => *retry_after,
            _ => None,
        },
    }
}

fn index_of(answer: Answer) -> Result<Index, ReadFailed> {
    let Answer::Index(index) = answer else {
        return Err(ReadFailed::default());
    };
    let parts = index.parts.into_iter().map(|part| IndexEntry {
        team: part.team.into(),
        revision: part.revision,
    });
    Ok(Index {
        revision: index.revision,
        parts: parts.collect(),
    })
}

fn part_of(team: &Arc<str>, answer: Answer) -> Result<PartText, ReadFailed> {
    let Answer::Part(part) = answer else {
        return Err(ReadFailed::default());
    };
    Ok(PartText {
        team: team.clone(),
        revision: part.revision,
        text: part.text.into(),
    })
}

/// Polls the instance list and hands it to the peers' node and to the routers.
pub(crate) async fn poll_instances(
    shared: Arc<Shared>,
    peers: PeerHandle,
    addresses: Arc<Addresses>,
) {
    let settings = PollerSettings {
        seed: shared.seed,
        ..PollerSettings::default()
    };
    let shell = Shell {
        fetch: Rotating {
            fetch: HttpFetch::new(shared.client.clone()),
            addresses,
        },
        address: String::new(),
        clock: shared.clock,
    };
    // Kept open: the poller runs as long as the process.
    let (_events, inbox) = mpsc::channel(1);
    let mut latest = InstanceList::default();
    let publish = |_: &InstancePoller, update: Update| match update {
        Update::Instances(list) => {
            take_list(&shared, &peers, &list);
            latest = list;
        }
        // Given to the routers again: a configuration that came into force since may have brought
        // servers that the list calls leaving, and the routers count the age of the list from here.
        Update::Unchanged => shared.world().take_list(&latest),
        Update::Unavailable => shared.world().list_unavailable(),
        Update::Report(report) => {
            info!("{}", Event::new("instance-list").with("report", &report));
        }
    };
    run(InstancePoller::new(settings), &shell, inbox, publish).await;
}

/// Reads from whichever of the platform's addresses answered last.
struct Rotating {
    fetch: HttpFetch,
    addresses: Arc<Addresses>,
}

impl Fetch for Rotating {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        let address = self.addresses.current();
        let reply = self.fetch.get(Get { address, ..get }).await;
        if reply.is_err() {
            self.addresses.advance();
        }
        reply
    }
}

fn take_list(shared: &Shared, peers: &PeerHandle, list: &InstanceList) {
    let entries = list.instances.iter();
    peers.instance_list(entries.filter_map(listed_peer).collect());
    shared.coordinator.take_list(entry_names(list));
    shared.world().take_list(list);
}

fn entry_names(list: &InstanceList) -> impl Iterator<Item = &str> {
    let entries = list.instances.iter();
    let entries = entries.filter(|entry| entry.role == InstanceRole::Entry);
    entries.map(|entry| entry.id.as_str())
}

fn listed_peer(entry: &InstanceEntry) -> Option<ListedInstance> {
    if entry.role != InstanceRole::Entry {
        return None;
    }
    let address = entry.peer_address?;
    Some(ListedInstance {
        instance: crocushold_peers::Instance::new(&entry.id, address, &entry.zone),
        leaving: entry.state != InstanceState::Live,
    })
}
