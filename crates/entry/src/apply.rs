//! Puts the configuration that the peers' node holds in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::future::timeout;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config::ConfigText;
use crocushold_config::Finding;
use crocushold_config::InForce;
use crocushold_peers::Notice;
use crocushold_peers::PartHash;
use crocushold_peers::PeerHandle;
use crocushold_peers::Snapshot;
use futures::FutureExt;
use log::error;
use log::info;
use log::warn;

use crate::failpoint::Point;
use crate::failpoint::reach;
use crate::shared::PartInfo;
use crate::shared::Shared;

/// Between two tries to apply a configuration.
const RETRY: Millis = Millis::from_secs(1);

/// Follows the notices of the peers' node as long as it runs.
pub(crate) async fn follow(shared: Arc<Shared>, peers: PeerHandle, notices: Receiver<Notice>) {
    let mut applier = Applier::default();
    // A notice may have been given before the subscription.
    let mut applied = applier.try_apply(&shared, &peers).await;
    shared.take_view(&peers.view());
    while let Some(notice) = next(&notices, applied).await {
        match notice {
            Notice::Config => applied = applier.try_apply(&shared, &peers).await,
            Notice::View => shared.take_view(&peers.view()),
            Notice::Finding(finding) => {
                let event = Event::new("peer-finding").with("finding", format!("{finding:?}"));
                warn!("{event}");
            }
        }
    }
}

/// The next notice; that of a configuration again, after a pause, where it couldn't be applied.
async fn next(notices: &Receiver<Notice>, applied: bool) -> Option<Notice> {
    if applied {
        return notices.recv().await.ok();
    }
    let notice = timeout(RETRY.into(), notices.recv()).await;
    notice.map_or(Some(Notice::Config), Result::ok)
}

/// The parsed text, and which parts it was made of. Only a part whose hash changed is parsed again.
#[derive(Default)]
struct Applier {
    text: ConfigText,
    hashes: BTreeMap<Arc<str>, PartHash>,
    revisions: BTreeMap<Arc<str>, u64>,
    /// Findings that were logged; those that stay aren't logged again with each team's change.
    logged: BTreeSet<Finding>,
}

impl Applier {
    /// Puts what the node holds in force; false when that panicked.
    ///
    /// Had the panic ended the task, the instance would serve its text for good, look healthy, and
    /// never take a change again. Nothing is in force before the last step, so it may be tried anew,
    /// with all parts parsed again since their state may be half changed.
    async fn try_apply(&mut self, shared: &Shared, peers: &PeerHandle) -> bool {
        let attempt = AssertUnwindSafe(self.apply_held(shared, peers));
        if attempt.catch_unwind().await.is_ok() {
            return true;
        }
        *self = Applier::default();
        error!("{}", Event::new("config-apply-panicked"));
        false
    }

    async fn apply_held(&mut self, shared: &Shared, peers: &PeerHandle) {
        let snapshot = peers.config();
        reach(Point::Applying).await;
        self.apply(shared, snapshot);
    }

    fn apply(&mut self, shared: &Shared, snapshot: Option<Snapshot>) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.take_parts(&snapshot);
        let parts = self.part_infos();
        self.log_findings();
        if shared.put_in_force(&self.text, snapshot.revision, parts) {
            let event = Event::new("config-in-force").with("revision", snapshot.revision);
            info!("{event}");
        }
    }

    fn take_parts(&mut self, snapshot: &Snapshot) {
        let mut present = BTreeSet::new();
        for part in snapshot.parts() {
            let team = &part.head.team;
            present.insert(team.clone());
            self.revisions.insert(team.clone(), part.head.revision);
            if self.hashes.get(team) != Some(&part.head.hash) {
                self.text.set_part(team, &part.text);
                self.hashes.insert(team.clone(), part.head.hash);
            }
        }
        let gone: Vec<Arc<str>> = self
            .hashes
            .keys()
            .filter(|team| !present.contains(*team))
            .cloned()
            .collect();
        for team in gone {
            self.text.remove_part(&team);
            self.hashes.remove(&team);
            self.revisions.remove(&team);
        }
    }

    /// One line a finding, so that an operator who published a mistake finds it in the log.
    fn log_findings(&mut self) {
        let findings: BTreeSet<Finding> = self.text.findings().into_iter().collect();
        for finding in findings.difference(&self.logged) {
            let event = Event::new("config-finding")
                .with("team", &finding.team)
                .with("line", finding.line)
                .with("section", &finding.section)
                .with("key", &finding.key)
                .with("severity", finding.severity)
                .with("message", &finding.message);
            info!("{event}");
        }
        self.logged = findings;
    }

    fn part_infos(&self) -> Vec<PartInfo> {
        let parts = self.text.parts().map(|part| {
            let published = self.revisions.get(part.team()).copied().unwrap_or(0);
            PartInfo {
                team: part.team().to_owned(),
                published,
                in_force: match part.in_force() {
                    InForce::Current => published,
                    InForce::Previous | InForce::Nothing => 0,
                },
                findings: part.findings().len() as u64,
            }
        });
        parts.collect()
    }
}
