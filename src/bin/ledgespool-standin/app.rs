//! The command line of the stand-ins.

use std::{net, path};

use bpaf::Bpaf;

/// Stand-ins for the systems around ledgespool, and a load generator.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum StandinCommand {
    /// The platform: objects, watches and the host list
    ///
    /// Example: ledgespool-standin platform --listen 127.0.0.1:7100
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 picks a free port, which is printed
        #[bpaf(argument("IP:PORT"))]
        listen: net::SocketAddr,
    },
    /// Backend servers
    ///
    /// Example: ledgespool-standin backend --listen 127.0.0.1:7201 --slots 9
    #[bpaf(command)]
    Backend {
        /// Requests that each server runs at once
        #[bpaf(argument("N"), fallback(9))]
        slots: usize,
        /// Address to listen on; may be repeated for several servers in one process
        #[bpaf(argument("IP:PORT"), some("at least one --listen is needed"))]
        listen: Vec<net::SocketAddr>,
    },
    /// A fault-injecting TCP proxy
    ///
    /// Example: ledgespool-standin proxy --listen 127.0.0.1:7300 --to 127.0.0.1:7100 --admin 127.0.0.1:7301
    #[bpaf(command)]
    Proxy {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: net::SocketAddr,
        /// Address to forward connections to
        #[bpaf(argument("IP:PORT"))]
        to: net::SocketAddr,
        /// Address that accepts `PUT /` with "pass", "freeze", "cut", "`lose_answers`" or {"delay": MS}
        #[bpaf(argument("IP:PORT"))]
        admin: net::SocketAddr,
    },
    /// Generate an open-loop load
    ///
    /// Example: ledgespool-standin load --entry 127.0.0.1:7001 --mix mix.json --rate 200 --requests 2000
    #[bpaf(command)]
    Load {
        /// Entry hosts for the first look-up
        #[bpaf(argument("IP:PORT"), some("at least one --entry is needed"))]
        entry: Vec<net::SocketAddr>,
        /// The mix: a JSON list of classes, see examples/mix.json
        #[bpaf(argument("FILE"))]
        mix: path::PathBuf,
        /// Requests a second
        #[bpaf(argument("N"), fallback(100.0))]
        rate: f64,
        /// How many requests
        #[bpaf(argument("N"), fallback(1_000))]
        requests: u64,
        /// Seed of arrivals, mix and work
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Callers' addresses, as trusted forwarders state them
        #[bpaf(argument("IP"))]
        from: Vec<net::IpAddr>,
        /// Print JSON
        json: bool,
    },
    /// Generate a closed-loop load: callers that send the same request one after the other
    ///
    /// Example: ledgespool-standin repeat --to 127.0.0.1:7001 --path '/lookup?service=desk'
    #[bpaf(command)]
    Repeat {
        /// Address to send to
        #[bpaf(argument("IP:PORT"))]
        to: net::SocketAddr,
        /// Path and query
        #[bpaf(argument("PATH"))]
        path: String,
        /// Headers, each as name=value
        #[bpaf(argument("NAME=VALUE"))]
        header: Vec<String>,
        /// Connections
        #[bpaf(argument("N"), fallback(16))]
        callers: usize,
        /// Threads that drive them
        #[bpaf(argument("N"), fallback(1))]
        threads: usize,
        /// How long, in seconds
        #[bpaf(argument("N"), fallback(3))]
        seconds: u64,
    },
}
