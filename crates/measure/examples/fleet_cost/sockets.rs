//! Bytes and packets of the sockets between a site's processes, as the kernel counts them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::Command;

use crocushold_measure::MeasureResult;

/// Bytes of a packet besides its payload: Ethernet with check sequence 18, IPv4 20, TCP with time
/// stamps 32. Preamble and gap between frames (20) aren't counted.
const HEADERS: f64 = 70.0;

/// Payload of a full packet on Ethernet. Loopback carries up to 64 KiB in one.
const SEGMENT: f64 = 1448.0;

/// Ports of a site by what listens there.
#[derive(Default)]
pub(crate) struct Ports {
    pub(crate) peers: BTreeSet<u16>,
    pub(crate) platform: u16,
    pub(crate) servers: BTreeSet<u16>,
}

/// What went through sockets, both directions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flow {
    /// Payload.
    pub(crate) bytes: f64,
    /// Packets, acknowledgements among them.
    pub(crate) packets: f64,
}

impl Flow {
    fn add(&mut self, other: Flow) {
        self.bytes += other.bytes;
        self.packets += other.packets;
    }

    /// Bytes on Ethernet.
    pub(crate) fn wire(self) -> f64 {
        self.bytes + self.packets * HEADERS
    }
}

/// Sockets by their two addresses: counters of one that closed are lost, so that each reading keeps
/// what is open.
#[derive(Default)]
pub(crate) struct Flows {
    open: BTreeMap<String, (Kind, Flow)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Peers,
    Platform,
    Servers,
}

/// Flows of all instances, by the other end.
#[derive(Default)]
pub(crate) struct Sums {
    pub(crate) peers: Flow,
    pub(crate) platform: Flow,
    pub(crate) servers: Flow,
}

impl Flows {
    /// Reads the counters of all sockets that belong to the instances: both ends between peers, and
    /// the near end towards platform and servers.
    pub(crate) fn read(ports: &Ports) -> MeasureResult<Flows> {
        let output = Command::new("ss").arg("-HtniO").output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let sockets = text.lines().filter_map(|line| socket(line, ports));
        Ok(Flows {
            open: sockets.collect(),
        })
    }

    /// What went through since an earlier reading.
    pub(crate) fn since(&self, before: &Flows) -> Sums {
        let mut sums = Sums::default();
        for (key, (kind, flow)) in &self.open {
            let past = before.open.get(key).map_or(Flow::default(), |(_, f)| *f);
            let sum = match kind {
                Kind::Peers => &mut sums.peers,
                Kind::Platform => &mut sums.platform,
                Kind::Servers => &mut sums.servers,
            };
            sum.add(Flow {
                bytes: flow.bytes - past.bytes,
                packets: flow.packets - past.packets,
            });
        }
        sums
    }
}

fn socket(line: &str, ports: &Ports) -> Option<(String, (Kind, Flow))> {
    let mut fields = line.split_whitespace().skip(3);
    let local = fields.next()?;
    let remote = fields.next()?;
    let kind = kind(port(local)?, port(remote)?, ports)?;
    let sent = field(line, "bytes_sent:");
    let received = field(line, "bytes_received:");
    let segments = field(line, "segs_out:") + field(line, "segs_in:");
    // What loopback carried in one large packet is several on Ethernet.
    let data = field(line, "data_segs_out:") + field(line, "data_segs_in:");
    let split = ((sent + received) / SEGMENT - data).max(0.0);
    let flow = Flow {
        bytes: sent + received,
        packets: segments + split,
    };
    Some((format!("{local} {remote}"), (kind, flow)))
}

fn kind(local: u16, remote: u16, ports: &Ports) -> Option<Kind> {
    if ports.peers.contains(&local) || ports.peers.contains(&remote) {
        Some(Kind::Peers)
    } else if remote == ports.platform {
        Some(Kind::Platform)
    } else if ports.servers.contains(&remote) {
        Some(Kind::Servers)
    } else {
        None
    }
}

fn port(address: &str) -> Option<u16> {
    address.rsplit_once(':')?.1.parse().ok()
}

fn field(line: &str, name: &str) -> f64 {
    let mut words = line.split_whitespace();
    let value = words.find_map(|word| word.strip_prefix(name));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
