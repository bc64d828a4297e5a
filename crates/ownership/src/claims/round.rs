//! The claimant's side of the protocol: collecting votes, sending at most once, settling.

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

/// Why a request isn't sent. This attempt was not sent in any case; the variants differ in what is
/// known of earlier attempts with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another attempt currently holds the key.
    InProgress {
        /// When to retry.
        retry_after: Millis,
    },
    /// An earlier attempt ran.
    Done {
        /// The status of its answer.
        status: u16,
    },
    /// An earlier attempt may have run. Must never be reported to the caller as "not run".
    Unknown,
    /// The key belongs to a different request.
    KeyReused,
    /// No earlier attempt ran, and this one was refused for lack of room: "not run" is true.
    NotRun {
        /// When to retry.
        retry_after: Millis,
    },
    /// Not enough members could vote. This attempt was not run, and nothing is known of earlier
    /// ones: a caller that may have sent the key before must be answered "unknown".
    NoQuorum {
        /// When to retry.
        retry_after: Millis,
    },
}

/// The result of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent once.
    Granted(Grant),
    /// The request must not be sent. The settlement releases the key on the members that granted
    /// their vote.
    Refused(Refusal, Settlement),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ballot {
    Pending,
    Unreachable,
    Cast(Vote),
}

/// A claim whose votes are being collected.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    request: ClaimRequest,
    group: Group,
    ballots: [Ballot; GROUP_SIZE],
    send_deadline: Millis,
    retry_after: Millis,
    decided: bool,
}

impl ClaimRound {
    /// Starts a claim; `request.group` is computed from `view`. Each attempt needs a
    /// `request.claim.seq` of its own.
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
            send_deadline: now + settings.send_timeout,
            retry_after: settings.retry_after,
            decided: false,
        }
    }

    /// The message to send to each of [`ClaimRound::voters`].
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// The members to ask, by rank; this instance may be one of them.
    pub fn voters(&self) -> &[Member] {
        self.group.members()
    }

    /// Handles a vote. Returns the verdict once, as soon as it is decided.
    pub fn on_vote(&mut self, from: Member, vote: Vote) -> Option<Verdict> {
        self.cast(from, Ballot::Cast(vote))
    }

    /// Handles a call that failed or timed out.
    pub fn on_unreachable(&mut self, from: Member) -> Option<Verdict> {
        self.cast(from, Ballot::Unreachable)
    }

    /// Treats all missing votes as unreachable; returns `None` if the verdict was returned before.
    pub fn on_deadline(&mut self) -> Option<Verdict> {
        for ballot in &mut self.ballots {
            if *ballot == Ballot::Pending {
                *ballot = Ballot::Unreachable;
            }
        }
        self.decide()
    }

    fn cast(&mut self, from: Member, ballot: Ballot) -> Option<Verdict> {
        let index = self.voters().iter().position(|voter| *voter == from)?;
        // A duplicate or late answer must not be counted twice.
        if self.ballots[index] != Ballot::Pending {
            return None;
        }
        self.ballots[index] = ballot;
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
                send_deadline: self.send_deadline,
            }));
        }
        let is_final = self.final_vote().is_some();
        if !is_final && granted + pending >= majority {
            return None;
        }
        self.decided = true;
        Some(Verdict::Refused(self.refusal(), self.release()))
    }

    fn count(&self, test: impl Fn(Ballot) -> bool) -> usize {
        self.group_ballots().iter().filter(|b| test(**b)).count()
    }

    fn group_ballots(&self) -> &[Ballot] {
        &self.ballots[..self.group.members().len()]
    }

    /// A vote that decides the claim whatever the others are.
    fn final_vote(&self) -> Option<Refusal> {
        self.group_ballots().iter().find_map(|ballot| match ballot {
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
        let no_record = |b| matches!(b, Ballot::Cast(Vote::Granted | Vote::Full { .. }));
        if self.count(no_record) >= self.group.majority() {
            return Refusal::NotRun { retry_after };
        }
        Refusal::NoQuorum { retry_after }
    }

    fn retry_after(&self) -> Millis {
        let spans = self.group_ballots().iter().map(|ballot| match ballot {
            Ballot::Cast(Vote::InProgress { retry_after })
            | Ballot::Cast(Vote::Full { retry_after })
            | Ballot::Cast(Vote::NotReady { retry_after }) => *retry_after,
            _ => self.retry_after,
        });
        spans.max().unwrap_or(self.retry_after)
    }

    fn release(&self) -> Settlement {
        Settlement::new(&self.request, self.group, Outcome::NotRun)
    }
}

/// Permission to send the request once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a grant that is dropped locks the key until it counts as unknown"]
pub struct Grant {
    request: ClaimRequest,
    group: Group,
    send_deadline: Millis,
}

impl Grant {
    /// Call this directly before the first byte is written. If an instance was paused since the
    /// claim, the members may have forgotten the grant by the time it resumes, and the request
    /// would run in parallel with a repeat.
    ///
    /// # Errors
    ///
    /// The settlement of a grant that is too old; the request must not be sent.
    pub fn start(self, now: Millis) -> Result<Started, Settlement> {
        if now > self.send_deadline {
            return Err(self.release());
        }
        Ok(Started {
            request: self.request,
            group: self.group,
        })
    }

    /// Releases the key; the request was not sent.
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
    /// Settles the request. [`Outcome::NotRun`] is allowed only if no byte of it was written.
    pub fn settle(self, outcome: Outcome) -> Settlement {
        Settlement::new(&self.request, self.group, outcome)
    }
}

/// An outcome to be sent to the members; repeat it for those that haven't acknowledged it.
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

    /// The members that haven't acknowledged it yet.
    pub fn pending(&self) -> &[Member] {
        &self.pending
    }

    /// Handles the acknowledgement of a member.
    pub fn on_acknowledged(&mut self, from: Member) {
        self.pending.retain(|member| *member != from);
    }

    /// After a change of the membership, also informs the members of the key's new group.
    pub fn on_view(&mut self, view: &View) {
        for &member in view.group(self.request.key.placement_hash()).members() {
            if !self.pending.contains(&member) {
                self.pending.push(member);
            }
        }
    }
}
