//! Exit statuses of the daemon.

use std::process::ExitCode;

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// A planned stop, or settings without findings.
    Success,
    /// The daemon could not start, for example because of an unusable port or key.
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
