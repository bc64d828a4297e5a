//! Several entry instances at one site, listed by the platform.

use std::net::SocketAddr;
use std::net::TcpListener;

use async_std::task;
use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::PlatformCommand;
use crocushold_standins::Role;

use super::entry::Entry;
use super::site::Site;

/// An instance of a fleet: its process, and its fixed addresses.
pub struct Member {
    pub name: String,
    pub peer: SocketAddr,
    pub entry: Option<Entry>,
}

/// Entry instances that know each other.
pub struct Fleet<'a> {
    site: &'a Site,
    pub members: Vec<Member>,
}

impl<'a> Fleet<'a> {
    /// Lists `count` instances at the platform and starts them all.
    pub fn start(site: &'a Site, count: usize) -> Fleet<'a> {
        let members = (0..count).map(|number| Member {
            name: format!("entry-{number}"),
            peer: free_address(),
            entry: None,
        });
        let mut fleet = Fleet {
            site,
            members: members.collect(),
        };
        fleet.publish();
        for number in 0..count {
            fleet.spawn(number);
        }
        fleet.wait_ready();
        fleet
    }

    /// Publishes the instance list.
    pub fn publish(&self) {
        let instances = self.members.iter().map(|member| Instance {
            id: member.name.clone(),
            role: Role::Entry,
            service: String::new(),
            zone: "zone-a".to_owned(),
            address: member.peer.to_string(),
            peer_address: member.peer.to_string(),
            state: InstanceState::Live,
        });
        let instances = instances.collect();
        let command = PlatformCommand::Instances { instances };
        task::block_on(self.site.platform.command(command)).unwrap();
    }

    /// Starts the process of one member, without waiting.
    pub fn spawn(&mut self, number: usize) {
        let member = &mut self.members[number];
        let args = self.site.args_at(&member.name, member.peer);
        member.entry = Some(Entry::start(&args));
    }

    /// A member's process.
    pub fn entry(&self, number: usize) -> &Entry {
        self.members[number].entry.as_ref().unwrap()
    }

    /// Waits until every running member serves.
    pub fn wait_ready(&self) {
        for entry in self.running() {
            entry.wait_ready();
        }
    }

    /// Waits until every running member shows a text in its status.
    pub fn wait_status(&self, text: &str) {
        for entry in self.running() {
            entry.wait_for("/status", |answer| answer.body.contains(text));
        }
    }

    /// The members whose processes run.
    pub fn running(&self) -> impl Iterator<Item = &Entry> {
        self.members
            .iter()
            .filter_map(|member| member.entry.as_ref())
    }
}

/// An address whose port was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(super::any_address()).unwrap();
    listener.local_addr().unwrap()
}
