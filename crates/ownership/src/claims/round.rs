//! The claimant's part: collecting votes, sending at most once, settling.

use crocushold_base::Millis;

use super::message::ClaimRequest;
use super::message::Outcome;
use super::message::SettleRequest;
use super::message::Vote;
use super::settings::ClaimSettings;
use crate::view::GROUP_SIZE;
use crate::view::Group;
use crate::view::Member;
use crate::view::View;

/// What to tell the caller instead of sending its request. This try was not sent in any case; the
/// variants differ in what is known of earlier tries under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another try holds the key now.
    InProgress {
        /// When to ask again.
        retry_after: Millis,
    },
    /// An earlier try ran.
    Done {
        /// The status that it was answered with.
        status: u16,
    },
    /// An earlier try may have run. Never to be answered as "not run".
    Unknown,
    /// The key belongs to another request.
    KeyReused,
    /// No earlier try ran, and this one was refused for want of room: "not run" is true.
    NotRun {
        /// When to ask again.
        retry_after: Millis,
    },
    /// Too few members could tell. This try was not run, of earlier ones nothing is known: a caller
    /// that may have sent the key before must be answered "unknown".
    NoQuorum {
        /// When to ask again.
        retry_after: Millis,
    },
}

/// How a claim ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent, once.
    Granted(Grant),
    /// The request must not be sent. The settlement frees the members that did vote for it.
    Refused(Refusal, Settlement),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ballot {
    Pending,
    Unreachable,
    Cast(Vote),
}

/// One claim while its votes come in.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    request: ClaimRequest,
    group: Group,
    ballots: [Ballot; GROUP_SIZE],
    send_by: Millis,
    retry: Millis,
    decided: bool,
}

impl ClaimRound {
    /// Starts a claim; `request.group` is filled in from `view`. Give each try its own
    /// `request.claim.seq`.
    pub fn new(
        settings: &ClaimSettings,
        view: &View,
        request: ClaimRequest,
        now: Millis,
    ) -> ClaimRound {
        let group = view.group(request.key.placement_hash());
        let request = ClaimRequest {
            group: group.id(),
            ..request
        };
        ClaimRound {
            request,
            group,
            ballots: [Ballot::Pending; GROUP_SIZE],
            send_by: now + settings.send_timeout,
            retry: settings.retry_after,
            decided: false,
        }
    }

    /// The message to send to each of [`ClaimRound::voters`].
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// The members to ask, by rank; one of them may be this instance itself.
    pub fn voters(&self) -> &[Member] {
        self.group.members()
    }

    /// A vote came in. Returns the verdict once, as soon as it stands.
    pub fn on_vote(&mut self, from: Member, vote: Vote) -> Option<Verdict> {
        self.cast(from, Ballot::Cast(vote))
    }

    /// The call failed or passed its deadline.
    pub fn on_unreachable(&mut self, from: Member) -> Option<Verdict> {
        self.cast(from, Ballot::Unreachable)
    }

    /// Gives up on every vote that is missing; `None` if the verdict was given before.
    pub fn on_deadline(&mut self) -> Option<Verdict> {
        for ballot in &mut self.ballots {
            if *ballot == Ballot::Pending {
                *ballot = Ballot::Unreachable;
            }
        }
        self.decide()
    }

    fn cast(&mut self, from: Member, ballot: Ballot) -> Option<Verdict> {
        let place = self.voters().iter().position(|voter| *voter == from)?;
        // A duplicated or late answer must not count twice.
        if self.ballots[place] != Ballot::Pending {
            return None;
        }
        self.ballots[place] = ballot;
        self.decide()
    }

    fn decide(&mut self) -> Option<Verdict> {
        if self.decided {
            return None;
        }
        let majority = self.group.majority();
        let granted = self.count(|b| b == Ballot::Cast(Vote::Granted));
        let pending = self.count(|b| b == Ballot::Pending);
        if granted >= majority {
            self.decided = true;
            return Some(Verdict::Granted(Grant {
                request: self.request,
                group: self.group,
                send_by: self.send_by,
            }));
        }
        let final_now = self.final_vote().is_some();
        if !final_now && granted + pending >= majority {
            return None;
        }
        self.decided = true;
        Some(Verdict::Refused(self.refusal(), self.release()))
    }

