//! Encoding of coordination calls.
//!
//! Votes, outcomes and states are encoded as numbers. A number that this version doesn't know is
//! decoded as the variant with the weakest guarantee.

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimState;
use crocushold_ownership::Entry;
use crocushold_ownership::Mark;
use crocushold_ownership::Member;
use crocushold_ownership::Outcome;
use crocushold_ownership::Record;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::TransferRequest;
use crocushold_ownership::ViewId;
use crocushold_ownership::Vote;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::ReportedEnd;
use crocushold_routing::Suspicion;

use crate::peer_capnp::claim;
use crate::peer_capnp::mark;
use crate::peer_capnp::member;
use crate::peer_capnp::record;
use crate::peer_capnp::server_end;
use crate::peer_capnp::session;
use crate::peer_capnp::suspicion;

/// The fields that all messages about a claim have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) key: ClaimKey,
    pub(crate) id: ClaimId,
    pub(crate) digest: RequestDigest,
    pub(crate) account: AccountId,
}

/// The encoded form of a vote or outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResultCode {
    pub(crate) kind: u16,
    pub(crate) status: u16,
    pub(crate) retry: Millis,
}

fn write_member(from: Member, mut to: member::Builder<'_>) {
    to.set_id(from.id.0);
    to.set_incarnation(from.incarnation);
}

fn read_member(from: member::Reader<'_>) -> Member {
    Member {
        id: crocushold_ownership::InstanceId(from.get_id()),
        incarnation: from.get_incarnation(),
    }
}

pub(crate) fn write_claim(from: &Claim, mut to: claim::Builder<'_>) {
    to.set_key_high((from.key.0 >> 64) as u64);
    to.set_key_low(from.key.0 as u64);
    to.set_seq(from.id.seq);
    to.set_digest(from.digest.0);
    to.set_account(from.account.0);
    write_member(from.id.claimant, to.init_claimant());
}

pub(crate) fn read_claim(from: claim::Reader<'_>) -> capnp::Result<Claim> {
    let key = (u128::from(from.get_key_high()) << 64) | u128::from(from.get_key_low());
    Ok(Claim {
        key: ClaimKey(key),
        id: ClaimId {
            claimant: read_member(from.get_claimant()?),
            seq: from.get_seq(),
        },
        digest: RequestDigest(from.get_digest()),
        account: AccountId(from.get_account()),
    })
}

pub(crate) fn encode_vote(vote: Vote) -> ResultCode {
    let plain = |kind| ResultCode {
        kind,
        ..ResultCode::default()
    };
    let later = |kind, retry| ResultCode {
        kind,
        retry,
        ..ResultCode::default()
    };
    match vote {
        Vote::Unknown => plain(0),
        Vote::Granted => plain(1),
        Vote::InProgress { retry_after } => later(2, retry_after),
        Vote::Done { status } => ResultCode {
            kind: 3,
            status,
            ..ResultCode::default()
        },
        Vote::KeyReused => plain(4),
        Vote::Full { retry_after } => later(5, retry_after),
        Vote::NotReady { retry_after } => later(6, retry_after),
        Vote::GroupMismatch => plain(7),
    }
}

pub(crate) fn decode_vote(code: ResultCode) -> Vote {
    let retry_after = code.retry;
    match code.kind {
        1 => Vote::Granted,
        2 => Vote::InProgress { retry_after },
        3 => Vote::Done {
            status: code.status,
        },
        4 => Vote::KeyReused,
        5 => Vote::Full { retry_after },
        6 => Vote::NotReady { retry_after },
        7 => Vote::GroupMismatch,
        _ => Vote::Unknown,
    }
}

pub(crate) fn encode_outcome(outcome: Outcome) -> ResultCode {
    let (kind, status) = match outcome {
        Outcome::Unknown => (0, 0),
        Outcome::Completed { status } => (1, status),
        Outcome::NotRun => (2, 0),
    };
    ResultCode {
        kind,
        status,
        ..ResultCode::default()
    }
}

