//! Carries coordination calls to members, who are known to the peers' node by name.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;

use crocushold_base::Millis;
use crocushold_ownership::Member;
use crocushold_peers::InstanceId;
use crocushold_peers::PeerHandle;
use crocushold_peers::Request;
use crocushold_peers::Response;
use crocushold_peers::View;

/// The way to the other members.
pub(crate) struct Transport {
    me: Member,
    peers: OnceLock<PeerHandle>,
    names: Mutex<HashMap<Member, InstanceId>>,
}

impl Transport {
    pub(crate) fn new(me: Member) -> Transport {
        Transport {
            me,
            peers: OnceLock::new(),
            names: Mutex::new(HashMap::new()),
        }
    }

    pub(crate) fn connect(&self, peers: PeerHandle) {
        // Connected once, when the instance starts.
        let _ = self.peers.set(peers);
    }

    /// Learns the names of the lives that are known.
    pub(crate) fn learn(&self, view: &View) {
        let lives = view.members.iter();
        let names = lives.map(|life| (Member::new(life.id.as_str(), life.start), life.id.clone()));
        *self.names.lock().unwrap_or_else(PoisonError::into_inner) = names.collect();
    }

    /// Whether the membership vouches for its view: not while joining or right after an own pause.
    pub(crate) fn is_settled(&self) -> bool {
        self.peers.get().is_some_and(|peers| peers.view().settled)
    }

    /// Makes a call; `None` when the member can't be reached or doesn't answer in time.
    pub(crate) async fn call(
        &self,
        to: Member,
        request: Request,
        deadline: Millis,
    ) -> Option<Response> {
        debug_assert_ne!(to, self.me, "calls to this instance are made directly");
        let name = self.name(to)?;
        let answer = self.peers.get()?.call(&name, request, deadline).await;
        answer.ok()
    }

    fn name(&self, member: Member) -> Option<InstanceId> {
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(&member).cloned()
    }
}
