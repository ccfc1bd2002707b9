//! `eelgrassdeal-standin`: runs one fake, or all services of the platform, as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eelgrassdeal_standins::{
    CertificateAuthority, EngineFake, EngineOptions, ObjectFake, ServiceFake, TableFake,
    VmListFake, WeightsFake,
};
use gumdrop::Options;

/// Runs fakes of the systems that eelgrassdeal depends on.
#[derive(Debug, Options)]
struct StandinOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<StandinCommand>,
}

#[derive(Debug, Options)]
enum StandinCommand {
    #[options(help = "table service, object store, VM list and weight store")]
    Platform(PlatformOptions),
    #[options(help = "a model engine, which runs on one VM")]
    Engine(EngineCommand),
    #[options(
        help = "an upstream of a plain service, which is an HTTP service that is not a model"
    )]
    Service(ServiceCommand),
    #[options(help = "write certificates for nodes and exit")]
    Certificates(CertificatesCommand),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of the table service", required)]
    table: Option<SocketAddr>,
    #[options(help = "address of the object store", required)]
    object: Option<SocketAddr>,
    #[options(help = "address of the VM list", required)]
    vm_list: Option<SocketAddr>,
    #[options(help = "address of the weight store", required)]
    weights: Option<SocketAddr>,
    #[options(help = "total transfer rate of the weight store in bytes/s", default = "1000000000")]
    weights_rate: u64,
    #[options(help = "delay until the VM list shows a change, in ms", default = "2000")]
    vm_list_lag_ms: u64,
}

#[derive(Debug, Options)]
struct EngineCommand {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "id of the VM in the register", required)]
    vm: String,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
    #[options(help = "base URL of the weight store")]
    weights_url: Option<String>,
    #[options(
        help = "accept orders to join or leave a group even if their fencing number is outdated"
    )]
    ignore_fencing: bool,
    #[options(help = "time to the first token in ms", default = "50")]
    first_token_ms: u64,
    #[options(help = "time between tokens in ms", default = "20")]
    token_ms: u64,
    #[options(
        help = "maximum number of concurrent requests of a cold engine; one more crashes it",
        default = "4"
    )]
    cold_limit: u32,
    #[options(
        help = "maximum number of concurrent requests of a warm engine; one more crashes it",
        default = "64"
    )]
    warm_limit: u32,
    #[options(
        help = "time from the first request until the engine is warm, in ms",
        default = "3000"
    )]
    warm_after_ms: u64,
}

#[derive(Debug, Options)]
struct ServiceCommand {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
    #[options(help = "processing time of a call in ms", default = "10")]
    work_ms: u64,
}

#[derive(Debug, Options)]
struct CertificatesCommand {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory to write to", required)]
    dir: PathBuf,
    #[options(help = "node id; may be repeated", meta = "ID")]
    node: Vec<String>,
}

#[compio::main]
async fn main() -> std::io::Result<()> {
    let options = StandinOptions::parse_args_default_or_exit();
    let mut handles = Vec::new();
    match options.command {
        Some(StandinCommand::Platform(command)) => {
            if let Some(address) = command.table {
                handles.push(TableFake::new().serve(address).await?);
            }
            if let Some(address) = command.object {
                handles.push(ObjectFake::new().serve(address).await?);
            }
            if let Some(address) = command.vm_list {
                let lag = Duration::from_millis(command.vm_list_lag_ms);
                handles.push(VmListFake::new().with_lag(lag).serve(address).await?);
            }
            if let Some(address) = command.weights {
                handles.push(WeightsFake::new(command.weights_rate).serve(address).await?);
            }
        }
        Some(StandinCommand::Engine(command)) => {
            let engine = EngineFake::new(EngineOptions {
                enforces_fencing: !command.ignore_fencing,
                weights_url: command.weights_url,
                first_token_delay: Duration::from_millis(command.first_token_ms),
                token_interval: Duration::from_millis(command.token_ms),
                cold_limit: command.cold_limit,
                warm_limit: command.warm_limit,
                warm_up_time: Duration::from_millis(command.warm_after_ms),
                ..EngineOptions::new(command.vm)
            });
            if let Some(address) = command.listen {
                handles.push(engine.serve(address).await?);
            }
        }
        Some(StandinCommand::Service(command)) => {
            let work_time = Duration::from_millis(command.work_ms);
            if let Some(address) = command.listen {
                handles.push(ServiceFake::new().with_work_time(work_time).serve(address).await?);
            }
        }
        Some(StandinCommand::Certificates(command)) => {
            let authority = CertificateAuthority::new(&command.dir)?;
            for node in &command.node {
                authority.issue(&[node])?;
            }
            return Ok(());
        }
        None => {
            eprintln!("{}", StandinOptions::usage());
            std::process::exit(2);
        }
    }
    for handle in &handles {
        println!("listening on {}", handle.address());
    }
    std::future::pending::<()>().await;
    drop(handles);
    Ok(())
}
