//! Sends coordination calls to members, which the peer node knows by name.

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

/// Connects to the other members.
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
        // Set only once, when the instance starts.
        let _ = self.peers.set(peers);
    }

    /// Updates the names of the known incarnations.
    pub(crate) fn update_names(&self, view: &View) {
        let members = view.members.iter();
        let names = members.map(|incarnation| {
            (
                Member::new(incarnation.id.as_str(), incarnation.start),
                incarnation.id.clone(),
            )
        });
        *self.names.lock().unwrap_or_else(PoisonError::into_inner) = names.collect();
    }

    /// Whether the view is settled: not while joining, nor right after this process was suspended.
    pub(crate) fn is_settled(&self) -> bool {
        self.peers.get().is_some_and(|peers| peers.view().settled)
    }

    /// Sends a call. Returns `None` if the member can't be reached or doesn't reply in time.
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
