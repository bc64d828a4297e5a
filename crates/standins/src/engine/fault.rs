//! Faults that an engine injects on command.

use serde::Deserialize;
use serde::Serialize;

/// Message framing of a truncated response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutFraming {
    /// Chunked, without the last chunk.
    Chunked,
    /// A `Content-Length` greater than the length of the body.
    Length,
    /// Neither chunked nor with a `Content-Length`: the body ends where the connection closes.
    Close,
}

/// Truncates responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Number of tokens sent before the cut.
    pub after: u32,
    /// Message framing of the truncated response.
    #[serde(rename = "form")]
    pub framing: CutFraming,
    /// Number of responses to truncate; `None` for all.
    #[serde(default)]
    pub times: Option<u32>,
}

/// The active faults.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveFaults {
    pub(super) unavailable: bool,
    pub(super) stall: Option<u32>,
    pub(super) cut: Option<Cut>,
}

/// The faults of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ResponseFaults {
    pub(super) stall: Option<u32>,
    pub(super) cut: Option<Cut>,
}

impl ActiveFaults {
    /// Returns the faults of the next response and counts it against the limit of cuts.
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
