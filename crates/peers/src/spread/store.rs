//! Store of the parts that an instance holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use twox_hash::XxHash3_64;

use crate::message::Delta;
use crate::message::PartHash;
use crate::message::PartRef;
use crate::message::Piece;

/// Maximum number of removals that are remembered.
const MAX_REMOVALS: usize = 256;

/// Maximum number of part references in one message.
const PAGE_ENTRIES: usize = 256;

/// Maximum number of bytes of all texts that accompany a page of changes, and of a single one.
const PAGE_TEXT_BYTES: usize = 192 << 10;
const PIECE_TEXT_BYTES: usize = 16 << 10;

/// Computes the SHA-256 of a text.
pub fn part_hash(text: &str) -> PartHash {
    Sha256::digest(text.as_bytes()).into()
}

/// A part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Team, revision, size and hash.
    pub head: PartRef,
    /// The text; empty if the part was removed.
    pub text: Arc<str>,
    /// The previous text, so that only the difference has to be sent.
    previous: Option<Previous>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Previous {
    revision: u64,
    text: Arc<str>,
}

impl Part {
    /// Creates a part from its text.
    pub fn new(team: &Arc<str>, revision: u64, text: &str) -> Part {
        let head = PartRef {
            team: team.clone(),
            revision,
            bytes: text.len() as u32,
            removed: false,
            hash: part_hash(text),
        };
        Part {
            head,
            text: Arc::from(text),
            previous: None,
        }
    }

    /// Returns the text as a difference from the text of a peer whose configuration is at revision
    /// `after`.
    fn piece(&self, after: u64) -> Piece {
        let previous = self.previous.as_ref().filter(|p| p.revision <= after);
        let (base, text) = previous.map_or((0, ""), |p| (p.revision, &*p.text));
        Piece {
            team: self.head.team.clone(),
            base,
            delta: Delta::between(text, &self.text),
        }
    }

    /// Creates a tombstone of a part that was removed at `revision`.
    pub fn removed(team: &Arc<str>, revision: u64) -> Part {
        let mut part = Part::new(team, revision, "");
        part.head.removed = true;
        part
    }
}

/// The configuration at a revision. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the whole configuration.
    pub revision: u64,
    parts: Arc<BTreeMap<Arc<str>, Part>>,
}

/// A text that differs from another with the same team and revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conflict {
    /// The team.
    pub team: Arc<str>,
    /// The revision that has two texts.
    pub revision: u64,
}

impl Snapshot {
    /// Returns the existing parts, ordered by team.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values().filter(|part| !part.head.removed)
    }

    /// Looks up the part of a team, including a removed one.
    pub fn part(&self, team: &str) -> Option<&Part> {
        self.parts.get(team)
    }

    /// Returns the digest of team, revision and hash of the existing parts; never zero.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for part in self.parts() {
            let seed = XxHash3_64::oneshot_with_seed(part.head.revision, part.head.team.as_bytes());
            digest ^= XxHash3_64::oneshot_with_seed(seed, &part.head.hash);
        }
        digest.max(1)
    }

    /// Returns the total size of all texts in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.parts.values().map(|part| part.text.len()).sum()
    }

    /// Returns tombstones of the parts that exist here but not in a complete list of `revision`.
    pub(crate) fn missing(&self, listed: &[&Arc<str>], revision: u64) -> Vec<Part> {
        self.parts()
            .filter(|part| part.head.revision <= revision && !listed.contains(&&part.head.team))
            .map(|part| Part::removed(&part.head.team, revision))
            .collect()
    }

    /// Returns a page of the parts that changed after revision `after`, starting after the team
    /// `cursor`, with the cursor of the next page.
    pub(crate) fn changes(&self, after: u64, cursor: &str) -> (Vec<PartRef>, Arc<str>) {
        let changed = self.parts.values().filter(|part| {
            let head = &part.head;
            head.revision > after && &*head.team > cursor
        });
        let mut page: Vec<PartRef> = changed
            .take(PAGE_ENTRIES + 1)
            .map(|part| part.head.clone())
            .collect();
        if page.len() <= PAGE_ENTRIES {
            return (page, Arc::from(""));
        }
        page.truncate(PAGE_ENTRIES);
        let next = page[PAGE_ENTRIES - 1].team.clone();
        (page, next)
    }

    /// Returns the smaller texts among `parts` for a peer whose configuration is at revision
    /// `after`.
    pub(crate) fn pieces(&self, after: u64, parts: &[PartRef]) -> Vec<Piece> {
        let mut pieces = Vec::new();
        let mut room = PAGE_TEXT_BYTES;
        for part in parts.iter().filter_map(|head| self.part(&head.team)) {
            if part.head.removed {
                continue;
            }
            let piece = part.piece(after);
            let bytes = piece.delta.middle.len();
            if bytes <= PIECE_TEXT_BYTES.min(room) {
                room -= bytes;
                pieces.push(piece);
            }
        }
        pieces
    }

    /// Merges parts. A part only ever moves to a higher revision; of two texts with the same
    /// revision the one that is held stays, so that two instances can't keep overwriting each
    /// other's text.
    pub(crate) fn merge(&mut self, parts: Vec<Part>, revision: u64) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        let held = Arc::make_mut(&mut self.parts);
        for part in parts {
            let team = part.head.team.clone();
            match held.get(&team) {
                Some(known) if known.head.revision > part.head.revision => {}
                Some(known) if known.head.revision == part.head.revision => {
                    conflicts.extend(conflict(&known.head, &part.head));
                }
                known => {
                    let previous = known.filter(|known| !known.head.removed);
                    let previous = previous.map(|known| Previous {
                        revision: known.head.revision,
                        text: known.text.clone(),
                    });
                    held.insert(team, Part { previous, ..part });
                }
            }
        }
        forget_removals(held);
        self.revision = self.revision.max(revision);
        conflicts
    }
}

/// Returns the conflict between two references, if they contradict each other.
pub(crate) fn conflict(known: &PartRef, other: &PartRef) -> Option<Conflict> {
    let differs = known.revision == other.revision && known.hash != other.hash;
    let both = !known.removed && !other.removed;
    (differs && both).then(|| Conflict {
        team: known.team.clone(),
        revision: known.revision,
    })
}

fn forget_removals(held: &mut BTreeMap<Arc<str>, Part>) {
    let removed = held.values().filter(|part| part.head.removed);
    let mut revisions: Vec<u64> = removed.map(|part| part.head.revision).collect();
    if revisions.len() <= MAX_REMOVALS {
        return;
    }
    revisions.sort_unstable();
    let oldest = revisions[revisions.len() - MAX_REMOVALS];
    held.retain(|_, part| !part.head.removed || part.head.revision >= oldest);
}
