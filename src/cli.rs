//! The command line.

use bpaf::Bpaf;
use std::path::PathBuf;

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For a person.
    #[default]
    Terminal,
    /// A JSON object a line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "terminal" => Ok(Self::Terminal),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is neither `terminal` nor `json`")),
        }
    }
}

/// Serves callers and plain services from crowded targets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("shuntpier"), generate(command), version)]
pub enum Command {
    #[bpaf(command("serve"))]
    /// Runs one entry box until it is told to stop
    Serve(#[bpaf(external(serve_options))] ServeOptions),

    #[bpaf(command("relay"))]
    /// Runs one box of a platform's fleet until it is told to stop
    Relay(#[bpaf(external(relay_options))] RelayOptions),

    #[bpaf(command("standins"))]
    /// Runs stand-ins of engines, services and the platform, for trials
    Standins(#[bpaf(external(standin_options))] StandinOptions),

    #[bpaf(command("check"))]
    /// Checks a settings file and names every mistake
    Check(#[bpaf(external(check_options))] CheckOptions),

    #[bpaf(command("settings"))]
    /// Shows, compares and changes the settings in force
    Settings(#[bpaf(external(settings_options))] SettingsOptions),

    #[bpaf(command("targets"))]
    /// Shows targets, pools and who dispatches them
    Targets(#[bpaf(external(report_options))] ReportOptions),

    #[bpaf(command("shares"))]
    /// Shows who uses pools, who waits and who is refused, by client account and rank
    Shares(#[bpaf(external(report_options))] ReportOptions),

    #[bpaf(command("withheld"))]
    /// Shows requests that are sent to no target, as targets end under them, or has one sent on again
    Withheld(#[bpaf(external(withheld_options))] WithheldOptions),

    #[bpaf(command("burn"))]
    /// Shows how fast accounts use up what their objectives allow
    Burn(#[bpaf(external(report_options))] ReportOptions),

    #[bpaf(command("explain"))]
    /// Prints the story of one request from the log files of boxes
    Explain(#[bpaf(external(explain_options))] ExplainOptions),

    #[bpaf(command("losses"))]
    /// Sums lost and late requests by cause, from the log files of boxes
    Losses(#[bpaf(external(losses_options))] LossesOptions),

    #[bpaf(command("spread"))]
    /// Sums how long changes took to reach all boxes, from the log files of boxes
    Spread(#[bpaf(external(spread_options))] SpreadOptions),

    #[bpaf(command("demo"))]
    /// Runs everything in one process on loopback, with stand-ins
    Demo(#[bpaf(external(demo_options))] DemoOptions),
}

#[derive(Clone, Debug, Bpaf)]
pub struct ServeOptions {
    /// Settings file of this box
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// `terminal` or `json`
    #[bpaf(argument("FORMAT"), fallback(LogFormat::Terminal))]
    pub log_format: LogFormat,
}

#[derive(Clone, Debug, Bpaf)]
pub struct RelayOptions {
    /// Settings file of this box; where the platform laid it, if left out
    #[bpaf(argument("FILE"), optional)]
    pub settings: Option<PathBuf>,
}

#[derive(Clone, Debug, Bpaf)]
pub struct StandinOptions {
    /// Settings file of the stand-ins
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
pub struct CheckOptions {
    /// Print all fields of a box's settings file, and how a change of each is taken over
    pub explain: bool,
    /// A partner's branch, or the settings file of a box
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
pub struct ExplainOptions {
    /// Name of the request, as its caller sent it
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Log files of boxes, in any order; standard input if left out
    #[bpaf(positional("FILE"), many)]
    pub files: Vec<PathBuf>,
}

#[derive(Clone, Debug, Bpaf)]
pub struct LossesOptions {
    /// Log files of boxes, in any order; standard input if left out
    #[bpaf(positional("FILE"), many)]
    pub files: Vec<PathBuf>,
}

#[derive(Clone, Debug, Bpaf)]
pub struct SpreadOptions {
    /// Log files of boxes, in any order; standard input if left out
    #[bpaf(positional("FILE"), many)]
    pub files: Vec<PathBuf>,
}

#[derive(Clone, Debug, Bpaf)]
pub struct ReportOptions {
    /// Operators' address of a box; may be given several times
    #[bpaf(
        long("box"),
        argument("ADDRESS"),
        some("name at least one box by --box ADDRESS")
    )]
    pub boxes: Vec<std::net::SocketAddr>,
    /// Print JSON
    pub json: bool,
}

#[derive(Clone, Debug, Bpaf)]
pub struct WithheldOptions {
    /// Address of a box's metrics; may be given several times
    #[bpaf(
        long("box"),
        argument("ADDRESS"),
        some("name at least one box by --box ADDRESS")
    )]
    pub boxes: Vec<std::net::SocketAddr>,
    /// Have all boxes send this on again; KEY of a request or prompt part as this command and log lines show it
    #[bpaf(argument("KEY"), optional)]
    pub clear: Option<prelude::Suspect>,
}

#[derive(Clone, Debug, Bpaf)]
pub struct StoreOptions {
    /// URL of the key-value service's JSON gateway
    #[bpaf(long("store"), argument("URL"))]
    pub url: String,
    /// The partner whose branch it is
    #[bpaf(argument("NAME"))]
    pub partner: String,
}

#[derive(Clone, Debug, Bpaf)]
pub enum SettingsOptions {
    #[bpaf(command("show"))]
    /// Prints the branch in force, or the settings file of a running box
    Show(#[bpaf(external(show_options))] ShowOptions),

    #[bpaf(command("history"))]
    /// Lists the accepted changes
    History(#[bpaf(external(store_options))] StoreOptions),

    #[bpaf(command("diff"))]
    /// Shows how a file differs from the branch in force, or from what a running box has
    Diff(#[bpaf(external(diff_options))] DiffOptions),

    #[bpaf(command("apply"))]
    /// Puts a file into force
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
}

/// What settings are looked at.
#[derive(Clone, Debug, Bpaf)]
pub enum ShowOptions {
    /// Those of a running box
    Box {
        /// Operators' address of a box; of a fleet's box the address of its metrics
        #[bpaf(long("box"), argument("ADDRESS"))]
        address: std::net::SocketAddr,
    },
    /// A partner's branch
    Store(#[bpaf(external(store_options))] StoreOptions),
}

#[derive(Clone, Debug, Bpaf)]
pub struct DiffOptions {
    #[bpaf(external(show_options))]
    pub from: ShowOptions,
    /// The branch, or the settings file of a box, as it shall be
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    #[bpaf(external(store_options))]
    pub store: StoreOptions,
    /// The revision that the change was made from; the one in force now where it is left out
    #[bpaf(argument("REVISION"))]
    pub from: Option<u64>,
    /// Who makes the change
    #[bpaf(argument("NAME"), fallback("unnamed".to_owned()))]
    pub author: String,
    /// Wait until it is in force at the boxes named by --box, and say which have it
    pub wait: bool,
    /// Operators' address of a box
    #[bpaf(long("box"), argument("ADDRESS"))]
    pub boxes: Vec<std::net::SocketAddr>,
    /// The branch as it shall be
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
pub struct DemoOptions {
    /// Run one streamed chat and one call that may not be repeated, and exit
    pub once: bool,
}
