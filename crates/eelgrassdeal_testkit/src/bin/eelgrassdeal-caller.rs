//! `eelgrassdeal-caller`: command line of [`TestCaller`]. Prints one line of JSON for each call.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::answer_text;
use eelgrassdeal_testkit::{ChatOutcome, TestCaller, chat_request};
use futures_util::future::join_all;
use gumdrop::Options;
use serde_json::json;

/// Sends requests of a client account to a fleet.
#[derive(Debug, Options)]
struct CallerOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CallCommand>,
}

#[derive(Debug, Options)]
enum CallCommand {
    #[options(help = "print the addresses of the entry nodes to send requests to")]
    Locate(LocateOptions),
    #[options(help = "stream chat completions and continue interrupted ones through other nodes")]
    Chat(ChatOptions),
    #[options(help = "call the plain service, an HTTP service that is not a model")]
    Service(ServiceOptions),
}

#[derive(Debug, Options)]
struct LocateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "address of a node to ask; may be repeated", meta = "IP:PORT")]
    node: Vec<SocketAddr>,
}

#[derive(Debug, Options)]
struct ChatOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "address of a node to ask for the entry nodes; may be repeated",
        meta = "IP:PORT"
    )]
    node: Vec<SocketAddr>,
    #[options(no_short, help = "file with the key of the client account", meta = "FILE")]
    key_file: String,
    #[options(no_short, help = "text of the requests", default = "appraise lot 7")]
    prompt: String,
    #[options(no_short, help = "number of tokens of each response", default = "100")]
    tokens: u32,
    #[options(
        no_short,
        help = "number of concurrent loops that send one request after another",
        default = "1"
    )]
    streams: u32,
    #[options(
        no_short,
        help = "time in s for which each loop sends new requests; 0 for one request each"
    )]
    seconds: u64,
    #[options(
        no_short,
        help = "timeout of each chat completion in ms, with retries",
        default = "30000"
    )]
    deadline_ms: u64,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "address of a node to call; may be repeated, nodes are used in turn",
        meta = "IP:PORT"
    )]
    node: Vec<SocketAddr>,
    #[options(no_short, help = "file with the key of the client account", meta = "FILE")]
    key_file: String,
    #[options(no_short, help = "name of the call", default = "price")]
    call: String,
    #[options(no_short, help = "body of the call", default = "{}")]
    body: String,
    #[options(no_short, help = "idempotency key of all repetitions; `new` generates one")]
    idempotency_key: Option<String>,
    #[options(no_short, help = "number of times to make the call", default = "1")]
    repeat: usize,
    #[options(no_short, help = "timeout of each call in ms", default = "10000")]
    deadline_ms: u64,
}

#[compio::main]
async fn main() -> ExitCode {
    let is_successful = match CallerOptions::parse_args_default_or_exit().command {
        Some(CallCommand::Locate(options)) => locate(&options).await,
        Some(CallCommand::Chat(options)) => chat(&options).await,
        Some(CallCommand::Service(options)) => call_service(&options).await,
        None => {
            eprintln!("{}", CallerOptions::usage());
            return ExitCode::from(2);
        }
    };
    if is_successful { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn locate(options: &LocateOptions) -> bool {
    let started = Instant::now();
    let addresses = TestCaller::new(&options.node).locate().await;
    let elapsed_ms = milliseconds(started.elapsed());
    println!("{}", json!({ "addresses": addresses, "elapsed_ms": elapsed_ms }));
    !addresses.is_empty()
}

async fn chat(options: &ChatOptions) -> bool {
    let Some(caller) = create_caller(&options.node, &options.key_file, options.deadline_ms) else {
        return false;
    };
    let started = Instant::now();
    let duration = Duration::from_secs(options.seconds);
    let request_loops = (0..options.streams).map(|loop_index| {
        let caller = &caller;
        async move {
            let mut is_successful = true;
            for round in 0.. {
                if round > 0 && started.elapsed() >= duration {
                    break;
                }
                let prompt = format!("{} ({loop_index}.{round})", options.prompt);
                is_successful &= chat_once(caller, &prompt, options.tokens, started).await;
            }
            is_successful
        }
    });
    join_all(request_loops).await.into_iter().all(|is_successful| is_successful)
}

/// Runs one chat completion and prints its result. `whole` says whether `[DONE]` was received,
/// `correct` whether the text is also the expected one. `streams` is the number of requests sent,
/// which is above 1 after an interruption or a failure. Returns `correct`.
async fn chat_once(caller: &TestCaller, prompt: &str, tokens: u32, started: Instant) -> bool {
    let request = chat_request(prompt, tokens);
    let begin_ms = milliseconds(started.elapsed());
    let outcome: ChatOutcome = caller.chat(&request).await;
    let is_correct = outcome.is_complete && outcome.text == answer_text(&request);
    let line = json!({
        "begin_ms": begin_ms,
        "prompt": prompt,
        "whole": outcome.is_complete,
        "correct": is_correct,
        "tokens": tokens,
        "streams": outcome.stream_count,
        "first_token_ms": outcome.time_to_first_token.map(milliseconds),
        "longest_gap_ms": milliseconds(outcome.longest_gap),
        "elapsed_ms": milliseconds(outcome.elapsed),
        "error": outcome.error.map(|error| error.body.kind),
    });
    println!("{line}");
    is_correct
}

async fn call_service(options: &ServiceOptions) -> bool {
    let Some(caller) = create_caller(&options.node, &options.key_file, options.deadline_ms) else {
        return false;
    };
    let idempotency_key = match options.idempotency_key.as_deref() {
        Some("new") => Some(TestCaller::new_idempotency_key()),
        key => key.map(str::to_owned),
    };
    let mut is_successful = true;
    for round in 0..options.repeat {
        let node = options.node[round % options.node.len()];
        let started = Instant::now();
        let outcome = caller
            .call_service(node, &options.call, idempotency_key.as_deref(), &options.body)
            .await;
        is_successful &= outcome.status == 200;
        let line = json!({
            "node": node,
            "idempotency_key": idempotency_key,
            "status": outcome.status,
            "body": outcome.body,
            "elapsed_ms": milliseconds(started.elapsed()),
        });
        println!("{line}");
    }
    is_successful
}

/// Creates a client with the API key from `key_file`. `None`, with a message on standard error, if
/// no node is given or the file cannot be read.
fn create_caller(nodes: &[SocketAddr], key_file: &str, deadline_ms: u64) -> Option<TestCaller> {
    if nodes.is_empty() {
        eprintln!("--node is required");
        return None;
    }
    let api_key = match std::fs::read_to_string(key_file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("--key-file {key_file:?}: {error}");
            return None;
        }
    };
    let timeout = Duration::from_millis(deadline_ms);
    Some(TestCaller::new(nodes).with_api_key(api_key.trim()).with_timeout(timeout))
}

/// Milliseconds, rounded to two decimal places.
fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e5).round() / 100.0
}
