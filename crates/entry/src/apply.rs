//! Activates the configuration that the peer node holds.

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

/// Delay before a failed activation is retried.
const RETRY_DELAY: Millis = Millis::from_secs(1);

/// Processes the notices of the peer node until it stops.
pub(crate) async fn follow(shared: Arc<Shared>, peers: PeerHandle, notices: Receiver<Notice>) {
    let mut applier = Applier::default();
    // A notice may have been sent before the subscription.
    let mut applied = applier.try_apply(&shared, &peers).await;
    shared.on_view(&peers.view());
    while let Some(notice) = next_notice(&notices, applied).await {
        match notice {
            Notice::Config => applied = applier.try_apply(&shared, &peers).await,
            Notice::View => shared.on_view(&peers.view()),
            Notice::Finding(finding) => {
                let event = Event::new("peer-finding").with("finding", format!("{finding:?}"));
                warn!("{event}");
            }
        }
    }
}

/// Waits for the next notice. After a failed activation, returns [`Notice::Config`] at the latest
/// after a delay, which retries it.
async fn next_notice(notices: &Receiver<Notice>, applied: bool) -> Option<Notice> {
    if applied {
        return notices.recv().await.ok();
    }
    let notice = timeout(RETRY_DELAY.into(), notices.recv()).await;
    notice.map_or(Some(Notice::Config), Result::ok)
}

/// The parsed configuration and the hashes of its parts. Only parts whose hash changed are parsed
/// again.
#[derive(Default)]
struct Applier {
    text: ConfigText,
    hashes: BTreeMap<Arc<str>, PartHash>,
    revisions: BTreeMap<Arc<str>, u64>,
    /// Findings that were logged. Those that remain are not logged again with every change of some
    /// team.
    logged: BTreeSet<Finding>,
}

impl Applier {
    /// Activates the configuration that the peer node holds. Returns false if that panicked.
    ///
    /// If the panic ended the task, the instance would serve its current configuration forever,
    /// look healthy, and never apply another change. Nothing is activated before the last step, so
    /// the attempt can be repeated. All parts are parsed again, since their state may be
    /// inconsistent after the panic.
    async fn try_apply(&mut self, shared: &Shared, peers: &PeerHandle) -> bool {
        let attempt = AssertUnwindSafe(self.apply_current(shared, peers));
        if attempt.catch_unwind().await.is_ok() {
            return true;
        }
        *self = Applier::default();
        error!("{}", Event::new("config-apply-panicked"));
        false
    }

    async fn apply_current(&mut self, shared: &Shared, peers: &PeerHandle) {
        let snapshot = peers.config();
        reach(Point::Applying).await;
        self.apply(shared, snapshot);
    }

    fn apply(&mut self, shared: &Shared, snapshot: Option<Snapshot>) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.update_parts(&snapshot);
        let parts = self.part_infos();
        self.log_findings();
        if shared.activate(&self.text, snapshot.revision, parts) {
            let event = Event::new("config-in-force").with("revision", snapshot.revision);
            info!("{event}");
        }
    }

    fn update_parts(&mut self, snapshot: &Snapshot) {
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
        let removed: Vec<Arc<str>> = self
            .hashes
            .keys()
            .filter(|team| !present.contains(*team))
            .cloned()
            .collect();
        for team in removed {
            self.text.remove_part(&team);
            self.hashes.remove(&team);
            self.revisions.remove(&team);
        }
    }

    /// Logs one line per finding, so that an operator who published a mistake finds it in the log.
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
                active: match part.in_force() {
                    InForce::Current => published,
                    InForce::Previous | InForce::Nothing => 0,
                },
                findings: part.findings().len() as u64,
            }
        });
        parts.collect()
    }
}
