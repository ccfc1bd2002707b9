//! `eelgrassdeal-node`: the daemon that accepts requests of callers. It runs on each entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use eelgrassdeal_logging::init_logging;
use eelgrassdeal_node::{load_settings, run_node};
use gumdrop::Options;
use log::LevelFilter;

/// Exit code if the settings file is missing or invalid.
const EXIT_SETTINGS: u8 = 2;

/// Serves language models whose replicas span several VMs.
#[derive(Debug, Options)]
struct NodeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and exit")]
    check: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    if options.version {
        println!("eelgrassdeal-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &options.settings else {
        eprintln!("--settings is missing\n\n{}", NodeOptions::usage());
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    let level = settings.log.as_ref().map_or("info", |log| log.level.as_str());
    let logging = init_logging(level.parse().unwrap_or(LevelFilter::Info));
    if let Err(error) = &logging {
        eprintln!("cannot initialize logging: {error}");
    }
    match run_node(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
