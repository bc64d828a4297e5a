//! Bytes and packets on the sockets between a cluster's processes, from the kernel's counters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::Command;

use crocushold_measure::MeasureResult;

/// Header bytes per packet: 18 for Ethernet with its frame check sequence, 20 for IPv4, 32 for TCP
/// with timestamps. The 20 bytes of preamble and interframe gap aren't counted.
const PACKET_HEADERS: f64 = 70.0;

/// TCP payload in bytes of a full Ethernet packet. On loopback a packet carries up to 64 KiB.
const SEGMENT_PAYLOAD: f64 = 1448.0;

/// Ports of a cluster by the kind of the listening process.
#[derive(Default)]
pub(crate) struct Ports {
    pub(crate) peers: BTreeSet<u16>,
    pub(crate) platform: u16,
    pub(crate) servers: BTreeSet<u16>,
}

/// Traffic of sockets in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flow {
    /// Payload bytes.
    pub(crate) bytes: f64,
    /// Packets, including acknowledgements.
    pub(crate) packets: f64,
}

impl Flow {
    fn add(&mut self, other: Flow) {
        self.bytes += other.bytes;
        self.packets += other.packets;
    }

    /// Bytes on Ethernet, with headers.
    pub(crate) fn wire_bytes(self) -> f64 {
        self.bytes + self.packets * PACKET_HEADERS
    }
}

/// Counters of the open sockets by their local and remote addresses. The kernel drops the counters
/// of closed sockets, so each reading holds only those that are open.
#[derive(Default)]
pub(crate) struct Flows {
    open: BTreeMap<String, (RemoteKind, Flow)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemoteKind {
    Peers,
    Platform,
    Servers,
}

/// Total traffic of all instances by the kind of the remote process.
#[derive(Default)]
pub(crate) struct FlowTotals {
    pub(crate) peers: Flow,
    pub(crate) platform: Flow,
    pub(crate) servers: Flow,
}

impl Flows {
    /// Reads the counters of all sockets that belong to the instances: both ends of connections
    /// between peers, and the local end of connections to the platform and servers.
    ///
    /// # Errors
    ///
    /// Fails when `ss` can't be run.
    pub(crate) fn read(ports: &Ports) -> MeasureResult<Flows> {
        let output = Command::new("ss").arg("-HtniO").output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let sockets = text.lines().filter_map(|line| parse_socket(line, ports));
        Ok(Flows {
            open: sockets.collect(),
        })
    }

    /// The traffic since an earlier reading.
    pub(crate) fn since(&self, before: &Flows) -> FlowTotals {
        let mut totals = FlowTotals::default();
        for (key, (kind, flow)) in &self.open {
            let earlier = before.open.get(key).map_or(Flow::default(), |(_, f)| *f);
            let total = match kind {
                RemoteKind::Peers => &mut totals.peers,
                RemoteKind::Platform => &mut totals.platform,
                RemoteKind::Servers => &mut totals.servers,
            };
            total.add(Flow {
                bytes: flow.bytes - earlier.bytes,
                packets: flow.packets - earlier.packets,
            });
        }
        totals
    }
}

fn parse_socket(line: &str, ports: &Ports) -> Option<(String, (RemoteKind, Flow))> {
    let mut fields = line.split_whitespace().skip(3);
    let local = fields.next()?;
    let remote = fields.next()?;
    let kind = classify(parse_port(local)?, parse_port(remote)?, ports)?;
    let sent = counter(line, "bytes_sent:");
    let received = counter(line, "bytes_received:");
    let segments = counter(line, "segs_out:") + counter(line, "segs_in:");
    // A large loopback packet would be split into several on Ethernet.
    let data_packets = counter(line, "data_segs_out:") + counter(line, "data_segs_in:");
    let extra_packets = ((sent + received) / SEGMENT_PAYLOAD - data_packets).max(0.0);
    let flow = Flow {
        bytes: sent + received,
        packets: segments + extra_packets,
    };
    Some((format!("{local} {remote}"), (kind, flow)))
}

fn classify(local: u16, remote: u16, ports: &Ports) -> Option<RemoteKind> {
    if ports.peers.contains(&local) || ports.peers.contains(&remote) {
        Some(RemoteKind::Peers)
    } else if remote == ports.platform {
        Some(RemoteKind::Platform)
    } else if ports.servers.contains(&remote) {
        Some(RemoteKind::Servers)
    } else {
        None
    }
}

fn parse_port(address: &str) -> Option<u16> {
    address.rsplit_once(':')?.1.parse().ok()
}

fn counter(line: &str, name: &str) -> f64 {
    let mut words = line.split_whitespace();
    let value = words.find_map(|word| word.strip_prefix(name));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
