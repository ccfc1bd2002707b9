//! Assembly of events, whatever the pieces in which a stream arrives.

use eelgrassdeal_dispatch::{EndSignal, EventAssembler, EventFault, StreamEnd};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Takes all events that an assembler has, until it needs more bytes or finds a fault.
fn take_all(assembler: &mut EventAssembler) -> (String, Option<EventFault>) {
    let mut taken = String::new();
    loop {
        match assembler.take_events() {
            Ok(Some(bytes)) => taken.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return (taken, None),
            Err(fault) => return (taken, Some(fault)),
        }
    }
}

proptest! {
    #[test]
    fn pieces_of_any_size_give_whole_events_once(
        count in 0_u64..8,
        sizes in prop::collection::vec(1_usize..40, 1..80),
        cut in 0_usize..200,
        line_end in prop::sample::select(vec!["\n", "\r\n"]),
    ) {
        let event = |id: u64| event(id).replace('\n', line_end);
        let event_end = line_end.repeat(2);
        let stream: String = (1..=count).map(event).collect();
        let sent = &stream[..cut.min(stream.len())];
        let mut assembler = EventAssembler::new(None);
        let (mut taken, mut rest) = (String::new(), sent);
        for size in sizes.iter().cycle() {
            let (piece, left) = rest.split_at((*size).min(rest.len()));
            assembler.push(piece.as_bytes());
            let (events, fault) = take_all(&mut assembler);
            prop_assert_eq!(fault, None);
            taken.push_str(&events);
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        let whole = sent.rfind(&event_end).map_or("", |end| &sent[..end + event_end.len()]);
        prop_assert_eq!(&taken, whole);
        prop_assert_eq!(assembler.last_event(), (1..=count).rev().find(|id| taken.contains(&event(*id))));
        let is_cut = taken.len() < sent.len() || sent.is_empty();
        prop_assert_eq!(assembler.clone().end(EndSignal::Disconnection) == StreamEnd::BrokenOff, is_cut);
        prop_assert_eq!(assembler.end(EndSignal::Crash), StreamEnd::BrokenOff);
    }
}

#[test]
fn stream_without_length_and_events_is_broken_off() {
    for sent in ["", "\n", ": hello\n", ": hello\n\n"] {
        let mut assembler = EventAssembler::new(None);
        assembler.push(sent.as_bytes());
        take_all(&mut assembler);
        assert_eq!(assembler.end(EndSignal::Disconnection), StreamEnd::BrokenOff, "{sent:?}");
    }
    let mut assembler = EventAssembler::new(Some(3));
    assembler.begin_attempt();
    assert!(
        matches!(assembler.end(EndSignal::Framing), StreamEnd::Complete(_)),
        "nothing is left to send"
    );
}

#[test]
fn repeated_event_is_not_forwarded() {
    let mut assembler = EventAssembler::new(None);
    assembler.push(events([1, 2, 2, 3]).as_bytes());
    assert_eq!(take_all(&mut assembler), (events([1, 2]), Some(EventFault::NotIncreasing)));
    assert_eq!(assembler.last_event(), Some(2));
    assembler.begin_attempt();
    assembler.push(events([3]).as_bytes());
    assert_eq!(take_all(&mut assembler), (events([3]), None));
}

#[test]
fn attempt_that_starts_from_the_beginning_is_not_forwarded() {
    let mut assembler = EventAssembler::new(None);
    assembler.push(events([1, 2]).as_bytes());
    take_all(&mut assembler);
    assembler.begin_attempt();
    assembler.push(events([1, 2, 3]).as_bytes());
    assert_eq!(take_all(&mut assembler), (String::new(), Some(EventFault::NotIncreasing)));
}

#[test]
fn stream_is_not_resumed_after_an_event_without_id() {
    let mut assembler = EventAssembler::new(None);
    assembler.push(b": a comment\n\n");
    take_all(&mut assembler);
    assert!(assembler.is_resumable(), "a comment is not part of the stream");
    assembler.push(b"data: a\n\n");
    take_all(&mut assembler);
    assert!(!assembler.is_resumable());
    assembler.push(event(7).as_bytes());
    take_all(&mut assembler);
    assert!(assembler.is_resumable(), "the id of the last event tells where to go on");
}

#[test]
fn event_without_end_is_a_fault() {
    let mut assembler = EventAssembler::new(None);
    let fault = (0..20_000).find_map(|_| {
        assembler.push(b"data: 0123456789abcdef\n");
        take_all(&mut assembler).1
    });
    assert_eq!(fault, Some(EventFault::TooLarge));
}
