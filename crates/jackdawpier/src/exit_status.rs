//! Exit statuses and the failures that cause them.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit status of the tool; documented in `docs/operators/command-line.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded; an applied change is in force everywhere.
    Success,
    /// The declaration differs from the current configuration (`plan`).
    Changes,
    /// The declaration or an argument is invalid.
    BadInput,
    /// The request conflicts with the current state, such as a document changed by somebody else.
    Conflict,
    /// No entry or no store could be reached; nothing was changed.
    Unavailable,
    /// The outcome is unknown, or the change is not in force everywhere yet.
    Unknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Changes => 1,
            ExitStatus::BadInput => 2,
            ExitStatus::Conflict => 3,
            ExitStatus::Unavailable => 4,
            ExitStatus::Unknown => 5,
        })
    }
}

/// Failure of a command. The messages suggest what to do next.
#[derive(Debug, Display, Error)]
pub(crate) enum Failure {
    /// The input is invalid.
    #[display("{findings}")]
    BadInput {
        /// Findings, one per line.
        findings: String,
    },
    /// The entry could not be reached.
    #[display(
        "{entry} did not answer: {detail}\nnext: select another entry with --entry, or check that this one is running"
    )]
    EntryUnreachable {
        /// Address of the entry.
        entry: String,
        /// Description of the failure.
        detail: String,
    },
    /// The answer to a change was lost; the change may have been made.
    #[display(
        "the answer of {entry} was lost: {detail}\nthis may have been done\nnext: check with `jackdawpier status` before repeating it"
    )]
    LostAnswer {
        /// Address of the entry.
        entry: String,
        /// Description of the failure.
        detail: String,
    },
    /// The entry's answer could not be parsed.
    #[display(
        "the entry's answer can't be parsed: {detail}\nnext: check that the tool and the entries have the same version"
    )]
    InvalidAnswer {
        /// Description of the failure.
        detail: String,
    },
}

impl Failure {
    /// Returns the exit status for the failure.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::BadInput { .. } => ExitStatus::BadInput,
            Self::EntryUnreachable { .. } => ExitStatus::Unavailable,
            Self::LostAnswer { .. } | Self::InvalidAnswer { .. } => ExitStatus::Unknown,
        }
    }
}
