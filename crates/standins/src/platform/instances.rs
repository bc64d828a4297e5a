//! The instance list, which shows changes late.

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An instance of crocushold.
    Entry,
    /// A backend server.
    Server,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop; it gets no new work.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Name, unique in the fleet.
    pub id: String,
    /// What the instance is for.
    pub role: Role,
    /// The service that a backend server belongs to; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers, `ip:port`.
    pub address: String,
    /// Address for peers, `ip:port`; empty for a backend server.
    #[serde(default)]
    pub peer_address: String,
    /// Whether the instance stays.
    pub state: InstanceState,
}

/// The answer to `GET /v1/instances`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct InstanceList {
    revision: u64,
    instances: Vec<Instance>,
}

#[derive(Debug)]
struct Change {
    /// When it was made; none for the list that shows from the start.
    changed_at: Option<Millis>,
    list: InstanceList,
}

/// The list with the changes that don't show yet.
#[derive(Debug)]
pub(super) struct DelayedInstanceList {
    lag: Millis,
    changes: Vec<Change>,
}

impl DelayedInstanceList {
    /// Starts with a list that shows at once.
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

    /// Replaces the list; it shows when the lag has passed.
    pub(super) fn set(&mut self, instances: Vec<Instance>, now: Millis) {
        let list = InstanceList {
            revision: self.newest().revision + 1,
            instances,
        };
        let changed_at = Some(now);
        self.changes.push(Change { changed_at, list });
    }

    /// Changes the state of one instance; it shows when the lag has passed.
    pub(super) fn set_state(&mut self, id: &str, state: InstanceState, now: Millis) {
        let mut instances = self.newest().instances.clone();
        for instance in instances.iter_mut().filter(|i| i.id == id) {
            instance.state = state;
        }
        self.set(instances, now);
    }

    /// The list as readers see it now.
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
