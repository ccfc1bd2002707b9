//! Assembly of a stream's events from the pieces in which they arrive, over all its attempts.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. A response with more bytes before the next end of an event is not a
/// valid event stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Length of the longest end of an event: an empty line after the end of another one, of which either may
/// end with CRLF.
const MAX_EVENT_END_BYTES: usize = 3;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data";

/// Why an attempt's bytes are not the continuation of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// An event exceeds 256 KiB.
    TooLarge,
    /// The id of an event is not greater than the one before: the event comes again, or the attempt
    /// did not go on after the last event.
    NotIncreasing,
}

/// What told that a response has ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSignal {
    /// Its length or its last chunk.
    Framing,
    /// The end of its connection. Its upstream may have ended it early.
    Disconnection,
    /// The end of its connection, when the process of its upstream crashed.
    Crash,
}

/// What the end of a response means for its stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete after these bytes, which may be empty.
    Complete(Bytes),
    /// The response was broken off.
    BrokenOff,
}

/// Takes complete events from the pieces of a response, and remembers where to resume the stream if
/// it is interrupted.
#[derive(Clone, Debug, Default)]
pub struct EventAssembler {
    /// Bytes after the last event that was taken.
    pending: BytesMut,
    /// Number of bytes of `pending` that contain no end of an event.
    searched: usize,
    /// Id of the last event that was taken, or that the caller already had.
    last_event: Option<u64>,
    /// Whether an event with data and without an id was taken after `last_event`.
    has_unnumbered: bool,
    /// Number of events that were taken from the current attempt.
    attempt_events: u64,
}

impl EventAssembler {
    /// Creates an assembler for a stream that goes on after `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self { last_event, ..Self::default() }
    }

    /// Id of the last event that was taken, or that the caller already had.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of bytes after the last event that was taken.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether another attempt can go on where this one stopped: the events that were taken are told
    /// by the id of the last one.
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Discards what the interrupted attempt sent after its last complete event.
    pub fn begin_attempt(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.attempt_events = 0;
    }

    /// Adds a piece of the response.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Whether [`Self::take_events`] has a result: an event is complete, or has a fault.
    pub fn has_event(&mut self) -> bool {
        self.find_event_end(0).is_some() || self.pending.len() > MAX_EVENT_BYTES
    }

    /// Takes the complete events that have arrived, up to the first one with a fault; `None` if the
    /// next event is incomplete.
    ///
    /// # Errors
    ///
    /// [`EventFault`] if the next event must not be forwarded.
    pub fn take_events(&mut self) -> Result<Option<Bytes>, EventFault> {
        let mut taken = 0;
        while let Some(end) = self.find_event_end(taken) {
            let event = EventFields::parse(&self.pending[taken..end]);
            match (event.id, self.last_event) {
                (Some(id), Some(last)) if id <= last && taken == 0 => {
                    return Err(EventFault::NotIncreasing);
                }
                // The events before this one are taken first.
                (Some(id), Some(last)) if id <= last => break,
                (Some(id), _) => {
                    self.last_event = Some(id);
                    self.has_unnumbered = false;
                }
                (None, _) => self.has_unnumbered |= event.has_data,
            }
            self.attempt_events += u64::from(event.has_data || event.id.is_some());
            taken = end;
            self.searched = end;
        }
        match taken {
            0 if self.pending.len() > MAX_EVENT_BYTES => Err(EventFault::TooLarge),
            0 => Ok(None),
            _ => {
                self.searched = self.searched.saturating_sub(taken);
                Ok(Some(self.pending.split_to(taken).freeze()))
            }
        }
    }

    /// Decides whether the stream is complete when a response has ended without an error, as `signal`
    /// told.
    pub fn end(&mut self, signal: EndSignal) -> StreamEnd {
        let rest = self.pending.split().freeze();
        self.searched = 0;
        let is_empty = self.attempt_events == 0 && !has_fields(&rest);
        match signal {
            EndSignal::Crash => StreamEnd::BrokenOff,
            // Without any event, the upstream may have ended the connection after the head.
            EndSignal::Disconnection if is_empty => StreamEnd::BrokenOff,
            _ if has_unfinished_event(&rest) => StreamEnd::BrokenOff,
            _ => StreamEnd::Complete(rest),
        }
    }

    /// Returns the position after the first end of an event in `pending` that lies after `from`.
    fn find_event_end(&mut self, from: usize) -> Option<usize> {
        // The end of an event may begin in the bytes that were searched before.
        let start = self.searched.saturating_sub(MAX_EVENT_END_BYTES - 1).max(from);
        let bytes = &self.pending[start..];
        let line_ends = bytes.iter().zip(start + 1..).filter(|(byte, _)| **byte == b'\n');
        let mut event_ends = line_ends.filter_map(|(_, next)| match &self.pending[next..] {
            [b'\n', ..] => Some(next + 1),
            [b'\r', b'\n', ..] => Some(next + 2),
            _ => None,
        });
        let end = event_ends.next();
        if end.is_none() {
            self.searched = self.pending.len();
        }
        end
    }
}

/// What the fields of an event say about its place in the stream.
#[derive(Clone, Copy, Debug, Default)]
struct EventFields {
    /// The id, if there is one that is a number.
    id: Option<u64>,
    has_data: bool,
}

impl EventFields {
    fn parse(event: &[u8]) -> Self {
        event.split(|byte| *byte == b'\n').fold(Self::default(), |fields, line| Self {
            id: event_id(line).or(fields.id),
            has_data: fields.has_data || line.starts_with(DATA_FIELD),
        })
    }
}

/// Whether bytes contain a field of an event. Comments and empty lines belong to no event.
fn has_fields(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

/// Whether bytes after the last complete event contain a field of another one.
fn has_unfinished_event(bytes: &[u8]) -> bool {
    let is_ended = bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\r\r");
    !is_ended && has_fields(bytes)
}

/// Parses the id in a line of an event; `None` if the line is another field or the id is not a
/// number.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
