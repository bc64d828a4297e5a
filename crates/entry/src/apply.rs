//! Puts the configuration that the peers' node holds in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use async_std::channel::Receiver;
use crocushold_base::Event;
use crocushold_config::Finding;
use crocushold_config::InForce;
use crocushold_config::Text;
use crocushold_peers::Notice;
use crocushold_peers::PartHash;
use crocushold_peers::PeerHandle;
use crocushold_peers::Snapshot;
use log::info;
use log::warn;

use crate::failpoint::Point;
use crate::failpoint::reach;
use crate::shared::PartInfo;
use crate::shared::Shared;

/// Follows the notices of the peers' node as long as it runs.
pub(crate) async fn follow(shared: Arc<Shared>, peers: PeerHandle, notices: Receiver<Notice>) {
    let mut applier = Applier::default();
    // A notice may have been given before the subscription.
    applier.apply(&shared, peers.config());
    shared.take_view(&peers.view());
    while let Ok(notice) = notices.recv().await {
        match notice {
            Notice::Config => {
                let snapshot = peers.config();
                reach(Point::Applying).await;
                applier.apply(&shared, snapshot);
            }
            Notice::View => shared.take_view(&peers.view()),
            Notice::Finding(finding) => {
                let event = Event::new("peer-finding").with("finding", format!("{finding:?}"));
                warn!("{event}");
            }
        }
    }
}

/// The parsed text, and which parts it was made of. Only a part whose hash changed is parsed again.
#[derive(Default)]
struct Applier {
    text: Text,
    hashes: BTreeMap<Arc<str>, PartHash>,
    revisions: BTreeMap<Arc<str>, u64>,
    /// Findings that were logged; those that stay aren't logged again with each team's change.
    logged: BTreeSet<Finding>,
}

impl Applier {
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
