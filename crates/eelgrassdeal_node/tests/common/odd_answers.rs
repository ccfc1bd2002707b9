//! Calls, chats and probes that are answered with bytes that no client may accept.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use eelgrassdeal_schema::config::Vm;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_standins::{RawAnswer, answer_text, start_early_peer};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};

use super::{READY_STATUS, WAIT_TIMEOUT, serving_upstreams, start_fleet, start_serving_fleet};

/// Probes of an upstream after which a node knows that the first one failed.
const PROBES: usize = 10;
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const CHAT_TIMEOUT: Duration = Duration::from_secs(8);
const CHAT_TOKENS: u32 = 4;
const CHAT_PATH: &str = "POST /v1/chat/completions ";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The answer to the first attempt of the current request, and the number of its attempts.
#[derive(Debug, Default)]
struct CurrentRequest {
    answer: Option<RawAnswer>,
    attempts: usize,
}

impl CurrentRequest {
    /// Records an attempt; returns the answer to the first one.
    fn begin_attempt(&mut self) -> Option<RawAnswer> {
        self.attempts += 1;
        self.answer.take()
    }
}

type SharedRequest = Arc<Mutex<CurrentRequest>>;

fn begin_request(current: &SharedRequest, answer: &RawAnswer) {
    let request = CurrentRequest { answer: Some(answer.clone()), attempts: 0 };
    *current.lock().expect("no panic") = request;
}

fn attempts(current: &SharedRequest) -> usize {
    current.lock().expect("no panic").attempts
}

/// A sound answer but for its status.
pub fn answer_with_status(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let fields = format!("content-type: application/json\r\ncontent-length: {length}\r\n");
    format!("HTTP/1.1 {status}\r\n{fields}\r\n{body}").into_bytes()
}

fn sound_answer(body: &str) -> RawAnswer {
    RawAnswer::new("sound", answer_with_status("200 OK", body))
}

/// An upstream and the number of probes that it got.
struct OddUpstream {
    address: String,
    probes: Arc<AtomicUsize>,
}

/// Starts an upstream that answers probes with `probe_answer`, and calls as `current` says.
fn start_upstream(probe_answer: RawAnswer, current: &SharedRequest) -> OddUpstream {
    let probes = Arc::new(AtomicUsize::new(0));
    let (current, probe_count) = (current.clone(), probes.clone());
    let address = start_early_peer(move |head| {
        let answer = match head.starts_with("GET /status ") {
            true => {
                probe_count.fetch_add(1, Ordering::Relaxed);
                probe_answer.clone()
            }
            false => {
                let answer = current.lock().expect("no panic").begin_attempt();
                answer.unwrap_or_else(|| sound_answer("{}"))
            }
        };
        answer.after_request()
    });
    OddUpstream { address: address.expect("a free port").to_string(), probes }
}

