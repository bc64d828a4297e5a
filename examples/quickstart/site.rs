//! The stand-ins, the configuration and the entry instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use crocushold_config::KeyDigest;
use crocushold_config::Secret;
use crocushold_config::Settings;
use crocushold_entry::Instance;
use crocushold_entry::InstanceHandle;
use crocushold_platform::HttpFetch;
use crocushold_platform::fetch;
use crocushold_standins::Engine;
use crocushold_standins::EngineSettings;
use crocushold_standins::Handle;
use crocushold_standins::Instance as Listed;
use crocushold_standins::InstanceState;
use crocushold_standins::PlainService;
use crocushold_standins::Platform;
use crocushold_standins::PlatformCommand;
use crocushold_standins::PlatformSettings;
use crocushold_standins::Role;
use crocushold_standins::ServiceSettings;

use crate::Outcome;

/// The configuration of both instances. Its placeholders are replaced by addresses and key digests.
const CONFIG_TEMPLATE: &str = include_str!("demo.ini");

/// All running components.
pub(crate) struct Site {
    pub(crate) instances: Vec<InstanceHandle>,
    _platform: Handle<Platform>,
    _engines: Vec<Handle<Engine>>,
    _service: Handle<PlainService>,
}

impl Site {
    /// Starts the stand-ins, publishes the configuration, and starts two instances.
    pub(crate) async fn start() -> Outcome<Site> {
        let engines = vec![start_engine().await?, start_engine().await?];
        let service = PlainService::start(any_address(), ServiceSettings::default()).await?;
        let addresses = [engines[0].addr(), engines[1].addr(), service.addr()];
        let settings = PlatformSettings {
            parts: BTreeMap::from([("demo".to_owned(), config_text(&addresses))]),
            ..PlatformSettings::default()
        };
        let platform = Platform::start(any_address(), settings).await?;
        let mut instances = Vec::new();
        for id in ["entry-1", "entry-2"] {
            let settings = instance_settings(id, platform.addr());
            instances.push(Instance::start(settings).await?);
        }
        publish_instances(&platform, &instances).await?;
        Ok(Site {
            instances,
            _platform: platform,
            _engines: engines,
            _service: service,
        })
    }

    /// Waits until both instances are ready, which requires a configuration.
    pub(crate) async fn wait_serving(&self) {
        let client = HttpFetch::default();
        for instance in &self.instances {
            let address = instance.operator.to_string();
            while fetch(&client, &address, "/ready").await.is_err() {
                task::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Shuts the instances down gracefully.
    pub(crate) async fn stop(self) {
        for instance in self.instances {
            let cut = instance.stop().await;
            println!("stopped; connections cut: {cut}");
        }
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_engine() -> std::io::Result<Handle<Engine>> {
    let settings = EngineSettings {
        models: vec!["demo-8b".to_owned()],
        ..EngineSettings::default()
    };
    Engine::start(any_address(), settings).await
}

fn config_text(addresses: &[SocketAddr; 3]) -> String {
    let placeholders = ["ENGINE-1", "ENGINE-2", "SERVICE"];
    let mut text = CONFIG_TEMPLATE.to_owned();
    for (placeholder, address) in placeholders.iter().zip(addresses) {
        text = text.replace(placeholder, &address.to_string());
    }
    for key in ["demo.parents", "demo.nightly", "demo.limited"] {
        let placeholder = format!("DIGEST OF {key}");
        text = text.replace(&placeholder, &KeyDigest::of(key).to_string());
    }
    text
}

fn instance_settings(id: &str, platform: SocketAddr) -> Settings {
    Settings {
        id: id.to_owned(),
        zone: "zone-a".to_owned(),
        listen: any_address(),
        operator: any_address(),
        peer: any_address(),
        platform: vec![platform],
        peer_key: Secret::new("a secret that all instances share"),
        first_start: true,
        notice: Settings::default().notice.min(crocushold_base::Millis(200)),
        ..Settings::default()
    }
}

/// Publishes the instances in the platform's instance list.
async fn publish_instances(
    platform: &Handle<Platform>,
    instances: &[InstanceHandle],
) -> std::io::Result<()> {
    let listed = instances
        .iter()
        .enumerate()
        .map(|(index, instance)| Listed {
            id: format!("entry-{}", index + 1),
            role: Role::Entry,
            service: String::new(),
            zone: "zone-a".to_owned(),
            address: instance.listen.to_string(),
            peer_address: instance.peer().to_string(),
            state: InstanceState::Live,
        });
    let instances = listed.collect();
    platform
        .command(PlatformCommand::Instances { instances })
        .await
}
