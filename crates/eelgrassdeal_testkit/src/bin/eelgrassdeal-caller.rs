//! `eelgrassdeal-caller`: a well-made caller as a process. Prints one JSON line for each call.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::answer_text;
use eelgrassdeal_testkit::{ChatOutcome, TestCaller, chat_request};
use futures_util::future::join_all;
use gumdrop::Options;
use serde_json::json;

/// Calls a fleet as a client account does.
#[derive(Debug, Options)]
struct CallerOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CallCommand>,
}

#[derive(Debug, Options)]
enum CallCommand {
    #[options(help = "ask which addresses to use")]
    Locate(LocateOptions),
    #[options(help = "stream chat completions and continue broken ones through other nodes")]
    Chat(ChatOptions),
    #[options(help = "call the plain service")]
    Service(ServiceOptions),
}

#[derive(Debug, Options)]
struct LocateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "node to ask, repeatable", meta = "IP:PORT")]
    node: Vec<SocketAddr>,
}

#[derive(Debug, Options)]
struct ChatOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "node to ask for addresses, repeatable", meta = "IP:PORT")]
    node: Vec<SocketAddr>,
    #[options(no_short, help = "file with the key of the client account", meta = "FILE")]
    key_file: String,
    #[options(no_short, help = "text of the request", default = "appraise lot 7")]
    prompt: String,
    #[options(no_short, help = "tokens of each answer", default = "100")]
    tokens: u32,
    #[options(no_short, help = "streams at once", default = "1")]
    streams: u32,
    #[options(no_short, help = "go on with new requests for this long; 0 for one each")]
    seconds: u64,
    #[options(no_short, help = "deadline of each answer in ms", default = "30000")]
    deadline_ms: u64,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "node to call, repeatable; used in turn", meta = "IP:PORT")]
    node: Vec<SocketAddr>,
    #[options(no_short, help = "file with the key of the client account", meta = "FILE")]
    key_file: String,
    #[options(no_short, help = "name of the call", default = "price")]
    call: String,
    #[options(no_short, help = "body of the call", default = "{}")]
    body: String,
    #[options(no_short, help = "idempotency key; `new` makes one for all repetitions")]
    idempotency_key: Option<String>,
    #[options(no_short, help = "how often to make the call", default = "1")]
    repeat: usize,
    #[options(no_short, help = "deadline of each call in ms", default = "10000")]
    deadline_ms: u64,
}

#[compio::main]
async fn main() -> ExitCode {
    let is_done = match CallerOptions::parse_args_default_or_exit().command {
        Some(CallCommand::Locate(options)) => locate(&options).await,
        Some(CallCommand::Chat(options)) => chat(&options).await,
        Some(CallCommand::Service(options)) => call_service(&options).await,
        None => {
            eprintln!("{}", CallerOptions::usage());
            return ExitCode::from(2);
        }
    };
    if is_done { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn locate(options: &LocateOptions) -> bool {
    let started = Instant::now();
    let addresses = TestCaller::new(&options.node).locate().await;
    let elapsed_ms = milliseconds(started.elapsed());
    println!("{}", json!({ "addresses": addresses, "elapsed_ms": elapsed_ms }));
    !addresses.is_empty()
}

async fn chat(options: &ChatOptions) -> bool {
    let Some(caller) = open_caller(&options.node, &options.key_file, options.deadline_ms) else {
        return false;
    };
    let started = Instant::now();
    let time = Duration::from_secs(options.seconds);
    let streams = (0..options.streams).map(|stream| {
        let caller = &caller;
        async move {
            let mut is_whole = true;
            for round in 0.. {
                if round > 0 && started.elapsed() >= time {
                    break;
                }
                let prompt = format!("{} ({stream}.{round})", options.prompt);
                is_whole &= chat_once(caller, &prompt, options.tokens, started).await;
            }
            is_whole
        }
    });
    join_all(streams).await.into_iter().all(|is_whole| is_whole)
}

async fn chat_once(caller: &TestCaller, prompt: &str, tokens: u32, started: Instant) -> bool {
    let request = chat_request(prompt, tokens);
    let begin_ms = milliseconds(started.elapsed());
    let outcome: ChatOutcome = caller.chat(&request).await;
    let is_correct = outcome.is_whole && outcome.text == answer_text(&request);
    let line = json!({
        "begin_ms": begin_ms,
        "prompt": prompt,
        "whole": outcome.is_whole,
        "correct": is_correct,
        "tokens": tokens,
        "streams": outcome.streams,
        "first_token_ms": outcome.first_token.map(milliseconds),
        "longest_gap_ms": milliseconds(outcome.longest_gap),
        "elapsed_ms": milliseconds(outcome.elapsed),
        "error": outcome.error.map(|error| error.body.kind),
    });
    println!("{line}");
    is_correct
}

async fn call_service(options: &ServiceOptions) -> bool {
    let Some(caller) = open_caller(&options.node, &options.key_file, options.deadline_ms) else {
        return false;
    };
    let key = match options.idempotency_key.as_deref() {
        Some("new") => Some(TestCaller::new_key()),
        key => key.map(str::to_owned),
    };
    let mut is_done = true;
    for round in 0..options.repeat {
        let node = options.node[round % options.node.len()];
        let started = Instant::now();
        let outcome = caller.call_service(node, &options.call, key.as_deref(), &options.body).await;
        is_done &= outcome.status == 200;
        let line = json!({
            "node": node,
            "idempotency_key": key,
            "status": outcome.status,
            "body": outcome.body,
            "elapsed_ms": milliseconds(started.elapsed()),
        });
        println!("{line}");
    }
    is_done
}

/// Reads the account's key from its file. Without a node or a key there is nothing to call.
fn open_caller(nodes: &[SocketAddr], key_file: &str, deadline_ms: u64) -> Option<TestCaller> {
    if nodes.is_empty() {
        eprintln!("--node is missing");
        return None;
    }
    let key = match std::fs::read_to_string(key_file) {
        Ok(key) => key,
        Err(error) => {
            eprintln!("--key-file {key_file:?}: {error}");
            return None;
        }
    };
    let deadline = Duration::from_millis(deadline_ms);
    Some(TestCaller::new(nodes).with_key(key.trim()).with_deadline(deadline))
}

fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 100.0
}