/// Calls a service whose upstreams answer the first attempt of each call with one of `answers`. A call that
/// may be repeated must run elsewhere, another one must be answered 502.
pub async fn assert_calls_survive(answers: &[RawAnswer]) {
    let current = SharedRequest::default();
    let ready = sound_answer(READY_STATUS);
    let addresses = (0..3).map(|_| start_upstream(ready.clone(), &current).address).collect();
    let fleet = start_serving_fleet(FleetSpec::default(), addresses).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(CALL_TIMEOUT);
    let mut failures = Vec::new();
    for (call, expected) in [("price", (200, 2)), ("book", (502, 1))] {
        for answer in answers {
            begin_request(&current, answer);
            let key = (call == "book").then(TestCaller::new_idempotency_key);
            let address = fleet.node_addresses[0];
            let outcome = caller.call_service(address, call, key.as_deref(), "{}").await;
            let outcome = (outcome.status, attempts(&current));
            if outcome != expected {
                failures.push(format!("{call}, {}: (status, runs) {outcome:?}", answer.label));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Upstreams that answer probes with one of `answers` each must not become ready, beside a sound one that
/// does.
pub async fn assert_probes_fail(answers: &[RawAnswer]) {
    let current = SharedRequest::default();
    let probe_answers = answers.iter().cloned().chain([sound_answer(READY_STATUS)]);
    let upstreams: Vec<_> = probe_answers.map(|answer| start_upstream(answer, &current)).collect();
    let addresses = upstreams.iter().map(|upstream| upstream.address.clone()).collect();
    let fleet = start_fleet(FleetSpec::default(), addresses).await;
    let sound = format!("\"raw-{}\"", answers.len());
    let is_serving = async || {
        let serving = serving_upstreams(&fleet).await;
        serving.iter().any(|replica| replica.to_string().contains(&sound))
    };
    assert!(wait_until(WAIT_TIMEOUT, is_serving).await, "the sound upstream serves");
    let is_probed = |upstream: &OddUpstream| upstream.probes.load(Ordering::Relaxed) >= PROBES;
    let are_probed = async || upstreams.iter().all(is_probed);
    assert!(wait_until(WAIT_TIMEOUT, are_probed).await, "all upstreams are probed");
    let serving = serving_upstreams(&fleet).await;
    assert_eq!(serving.len(), 1, "{serving:#?}");
}

/// Starts a proxy of the engine at `target` that answers chats itself as `current` says.
fn start_engine_proxy(target: String, current: &SharedRequest) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let current = current.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (target, current) = (target.clone(), current.clone());
            // Errors are ends that the client caused, which it reports itself.
            thread::spawn(move || relay(stream, &target, &current));
        }
    });
    address
}

fn relay(mut client: TcpStream, target: &str, current: &SharedRequest) -> io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(HEAD_END) && client.read(&mut byte)? > 0 {
        head.push(byte[0]);
    }
    let is_chat = head.starts_with(CHAT_PATH.as_bytes());
    let answer = is_chat.then(|| current.lock().expect("no panic").begin_attempt()).flatten();
    if let Some(answer) = answer {
        client.write_all(&answer.bytes)?;
        // Keeps the connection open until the client closes it.
        return io::copy(&mut client, &mut io::sink()).map(|_| ());
    }
    let mut engine = TcpStream::connect(target)?;
    engine.write_all(&head)?;
    let (mut requests, mut engine_input) = (client.try_clone()?, engine.try_clone()?);
    thread::spawn(move || {
        let _ = io::copy(&mut requests, &mut engine_input);
        let _ = engine_input.shutdown(Shutdown::Both);
    });
    let relayed = io::copy(&mut engine, &mut client);
    let _ = client.shutdown(Shutdown::Both);
    relayed.map(|_| ())
}

/// Sends chats of which the first attempt is answered with one of `answers`. Their callers must get the whole
/// text from another replica.
pub async fn assert_chats_survive(answers: &[RawAnswer]) {
    let current = SharedRequest::default();
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let config = fleet.config().await;
    let proxied = |vm: Vm| Vm { address: start_engine_proxy(vm.address, &current), ..vm };
    let vms = fleet.engines.iter().filter_map(|(id, _)| config.vm(id).cloned());
    fleet.apply(vms.map(proxied).map(Body::Vm).collect()).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(CHAT_TIMEOUT);
    let request = chat_request("a prompt", CHAT_TOKENS);
    let busy = RawAnswer::new("busy", answer_with_status("503 Busy", "{}"));
    let is_proxied = async || {
        begin_request(&current, &busy);
        caller.chat_without_retry(fleet.node_addresses[0], &request).await;
        attempts(&current) > 0
    };
    assert!(wait_until(WAIT_TIMEOUT, is_proxied).await, "chats reach the proxies");
    let mut failures = Vec::new();
    for answer in answers {
        begin_request(&current, answer);
        let outcome = caller.chat_without_retry(fleet.node_addresses[0], &request).await;
        let is_whole = outcome.is_complete && outcome.text == answer_text(&request);
        let attempts = attempts(&current);
        if !is_whole || attempts != 2 {
            failures.push(format!("{}: {attempts} attempts, {outcome:?}", answer.label));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
