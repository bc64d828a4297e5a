//! Servers that asked this instance for rest.
//!
//! A rest binds only the instance that was asked. The placer, which chooses for others, doesn't
//! apply its own rests to their requests; each request for a placement names the servers that rest
//! for its sender.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Rest;

use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet::choose::demand;

/// Maximum number of resting servers in a placement request. The sender checks the reply, so it
/// chooses by itself if one is left out.
const MAX_RESTING: usize = 64;

impl Fleet {
    /// Records that a server rejected a request and asks for a rest of `span`. Returns whether it
    /// wasn't resting.
    pub fn record_rest(&mut self, choice: &Choice, span: Millis, now: Millis) -> bool {
        self.is_current(choice) && self.rests.record(choice.server, span, now)
    }

    /// Hashes of a service's servers that rest, by which other instances identify them.
    pub fn resting(&mut self, service: &str, now: Millis) -> Vec<u32> {
        self.end_rests(now);
        let rests = self.rests.active().iter();
        let servers = rests.filter_map(|rest| self.servers.get(rest.server));
        let servers = servers.filter(|server| server.record.service == service);
        servers
            .take(MAX_RESTING)
            .map(|server| server.hash)
            .collect()
    }

    /// Time until the first rest ends, if all servers that could take the request are resting.
    pub fn rest_wait(&mut self, need: &Need, now: Millis) -> Option<Millis> {
        self.end_rests(now);
        self.update_routers(now);
        let service = self.services.get(&need.service)?;
        let resting = self.rests.active();
        let demand = demand(service, &self.models, need, &[], resting);
        service.router.rest_wait(&demand, now)
    }

    /// Takes the names of the servers whose rest has ended.
    pub fn take_ended_rests(&mut self, now: Millis) -> Vec<Arc<str>> {
        self.end_rests(now);
        std::mem::take(&mut self.ended_rests)
    }

    /// Keeps the rest of a server that is no longer listed. Its entry may only have expired, and the
    /// process be listed again.
    pub(in crate::fleet) fn suspend_rest(&mut self, key: ServerKey) {
        if let Some(until) = self.rests.remove(key) {
            let incarnation = self.servers[key].incarnation;
            self.unlisted_rests.push((incarnation, until));
        }
    }

    /// Resumes the rest of a process that is listed again.
    pub(in crate::fleet) fn resume_rest(&mut self, server: ServerKey) {
        let incarnation = self.servers[server].incarnation;
        let mut unlisted = self.unlisted_rests.iter();
        if let Some(at) = unlisted.position(|(resting, _)| *resting == incarnation) {
            let (_, until) = self.unlisted_rests.swap_remove(at);
            self.rests.restore(Rest { server, until });
        }
    }

    /// Lets the servers whose rest has ended get requests again.
    pub(in crate::fleet) fn end_rests(&mut self, now: Millis) {
        self.unlisted_rests.retain(|(_, until)| now < *until);
        for key in self.rests.take_ended(now) {
            let Some(server) = self.servers.get(key) else {
                continue;
            };
            self.ended_rests.push(server.id.clone());
            if let Some(service) = self.services.get_mut(&server.record.service) {
                service.router.end_rest(key);
            }
        }
    }
}
