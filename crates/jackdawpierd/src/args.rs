//! The daemon's command line.

use bpaf::Bpaf;

/// Entry instance of jackdawpier, the fleet capacity and maintenance manager
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// Only check the settings, then exit
    pub(crate) check_settings: bool,
    /// Settings file (YAML)
    #[bpaf(positional("FILE"))]
    pub(crate) settings_file: String,
}
