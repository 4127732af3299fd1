//! Command-line arguments of the tool.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Tables.
    Table,
    /// JSON, for scripts.
    Json,
}

/// Action on a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaveAction {
    Start,
    Status,
    Pause,
    Resume,
    Cancel,
}

fn parse_wave_action(text: String) -> Result<WaveAction, String> {
    match text.as_str() {
        "start" => Ok(WaveAction::Start),
        "status" => Ok(WaveAction::Status),
        "pause" => Ok(WaveAction::Pause),
        "resume" => Ok(WaveAction::Resume),
        "cancel" => Ok(WaveAction::Cancel),
        other => Err(format!("`{other}` is none of start, status, pause, resume, cancel")),
    }
}

/// Action on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobAction {
    Show,
    Cancel,
    Retry,
    Discard,
}

impl JobAction {
    /// Returns the action's name on the command line and in the request path.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Show => "show",
            Self::Cancel => "cancel",
            Self::Retry => "retry",
            Self::Discard => "discard",
        }
    }
}

fn parse_job_action(text: String) -> Result<JobAction, String> {
    [JobAction::Show, JobAction::Cancel, JobAction::Retry, JobAction::Discard]
        .into_iter()
        .find(|action| action.name() == text)
        .ok_or_else(|| format!("`{text}` is none of show, cancel, retry, discard"))
}

fn output() -> impl bpaf::Parser<Output> {
    use bpaf::Parser;
    bpaf::long("output")
        .help("Output format: table or json")
        .argument::<String>("FORM")
        .parse(|text| match text.as_str() {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            other => Err(format!("`{other}` is neither table nor json")),
        })
        .fallback(Output::Table)
}

/// Common options
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Common {
    /// Operators' address of any entry
    #[bpaf(argument("IP:PORT"), env("JACKDAWPIER_ENTRY"))]
    pub(crate) entry: String,
    #[bpaf(external)]
    pub(crate) output: Output,
}

/// Operate jackdawpier, the fleet capacity and maintenance manager
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Args {
    /// Show what a declaration would change
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        common: Common,
        /// Declaration file (YAML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Apply a declaration
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        /// Revision that the change is based on; default: the current revision
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Maximum time in seconds to wait until the change is in force at every live entry
        #[bpaf(argument("SECONDS"), fallback(10))]
        wait: u64,
        /// Declaration file (YAML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show classes, members, configuration and parked jobs
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
        /// Refresh every second
        watch: bool,
    },
    /// Start, show, pause, resume or cancel a maintenance wave
    #[bpaf(command)]
    Wave {
        #[bpaf(external)]
        common: Common,
        /// One of start, status, pause, resume, cancel
        #[bpaf(positional::<String>("ACTION"), parse(parse_wave_action))]
        action: WaveAction,
    },
    /// Show or cancel a job, or retry or discard a parked one
    #[bpaf(command)]
    Job {
        #[bpaf(external)]
        common: Common,
        /// One of show, cancel, retry, discard
        #[bpaf(positional::<String>("ACTION"), parse(parse_job_action))]
        action: JobAction,
        /// Class of the job
        #[bpaf(positional("CLASS"))]
        class: String,
        /// Id of the job, as shown by `status`
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show buffer cost, moves and roll-out time per day
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        common: Common,
        /// Also plot the figures into this SVG file
        #[bpaf(argument("FILE"))]
        svg: Option<PathBuf>,
        /// Number of days to show
        #[bpaf(argument("N"), fallback(30))]
        days: usize,
    },
    /// Explain why a class keeps spare capacity
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        common: Common,
        /// Name of the class
        #[bpaf(positional("CLASS"))]
        class: String,
    },
    /// Show the current configuration document of a deployment
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        common: Common,
        /// Name of the deployment
        #[bpaf(positional("DEPLOYMENT"))]
        deployment: String,
    },
}
