//! Reads the data that the platform publishes, for the peer node and for the routers.

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

/// Addresses of the platform, tried in turn after failures.
#[derive(Debug)]
pub(crate) struct Addresses {
    all: Vec<SocketAddr>,
    at: AtomicUsize,
}

impl Addresses {
    /// Returns `None` if there is no address.
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

/// Executes the reads that the peer node requests, each in its own task: a watch waits for seconds
/// and must not delay the reads of parts.
pub(crate) async fn run_reads(
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
            let read = run_read(&shell, request).await;
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

async fn run_read(shell: &Shell<HttpFetch>, request: PlatformRequest) -> PlatformRead {
    match request {
        PlatformRequest::ReadIndex => read_index(shell, Call::Index).await,
        PlatformRequest::WatchIndex { after, wait } => {
            read_index(shell, Call::Watch { after, wait }).await
        }
        PlatformRequest::ReadPart(team) => {
            let call = Call::Part {
                team: team.to_string(),
            };
            let result = read(shell, &call)
                .await
                .map_err(|failure| read_failed(&failure));
            let part = result.and_then(|answer| part_of(&team, answer));
            PlatformRead::Part(team, part)
        }
    }
}

async fn read_index(shell: &Shell<HttpFetch>, call: Call) -> PlatformRead {
    let result = read(shell, &call)
        .await
        .map_err(|failure| read_failed(&failure));
    PlatformRead::Index(result.and_then(index_of))
}

fn read_failed(failure: &Failure) -> ReadFailed {
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

/// Polls the instance list and passes it to the peer node and to the routers.
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
        fetch: FailoverFetch {
            fetch: HttpFetch::new(shared.client.clone()),
            addresses,
        },
        address: String::new(),
        clock: shared.clock,
    };
    // Kept open, since the poller runs as long as the process.
    let (_events, inbox) = mpsc::channel(1);
    let mut latest = InstanceList::default();
    let publish = |_: &InstancePoller, update: Update| match update {
        Update::Instances(list) => {
            on_instance_list(&shared, &peers, &list);
            latest = list;
        }
        // Passed on even though it is unchanged: a configuration activated since then may have
        // added servers that the list reports as leaving, and the routers measure the age of the
        // list from here.
        Update::Unchanged => shared.config().on_instance_list(&latest),
        Update::Unavailable => shared.config().list_unavailable(),
        Update::Report(report) => {
            info!("{}", Event::new("instance-list").with("report", &report));
        }
    };
    run(InstancePoller::new(settings), &shell, inbox, publish).await;
}

/// Fetches from the platform address that last replied.
struct FailoverFetch {
    fetch: HttpFetch,
    addresses: Arc<Addresses>,
}

impl Fetch for FailoverFetch {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        let address = self.addresses.current();
        let reply = self.fetch.get(Get { address, ..get }).await;
        if reply.is_err() {
            self.addresses.advance();
        }
        reply
    }
}

fn on_instance_list(shared: &Shared, peers: &PeerHandle, list: &InstanceList) {
    let entries = list.instances.iter();
    peers.instance_list(entries.filter_map(listed_peer).collect());
    shared.coordinator.on_instance_list(entry_names(list));
    shared.config().on_instance_list(list);
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
