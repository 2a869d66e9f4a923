//! `sparlug`: the command line for the proxy, the fleet and the lab.
//!
//! Exit status: 0 success; 1 the command failed to run; 2 invalid arguments or configuration; 3 a lab run
//! broke a rule; 4 an experiment missed one of its bounds.

mod demo;
mod fleet;
mod hold;
mod lab;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A failed command: the message for standard error and the exit status of the process.
#[derive(Debug)]
pub struct CommandError {
    pub exit_status: u8,
    pub message: String,
}

impl CommandError {
    /// The command was valid but failed: exit status 1.
    pub fn failure(message: impl Into<String>) -> CommandError {
        CommandError { exit_status: 1, message: message.into() }
    }

    /// Invalid arguments or configuration: exit status 2.
    pub fn usage(message: impl Into<String>) -> CommandError {
        CommandError { exit_status: 2, message: message.into() }
    }
}

/// Format of log lines, as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
pub enum LogFormatArgument {
    Text,
    Json,
}

#[derive(Parser)]
#[command(name = "sparlug", version, about = "A load balancer for services that call services")]
struct Arguments {
    /// How log lines look, on standard error
    #[arg(long, global = true, value_enum)]
    log_format: Option<LogFormatArgument>,
    /// Which log lines are written, such as "info" or "sparlug_proxy=debug"
    #[arg(long, global = true, value_name = "FILTER")]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve before one tier, as a configuration says
    Serve {
        /// A .toml file of the project's own form or the platform's JSON; without it, what ROUTER_CONFIG names
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Tell all that is wrong with a configuration, and serve nothing
    Check { file: PathBuf },
    /// Start four stand-in backends, an agent and a proxy on loopback, and show them at work
    Demo(demo::Demo),
    /// What the proxies of a fleet see of each other
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Experiments on an emulated deployment
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Print the completions for a shell
    Completions { shell: Shell },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logging = serve::Logging { filter: arguments.log, format: arguments.log_format };
    let result = match arguments.command {
        Command::Serve { config } => serve::serve(config, logging),
        Command::Check { file } => serve::check(&file),
        Command::Demo(demo) => logging.init(None, None).and_then(|()| demo.run()),
        Command::Fleet(fleet) => fleet.run(),
        Command::Lab(lab) => logging.init(None, None).and_then(|()| lab.run()),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "sparlug", &mut std::io::stdout());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError { exit_status, message }) => {
            message.lines().for_each(|line| eprintln!("sparlug: {line}"));
            ExitCode::from(exit_status)
        }
    }
}
