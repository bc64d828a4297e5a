//! Reads of what the platform publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::ReadExt;
use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config::InForce;
use crocushold_config::Text;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendLimits;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use log::info;
use log::warn;
use quick_error::quick_error;
use serde::Deserialize;

use crate::instance::PartInfo;
use crate::instance::Shared;

/// Between two reads of the configuration's index.
const POLL: Millis = Millis::from_secs(1);

/// Most bytes of an answer that are read.
const MAX_ANSWER: u64 = 2 * 1024 * 1024;

quick_error! {
    /// Why a read of the platform failed.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no restricted visibility")]
    pub enum ReadError {
        Send(err: SendError) { display("{err}") from() }
        Io(err: std::io::Error) { display("{err}") from() }
        Json(err: serde_json::Error) { display("{err}") from() }
        Text(err: std::string::FromUtf8Error) { display("{err}") from() }
        Status(status: StatusCode) { display("status {status}") }
    }
}

#[derive(Debug, Deserialize)]
struct Index {
    revision: u64,
    parts: Vec<PartEntry>,
}

#[derive(Debug, Deserialize)]
struct PartEntry {
    team: String,
    revision: u64,
}

/// Reads the configuration again and again, and puts each newer revision in force.
pub(crate) async fn follow_config(shared: Arc<Shared>, platform: SocketAddr) {
    let mut text = Text::default();
    let mut revisions = BTreeMap::new();
    loop {
        if let Err(error) = read_config(&shared, platform, &mut text, &mut revisions).await {
            let event = Event::new("config-read-failed").with("error", error);
            warn!("{event}");
        }
        task::sleep(POLL.into()).await;
    }
}

async fn read_config(
    shared: &Shared,
    platform: SocketAddr,
    text: &mut Text,
    revisions: &mut BTreeMap<String, u64>,
) -> Result<(), ReadError> {
    let index: Index = serde_json::from_str(&fetch(shared, platform, "/v1/config").await?)?;
    // An older answer comes from a stale replica of the service: what is in force stays.
    if index.revision <= shared.world().revision {
        return Ok(());
    }
    for entry in &index.parts {
        if revisions.get(&entry.team) == Some(&entry.revision) {
            continue;
        }
        let path = format!("/v1/config/parts/{}", entry.team);
        let part = fetch(shared, platform, &path).await?;
        text.set_part(&entry.team, &part);
        revisions.insert(entry.team.clone(), entry.revision);
    }
    revisions.retain(|team, _| index.parts.iter().any(|entry| entry.team == *team));
    put_in_force(shared, text, revisions, index.revision);
    Ok(())
}

fn put_in_force(
    shared: &Shared,
    text: &mut Text,
    revisions: &BTreeMap<String, u64>,
    revision: u64,
) {
    let gone: Vec<String> = text
        .parts()
        .map(|part| part.team().to_owned())
        .filter(|team| !revisions.contains_key(team))
        .collect();
    for team in gone {
        text.remove_part(&team);
    }
    let parts = text.parts().map(|part| PartInfo {
        team: part.team().to_owned(),
        published: revisions.get(part.team()).copied().unwrap_or(0),
        in_force: match part.in_force() {
            InForce::Current => revisions.get(part.team()).copied().unwrap_or(0),
            InForce::Previous | InForce::Nothing => 0,
        },
        findings: part.findings().len() as u64,
    });
    shared.put_in_force(text, revision, parts.collect());
    info!(
        "{}",
        Event::new("config-in-force").with("revision", revision)
    );
}

async fn fetch(shared: &Shared, server: SocketAddr, path: &str) -> Result<String, ReadError> {
    let text = format!("http://{server}{path}");
    let url = Url::parse(&text).expect("an address and a path of the protocol make a URL");
    let request = Request::new(Method::Get, url);
    let limits = SendLimits {
        head_timeout: Millis::from_secs(2),
        stall_timeout: Millis::from_secs(2),
        ..SendLimits::default()
    };
    let client = &shared.client;
    let answer = client
        .send(server, request, &limits, Reuse::Allowed)
        .await?;
    if !answer.status.is_success() {
        return Err(ReadError::Status(answer.status));
    }
    let mut bytes = Vec::new();
    answer.body.take(MAX_ANSWER).read_to_end(&mut bytes).await?;
    Ok(String::from_utf8(bytes)?)
}
