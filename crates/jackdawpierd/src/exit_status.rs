//! Exit statuses of the daemon.

use std::process::ExitCode;

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// A planned stop, or settings without findings.
    Success,
    /// A port or a key could not be used.
    Failure,
    /// The settings have findings.
    BadSettings,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::Failure => Self::from(1),
            ExitStatus::BadSettings => Self::from(2),
        }
    }
}