    fn count(&self, test: impl Fn(Ballot) -> bool) -> usize {
        self.used().iter().filter(|b| test(**b)).count()
    }

    fn used(&self) -> &[Ballot] {
        &self.ballots[..self.group.members().len()]
    }

    /// A vote that no other vote can overrule.
    fn final_vote(&self) -> Option<Refusal> {
        self.used().iter().find_map(|ballot| match ballot {
            Ballot::Cast(Vote::KeyReused) => Some(Refusal::KeyReused),
            Ballot::Cast(Vote::Done { status }) => Some(Refusal::Done { status: *status }),
            _ => None,
        })
    }

    fn refusal(&self) -> Refusal {
        if let Some(refusal) = self.final_vote() {
            return refusal;
        }
        if self.count(|b| b == Ballot::Cast(Vote::Unknown)) > 0 {
            return Refusal::Unknown;
        }
        let retry_after = self.retry_after();
        if self.count(|b| matches!(b, Ballot::Cast(Vote::InProgress { .. }))) > 0 {
            return Refusal::InProgress { retry_after };
        }
        let blank = |b| matches!(b, Ballot::Cast(Vote::Granted | Vote::Full { .. }));
        if self.count(blank) >= self.group.majority() {
            return Refusal::NotRun { retry_after };
        }
        Refusal::NoQuorum { retry_after }
    }

    fn retry_after(&self) -> Millis {
        let spans = self.used().iter().map(|ballot| match ballot {
            Ballot::Cast(Vote::InProgress { retry_after })
            | Ballot::Cast(Vote::Full { retry_after })
            | Ballot::Cast(Vote::NotReady { retry_after }) => *retry_after,
            _ => self.retry,
        });
        spans.max().unwrap_or(self.retry)
    }

    fn release(&self) -> Settlement {
        Settlement::new(&self.request, self.group, Outcome::NotRun)
    }
}

/// The right to send the request once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a grant that is dropped locks the key until it counts as unknown"]
pub struct Grant {
    request: ClaimRequest,
    group: Group,
    send_by: Millis,
}

impl Grant {
    /// Call it right before the first byte is written. An instance that was stopped since the claim
    /// wakes with a grant that the members may have forgotten; its request would run beside a
    /// repeat.
    ///
    /// # Errors
    ///
    /// The settlement of a grant that is too old; the request must not be sent.
    pub fn start(self, now: Millis) -> Result<Started, Settlement> {
        if now > self.send_by {
            return Err(self.release());
        }
        Ok(Started {
            request: self.request,
            group: self.group,
        })
    }

    /// Gives the key back; the request was not sent.
    pub fn release(self) -> Settlement {
        Settlement::new(&self.request, self.group, Outcome::NotRun)
    }
}

/// A request that may have been sent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "settle it, or the key stays locked until it counts as unknown"]
pub struct Started {
    request: ClaimRequest,
    group: Group,
}

impl Started {
    /// The request ended. [`Outcome::NotRun`] only if not a byte of it was written.
    pub fn settle(self, outcome: Outcome) -> Settlement {
        Settlement::new(&self.request, self.group, outcome)
    }
}

/// An outcome on its way to the members; repeat it to those that haven't acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "send it to the members"]
pub struct Settlement {
    request: SettleRequest,
    pending: Vec<Member>,
}

impl Settlement {
    fn new(claim: &ClaimRequest, group: Group, outcome: Outcome) -> Settlement {
        Settlement {
            request: SettleRequest {
                key: claim.key,
                account: claim.account,
                claim: claim.claim,
                digest: claim.digest,
                outcome,
            },
            pending: group.members().to_vec(),
        }
    }

    /// The message.
    pub fn request(&self) -> &SettleRequest {
        &self.request
    }

    /// The members that haven't acknowledged it.
    pub fn pending(&self) -> &[Member] {
        &self.pending
    }

    /// A member has acknowledged.
    pub fn on_acknowledged(&mut self, from: Member) {
        self.pending.retain(|member| *member != from);
    }

    /// The membership has changed since the claim: tells the members of the key's new group too.
    pub fn on_view(&mut self, view: &View) {
        for &member in view.group(self.request.key.placement_hash()).members() {
            if !self.pending.contains(&member) {
                self.pending.push(member);
            }
        }
    }
}
