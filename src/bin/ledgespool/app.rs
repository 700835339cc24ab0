//! The operators' command line.

use std::{net, path};

use bpaf::Bpaf;

/// The entry host to call and the operator's credentials.
#[derive(Debug, Clone, Bpaf)]
pub struct HostOptions {
    /// Control address of any entry host
    #[bpaf(
        long,
        argument("IP:PORT"),
        env("LEDGESPOOL_HOST"),
        fallback(default_host())
    )]
    pub host: net::SocketAddr,
    /// File that holds the operator token; by default, `LEDGESPOOL_TOKEN` is used
    #[bpaf(long, argument("FILE"), optional)]
    pub token_file: Option<path::PathBuf>,
    /// Print JSON
    pub json: bool,
}

const fn default_host() -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 7_002)
}

/// The experiment to run.
#[derive(Debug, Clone, Bpaf)]
pub enum ExperimentCommand {
    /// Compare strategies that enforce customers' limits over all hosts
    ///
    /// Example: ledgespool experiment limits examples/limits/pressing-customer.jsonc
    #[bpaf(command)]
    Limits {
        /// Print JSON
        json: bool,
        /// Seed of arrivals and faults
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// Draw each customer's fullest window into this file
        #[bpaf(long, argument("FILE.svg"), optional)]
        plot: Option<path::PathBuf>,
        /// The scenario: JSON with comments
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
}

/// Steers callers to healthy backend servers: the operators' command line.
///
/// Exit status: 0 done, 1 refused or failed, 2 not in force on all hosts in time, 3 host unreachable.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum OperatorCommand {
    /// Check declaration files without any host
    ///
    /// Example: ledgespool check examples/firm
    #[bpaf(command)]
    Check {
        /// Print JSON
        json: bool,
        /// Directory of *.jsonc files
        #[bpaf(positional("DIR"))]
        dir: path::PathBuf,
    },
    /// Show what `apply` would change
    ///
    /// Example: ledgespool plan --host 127.0.0.1:7002 examples/firm
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        host_options: HostOptions,
        /// Directory of *.jsonc files
        #[bpaf(positional("DIR"))]
        dir: path::PathBuf,
    },
    /// Put a declaration in force
    ///
    /// Example: ledgespool apply --wait --host 127.0.0.1:7002 examples/firm
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        host_options: HostOptions,
        /// Return only when it is in force on every live entry host
        wait: bool,
        /// How long to wait, in seconds
        #[bpaf(long, argument("SECONDS"), fallback(10))]
        wait_limit: u64,
        /// Id of the operation: repeating an apply with the same id is safe
        #[bpaf(long, argument("ID"), optional)]
        operation: Option<String>,
        /// Directory of *.jsonc files
        #[bpaf(positional("DIR"))]
        dir: path::PathBuf,
    },
    /// Show every entry host: generation in force, planner, headroom, drains
    ///
    /// Example: ledgespool status --host 127.0.0.1:7002
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        host_options: HostOptions,
    },
    /// Drain a server, hall or host: no new requests, running ones finish
    ///
    /// Example: ledgespool drain --host 127.0.0.1:7002 server desk-perth-1
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        host_options: HostOptions,
        /// Lift the drain
        undo: bool,
        /// Return only when no request runs on it any more
        wait: bool,
        /// How long to wait, in seconds
        #[bpaf(long, argument("SECONDS"), fallback(600))]
        wait_limit: u64,
        /// server, hall or host
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Shift a share of a region's callers to another region, in steps below the declared cap
    ///
    /// Example: ledgespool shift --host 127.0.0.1:7002 --share 0.5 pipeline-desk perth bunbury
    #[bpaf(command)]
    Shift {
        #[bpaf(external)]
        host_options: HostOptions,
        /// End the shift
        undo: bool,
        /// Share of the callers' work, 0 to 1
        #[bpaf(long, argument("SHARE"), fallback(1.0))]
        share: f64,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The region whose callers move
        #[bpaf(positional("FROM"))]
        from: String,
        /// The region that receives them
        #[bpaf(positional("TO"))]
        to: String,
    },
    /// Show the events of all processes in one order
    ///
    /// Example: ledgespool timeline --host 127.0.0.1:7002 --last 50
    #[bpaf(command)]
    Timeline {
        #[bpaf(external)]
        host_options: HostOptions,
        /// Only the last events
        #[bpaf(long, argument("N"), fallback(200))]
        last: usize,
    },
    /// Look up a service at an entry host, as a caller does
    ///
    /// Example: ledgespool lookup 127.0.0.1:7001 pipeline-desk
    #[bpaf(command)]
    Lookup {
        /// Print JSON
        json: bool,
        /// The caller's address, if this machine is a trusted forwarder
        #[bpaf(long, argument("IP"), optional)]
        from: Option<net::IpAddr>,
        /// Caller address of an entry host
        #[bpaf(positional("IP:PORT"))]
        entry: net::SocketAddr,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Explain a result code or an event
    ///
    /// Example: ledgespool explain LS2005
    #[bpaf(command)]
    Explain {
        /// Print the tables of the documentation
        markdown: bool,
        /// A code such as LS2005 or EV4001; all codes by default
        #[bpaf(positional("CODE"))]
        code: Option<String>,
    },
    /// Trace one request through the logs of entry hosts
    ///
    /// Example: ledgespool explain-request 9c41d07be2a35f68 entry-1.log entry-2.log
    #[bpaf(command("explain-request"))]
    ExplainRequest {
        /// The request's identity
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files of any hosts; standard input by default
        #[bpaf(positional("FILE"), many)]
        files: Vec<path::PathBuf>,
    },
    /// Report late and failed requests and their causes, from the logs of entry hosts
    ///
    /// Example: ledgespool losses --plot losses.svg entry-*.log
    #[bpaf(command)]
    Losses {
        /// Print JSON
        json: bool,
        /// Draw the losses over time into this file
        #[bpaf(long, argument("FILE.svg"), optional)]
        plot: Option<path::PathBuf>,
        /// Log files of any hosts; standard input by default
        #[bpaf(positional("FILE"), many)]
        files: Vec<path::PathBuf>,
    },
    /// Simulate decisions over many hosts in this process, without sockets and clocks
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment_command))] ExperimentCommand),
    /// Print the schema of the operators' calls
    ///
    /// Example: ledgespool schema > schema/openrpc.json
    #[bpaf(command)]
    Schema,
    /// Run a complete system in this process and send mixed requests
    ///
    /// Example: ledgespool demo --requests 2000
    #[bpaf(command)]
    Demo {
        /// Requests to send
        #[bpaf(long, argument("N"), fallback(2_000))]
        requests: u64,
        /// Requests a second
        #[bpaf(long, argument("N"), fallback(400.0))]
        rate: f64,
        /// Entry hosts
        #[bpaf(long, argument("N"), fallback(3))]
        hosts: usize,
        /// Seed of arrivals, mix and work
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// Print JSON
        json: bool,
    },
}
