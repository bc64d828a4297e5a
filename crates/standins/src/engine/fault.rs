//! Faults that an engine shows on command.

use serde::Deserialize;
use serde::Serialize;

/// How a cut answer looks on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutFraming {
    /// Chunked, without the last chunk.
    Chunked,
    /// A `Content-Length` that the body falls short of.
    Length,
    /// No length and not chunked: the body ends where the connection closes.
    Close,
}

/// Ends answers in the middle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Tokens that still go out.
    pub after: u32,
    /// How the cut looks.
    #[serde(rename = "form")]
    pub framing: CutFraming,
    /// How many answers are cut; none for all.
    #[serde(default)]
    pub times: Option<u32>,
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveFaults {
    pub(super) unavailable: bool,
    pub(super) stall: Option<u32>,
    pub(super) cut: Option<Cut>,
}

/// What happens to one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ResponseFaults {
    pub(super) stall: Option<u32>,
    pub(super) cut: Option<Cut>,
}

impl ActiveFaults {
    /// Decides the fate of the next answer and counts it.
    pub(super) fn next_response(&mut self) -> ResponseFaults {
        ResponseFaults {
            stall: self.stall,
            cut: self.next_cut(),
        }
    }

    fn next_cut(&mut self) -> Option<Cut> {
        let cut = self.cut.as_mut()?;
        let Some(times) = &mut cut.times else {
            return Some(*cut);
        };
        if *times == 0 {
            return None;
        }
        *times -= 1;
        Some(*cut)
    }
}
