//! `eelgrassdeal-gateway`: the gateway daemon that runs on each entry VM of the platform.

use std::path::PathBuf;
use std::process::ExitCode;

use compio::runtime::Runtime;
use eelgrassdeal_gateway::{ProcessSignals, log_panics, run_gateway};
use eelgrassdeal_logging::init_logging;
use eelgrassdeal_platform::{SETTINGS_VARIABLE, load_settings};
use gumdrop::Options;
use log::LevelFilter;

/// Exit code when the settings file is missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Forwards callers' requests to upstreams: model engines and workers of other services.
#[derive(Debug, Options)]
struct GatewayOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file (default: value of EELGRASSDEAL_SETTINGS)", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and exit")]
    check: bool,
    #[options(help = "log level: error, warn, info (default), debug", meta = "LEVEL")]
    log_level: Option<LevelFilter>,
}

fn main() -> ExitCode {
    let options = GatewayOptions::parse_args_default_or_exit();
    if options.version {
        println!("eelgrassdeal-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let from_environment = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = options.settings.or(from_environment) else {
        eprintln!("--settings is missing\n\n{}", GatewayOptions::usage());
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let signals = match ProcessSignals::install() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot install signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match load_settings(&path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    let logging = init_logging(options.log_level.unwrap_or(LevelFilter::Info));
    if let Err(error) = &logging {
        eprintln!("cannot initialize logging: {error}");
    }
    log_panics();
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(run_gateway(settings, path, signals));
    // Ends the connections, whose lines `logging` still writes.
    drop(runtime);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // The gateway failed to start; a graceful shutdown logs its `event=stop` itself.
            log::error!("event=stop reason=\"{report:?}\"");
            ExitCode::FAILURE
        }
    }
}