pub(crate) fn decode_outcome(kind: u16, status: u16) -> Outcome {
    match kind {
        1 => Outcome::Completed { status },
        2 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

pub(crate) fn write_transfer(
    from: &TransferRequest,
    mut to: session::transfer_params::Builder<'_>,
) {
    to.set_view(from.view.0);
    let mut entries = to.reborrow().init_entries(from.entries.len() as u32);
    for (at, entry) in from.entries.iter().enumerate() {
        write_entry(entry, entries.reborrow().get(at as u32));
    }
    if let Some(mark) = &from.mark {
        write_mark(mark, to.init_mark());
    }
}

pub(crate) fn read_transfer(
    from: session::transfer_params::Reader<'_>,
) -> capnp::Result<TransferRequest> {
    let entries = from.get_entries()?.iter().map(read_entry);
    Ok(TransferRequest {
        view: ViewId(from.get_view()),
        entries: entries.collect::<capnp::Result<_>>()?,
        mark: read_mark(from.get_mark()?)?,
    })
}

fn write_entry(from: &Entry, mut to: record::Builder<'_>) {
    let record = &from.record;
    let (state, status) = match record.state {
        ClaimState::Unknown => (0, 0),
        ClaimState::NotRun => (1, 0),
        ClaimState::InProgress => (2, 0),
        ClaimState::Done { status } => (3, status),
    };
    to.set_state(state);
    to.set_status(status);
    to.set_age_ms(record.time.0);
    let claim = Claim {
        key: from.key,
        id: record.claim.unwrap_or_default(),
        digest: record.digest,
        account: record.account,
    };
    write_claim(&claim, to.init_claim());
}

fn read_entry(from: record::Reader<'_>) -> capnp::Result<Entry> {
    let claim = read_claim(from.get_claim()?)?;
    let state = match from.get_state() {
        1 => ClaimState::NotRun,
        2 => ClaimState::InProgress,
        3 => ClaimState::Done {
            status: from.get_status(),
        },
        _ => ClaimState::Unknown,
    };
    Ok(Entry {
        key: claim.key,
        record: Record {
            digest: claim.digest,
            account: claim.account,
            claim: (claim.id != ClaimId::default()).then_some(claim.id),
            time: Millis(from.get_age_ms()),
            state,
        },
    })
}

fn write_mark(from: &Mark, mut to: mark::Builder<'_>) {
    to.set_seq(from.seq);
    to.set_warm(from.warm);
    to.set_hold_ms(from.hold.0);
    to.set_leaving(from.leaving);
    let mut lost = to.init_lost(from.lost.len() as u32);
    for (at, member) in from.lost.iter().enumerate() {
        write_member(*member, lost.reborrow().get(at as u32));
    }
}

fn read_mark(from: mark::Reader<'_>) -> capnp::Result<Option<Mark>> {
    if from.get_seq() == 0 {
        return Ok(None);
    }
    Ok(Some(Mark {
        seq: from.get_seq(),
        warm: from.get_warm(),
        hold: Millis(from.get_hold_ms()),
        lost: from.get_lost()?.iter().map(read_member).collect(),
        leaving: from.get_leaving(),
    }))
}

pub(crate) fn write_suspicion(from: &Suspicion, mut to: suspicion::Builder<'_>) {
    to.set_content_high((from.content.0 >> 64) as u64);
    to.set_content_low(from.content.0 as u64);
    let mut ends = to.init_ends(from.ends.len() as u32);
    for (at, end) in from.ends.iter().enumerate() {
        write_end(end, ends.reborrow().get(at as u32));
    }
}

fn write_end(from: &ReportedEnd, mut to: server_end::Builder<'_>) {
    to.set_server(from.server.0);
    to.set_sent_ago(from.sent_ago);
    to.set_ended_ago(from.ended_ago);
    to.set_cleared(from.cleared);
}

pub(crate) fn read_suspicion(from: suspicion::Reader<'_>) -> capnp::Result<Suspicion> {
    let ends = from.get_ends()?.iter().map(|end| ReportedEnd {
        server: Incarnation(end.get_server()),
        sent_ago: end.get_sent_ago(),
        ended_ago: end.get_ended_ago(),
        cleared: end.get_cleared(),
    });
    let high = u128::from(from.get_content_high()) << 64;
    Ok(Suspicion {
        content: Fingerprint(high | u128::from(from.get_content_low())),
        ends: ends.collect(),
    })
}
