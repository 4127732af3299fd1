//! Exit statuses, and the failures that lead to them.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// How the tool ends; documented in `docs/operators/command-line.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// Done, and in force where that was asked for.
    Success,
    /// The change would change something (`plan`).
    Changes,
    /// The declaration or the command line has findings.
    BadInput,
    /// Somebody else changed the document first.
    Conflict,
    /// No entry or no store could be reached; nothing was changed.
    Unavailable,
    /// The outcome is not known, or the change is not in force everywhere yet.
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

/// Why the tool could not do what was asked, with what to do next.
#[derive(Debug, Display, Error)]
pub(crate) enum Failure {
    /// The input has findings, one a line.
    #[display("{findings}")]
    BadInput {
        /// The findings.
        findings: String,
    },
    /// No entry answered.
    #[display(
        "{entry} did not answer: {detail}\nnext: name another entry with --entry, or check that it runs"
    )]
    NoEntry {
        /// The entry.
        entry: String,
        /// What failed.
        detail: String,
    },
    /// The answer to a change was lost.
    #[display(
        "the answer of {entry} was lost: {detail}\nthis may have been done\nnext: look with `jackdawpier status` before doing it again"
    )]
    LostAnswer {
        /// The entry.
        entry: String,
        /// What failed.
        detail: String,
    },
    /// The entry's answer could not be read.
    #[display(
        "the entry's answer can't be read: {detail}\nnext: check that the tool and the entries have the same version"
    )]
    BadAnswer {
        /// What failed.
        detail: String,
    },
}

impl Failure {
    /// The exit status that belongs to the failure.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            Self::BadInput { .. } => ExitStatus::BadInput,
            Self::NoEntry { .. } => ExitStatus::Unavailable,
            Self::LostAnswer { .. } | Self::BadAnswer { .. } => ExitStatus::Unknown,
        }
    }
}
