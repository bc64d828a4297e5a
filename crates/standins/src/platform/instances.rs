//! The instance list, whose changes become visible after a delay.

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry instance.
    Entry,
    /// A backend server.
    Server,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop; receives no new work.
    Leaving,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Identifier, unique in the fleet.
    pub id: String,
    /// Role of the instance.
    pub role: Role,
    /// Service that a backend server belongs to; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address for clients, `ip:port`.
    pub address: String,
    /// Address for peers, `ip:port`; empty for a backend server.
    #[serde(default)]
    pub peer_address: String,
    /// Lifecycle state.
    pub state: InstanceState,
}

/// The response to `GET /v1/instances`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct InstanceList {
    revision: u64,
    instances: Vec<Instance>,
}

#[derive(Debug)]
struct Change {
    /// Time of the change; `None` for the initial list, which is always visible.
    changed_at: Option<Millis>,
    list: InstanceList,
}

/// The visible list and the changes that aren't visible yet.
#[derive(Debug)]
pub(super) struct DelayedInstanceList {
    lag: Millis,
    changes: Vec<Change>,
}

impl DelayedInstanceList {
    /// Creates a list that is visible immediately.
    pub(super) fn new(instances: Vec<Instance>) -> DelayedInstanceList {
        let list = InstanceList {
            revision: 1,
            instances,
        };
        let first = Change {
            changed_at: None,
            list,
        };
        DelayedInstanceList {
            lag: Millis::ZERO,
            changes: vec![first],
        }
    }

    pub(super) fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Replaces the list; visible after the lag.
    pub(super) fn set(&mut self, instances: Vec<Instance>, now: Millis) {
        let list = InstanceList {
            revision: self.newest().revision + 1,
            instances,
        };
        let changed_at = Some(now);
        self.changes.push(Change { changed_at, list });
    }

    /// Changes the state of an instance; visible after the lag.
    pub(super) fn set_state(&mut self, id: &str, state: InstanceState, now: Millis) {
        let mut instances = self.newest().instances.clone();
        for instance in instances.iter_mut().filter(|i| i.id == id) {
            instance.state = state;
        }
        self.set(instances, now);
    }

    /// Returns the list visible at `now`.
    pub(super) fn view(&mut self, now: Millis) -> &InstanceList {
        let lag = self.lag;
        let is_visible = |change: &Change| {
            change
                .changed_at
                .is_none_or(|changed_at| changed_at + lag <= now)
        };
        let visible = self.changes.iter().rposition(is_visible).unwrap_or(0);
        self.changes.drain(..visible);
        &self.changes[0].list
    }

    fn newest(&self) -> &InstanceList {
        let last = self.changes.last();
        &last.expect("the first list is never removed").list
    }
}
