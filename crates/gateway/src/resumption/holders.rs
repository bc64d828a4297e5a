//! Which instances hold the origin of a stream.

use std::net::IpAddr;
use std::net::SocketAddr;

use twox_hash::XxHash3_64;

use super::message::StreamKey;

/// Returns up to `count` of the `members` that hold the origin of a stream, by rendezvous hashing:
/// instances that know about the same members agree, and a member that leaves changes only what it
/// held.
pub fn holders(key: StreamKey, members: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = members
        .iter()
        .map(|member| (rank(key, member), *member))
        .collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(count);
    first.map(|(_, member)| member).collect()
}

fn rank(key: StreamKey, member: &SocketAddr) -> u64 {
    let port = u64::from(member.port());
    match member.ip() {
        IpAddr::V4(ip) => XxHash3_64::oneshot_with_seed(key.0 ^ port, &ip.octets()),
        IpAddr::V6(ip) => XxHash3_64::oneshot_with_seed(key.0 ^ port, &ip.octets()),
    }
}
