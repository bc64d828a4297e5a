//! What instances tell one that has just started about the speeds of servers.

use std::cmp::Reverse;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::UsualPace;
use serde::Deserialize;
use serde::Serialize;

use super::Fleet;

/// Maximum number of servers that a starting instance is told by another one: what four datagrams hold.
/// Of more, those that differ most from usual ones matter most.
const MAX_TOLD: usize = 600;

/// Minimum number of reports by which others are told the usual pace of a server. A single one may be
/// of a moment in which its machine was shared.
const MIN_REPORTS: u8 = 2;

/// How long work usually takes on a server, by its reports to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// Hash of the server's name.
    pub server: u32,
    /// Its usual pace.
    pub pace: UsualPace,
}

impl Fleet {
    /// The usual paces of servers that differ from those of usual ones, the most unusual first.
    pub fn unusual_paces(&self) -> Vec<ServerPace> {
        let paces = self.servers.iter().filter_map(|(key, server)| {
            let pace = self.usual_pace(key)?;
            let is_unusual = pace.percent != UsualPace::PUBLISHED.percent;
            let is_told = pace.reports >= MIN_REPORTS && is_unusual;
            let server = server.hash;
            is_told.then_some(ServerPace { server, pace })
        });
        let mut paces: Vec<ServerPace> = paces.collect();
        paces.sort_by_key(|told| (Reverse(ratio(told.pace.percent)), told.server));
        paces.truncate(MAX_TOLD);
        paces
    }

    /// Takes over the usual paces that another instance knows, of servers that have reported less to
    /// this one.
    pub fn adopt_paces(&mut self, paces: &[ServerPace], now: Millis) {
        self.update_routers(now);
        for told in paces {
            let Some(&key) = self.hashes.get(&told.server) else {
                continue;
            };
            let server = &self.servers[key];
            if let Some(service) = self.services.get_mut(&server.record.service) {
                service.router.adopt_pace(key, told.pace, now);
            }
        }
    }

    fn usual_pace(&self, key: ServerKey) -> Option<UsualPace> {
        let service = self.services.get(&self.servers[key].record.service)?;
        service.router.usual_pace(key)
    }
}

/// How many times a pace is slower or faster than the published one, in percent.
fn ratio(percent: u16) -> u32 {
    let percent = u32::from(percent.max(1));
    percent.max(10_000 / percent)
}
