//! The command line of the entry host daemon.

use std::path;

use bpaf::Bpaf;

/// The entry host daemon of ledgespool.
///
/// Example: ledgespoold --settings /run/ledgespool/settings.jsonc
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct DaemonOptions {
    /// The host's settings: JSON with comments
    #[bpaf(argument("FILE"))]
    pub settings: path::PathBuf,
    /// Check the settings and exit
    pub check: bool,
    /// Write no log
    pub quiet: bool,
}
