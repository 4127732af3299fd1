//! The command line of the tool.

use std::path::PathBuf;

use bpaf::Bpaf;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// What can be done with a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaveAction {
    Start,
    Status,
    Pause,
    Resume,
    Cancel,
}

fn parse_wave(text: String) -> Result<WaveAction, String> {
    match text.as_str() {
        "start" => Ok(WaveAction::Start),
        "status" => Ok(WaveAction::Status),
        "pause" => Ok(WaveAction::Pause),
        "resume" => Ok(WaveAction::Resume),
        "cancel" => Ok(WaveAction::Cancel),
        other => Err(format!("`{other}` is none of start, status, pause, resume, cancel")),
    }
}

/// What can be done with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobAction {
    Show,
    Cancel,
    Retry,
    Discard,
}

impl JobAction {
    /// The word for it, as in the path of the call.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Show => "show",
            Self::Cancel => "cancel",
            Self::Retry => "retry",
            Self::Discard => "discard",
        }
    }
}

fn parse_job(text: String) -> Result<JobAction, String> {
    [JobAction::Show, JobAction::Cancel, JobAction::Retry, JobAction::Discard]
        .into_iter()
        .find(|action| action.name() == text)
        .ok_or_else(|| format!("`{text}` is none of show, cancel, retry, discard"))
}

fn output() -> impl bpaf::Parser<Output> {
    use bpaf::Parser;
    bpaf::long("output")
        .help("Form of the output: table or json")
        .argument::<String>("FORM")
        .parse(|text| match text.as_str() {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            other => Err(format!("`{other}` is neither table nor json")),
        })
        .fallback(Output::Table)
}

/// What every command needs.
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
    /// Put a declaration in force
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        /// Revision that the change is based on; the one now in force when absent
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Seconds to wait until every live entry has the change in force
        #[bpaf(argument("SECONDS"), fallback(10))]
        wait: u64,
        /// Declaration file (YAML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show classes, members, configuration and parked jobs at a glance
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
        /// Refresh every second
        watch: bool,
    },
    /// Start, watch or stop a maintenance wave
    #[bpaf(command)]
    Wave {
        #[bpaf(external)]
        common: Common,
        /// One of start, status, pause, resume, cancel
        #[bpaf(positional::<String>("ACTION"), parse(parse_wave))]
        action: WaveAction,
    },
    /// Show a job, cancel it, or decide on a parked one
    #[bpaf(command)]
    Job {
        #[bpaf(external)]
        common: Common,
        /// One of show, cancel, retry, discard
        #[bpaf(positional::<String>("ACTION"), parse(parse_job))]
        action: JobAction,
        /// Class of the job
        #[bpaf(positional("CLASS"))]
        class: String,
        /// Id of the job, as `status` shows it
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show buffer cost, moves and roll-out time by the day
    #[bpaf(command)]
    Report {
        #[bpaf(external)]
        common: Common,
        /// Also draw them into this SVG file
        #[bpaf(argument("FILE"))]
        svg: Option<PathBuf>,
        /// Days to show
        #[bpaf(argument("N"), fallback(30))]
        days: usize,
    },
    /// Explain why capacity of a class is held back
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        common: Common,
        /// Name of the class
        #[bpaf(positional("CLASS"))]
        class: String,
    },
    /// Show the document of a deployment that is in force
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        common: Common,
        /// Name of the deployment
        #[bpaf(positional("DEPLOYMENT"))]
        deployment: String,
    },
}
