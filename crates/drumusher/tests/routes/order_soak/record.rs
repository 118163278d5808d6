//! What callers received, and what of it is out of order.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
};

use drumusher_adapter_stand_in::Server;

use super::EVENTS;
use crate::support::Response;

/// What a caller received for one request.
#[derive(Clone, Debug, Default)]
pub struct Piece {
    /// The ID of the request.
    pub id: String,
    /// The index of the instance that it was sent to.
    pub instance: usize,
    /// The event after which the stream goes on, and the piece that has it. A stream that begins has none.
    pub after: Option<(usize, u64)>,
    /// Whether the request names the attempt that began the stream.
    pub names_attempt: bool,
    /// The complete events: their numbers, the requests that they belong to, and the software versions.
    pub events: Vec<(u64, String, String)>,
    /// Whether the response looked whole to the caller.
    pub complete: bool,
    /// Status of the response; 0 if there was none.
    pub status: u16,
}

impl Piece {
    /// Adds a response.
    pub fn add(&mut self, response: &Response) {
        (self.status, self.complete) = (response.status, response.complete);
        if response.status != 200 {
            return;
        }
        let text = response.text();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        for event in whole.split("\n\n").filter(|event| !event.is_empty()) {
            let (number, data) = event.split_once("\ndata: ").expect("a number and data");
            let number = number.strip_prefix("id: ").and_then(|number| number.parse().ok());
            let mut words = data.split(' ');
            let id = words.next().unwrap_or_default().to_string();
            let version = words.nth(2).unwrap_or("v1").to_string();
            self.events.push((number.expect("a number"), id, version));
        }
    }

    /// Number of the last event that the caller has, also from the pieces before.
    pub fn last(&self) -> u64 {
        let before = self.after.map_or(0, |(_, number)| number);
        self.events.last().map_or(before, |event| event.0)
    }
}

/// What all callers received.
#[derive(Default)]
pub struct Journal {
    pieces: Mutex<Vec<Piece>>,
}

impl Journal {
    /// Adds a piece that is about to be requested. Returns its number.
    pub fn begin(&self, piece: Piece) -> usize {
        let mut pieces = self.pieces.lock().expect("no holder panics");
        pieces.push(piece);
        pieces.len() - 1
    }

    /// Replaces a piece by what was received.
    pub fn finish(&self, number: usize, piece: &Piece) {
        self.pieces.lock().expect("no holder panics")[number] = piece.clone();
    }

    /// Number of streams that were taken up.
    pub fn taken_up(&self) -> usize {
        self.count(|piece| piece.after.is_some() && !piece.events.is_empty())
    }

    /// Numbers of requests by what became of them.
    pub fn summary(&self) -> String {
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for piece in self.pieces.lock().expect("no holder panics").iter() {
            *statuses.entry(piece.status).or_default() += 1;
        }
        let complete = self.count(|piece| piece.complete && piece.status == 200);
        format!("{statuses:?}, {} taken up, {complete} complete", self.taken_up())
    }

    fn count(&self, counts: impl Fn(&Piece) -> bool) -> usize {
        self.pieces.lock().expect("no holder panics").iter().filter(|piece| counts(piece)).count()
    }

    /// What is out of order, in single responses and where they were joined.
    pub fn violations(&self, servers: &[Server]) -> Vec<String> {
        let pieces = self.pieces.lock().expect("no holder panics");
        let services = services(servers);
        let broken = pieces.iter().enumerate().filter_map(|(number, piece)| {
            let what = response_violation(piece)
                .or_else(|| chain_violation(&pieces, number, &services))?;
            Some(format!("{what}: {}", describe(&pieces, number)))
        });
        broken.collect()
    }
}

/// What is wrong with a response by itself.
fn response_violation(piece: &Piece) -> Option<&'static str> {
    let after = piece.after.map_or(0, |(_, number)| number);
    if (after + 1..).zip(&piece.events).any(|(due, event)| due != event.0) {
        return Some("events are missing, come twice or are out of order");
    }
    if piece.events.iter().any(|event| event.1 != piece.id) {
        return Some("events of another request");
    }
    if piece.events.windows(2).any(|pair| pair[0].2 != pair[1].2) {
        return Some("a response of two software versions");
    }
    let ends_early = piece.status == 200 && piece.complete && piece.last() != EVENTS;
    ends_early.then_some("a response looks whole before its last event")
}

/// The services that ran the requests, which the IDs of their servers begin with.
fn services(servers: &[Server]) -> HashMap<String, String> {
    let runs = servers.iter().flat_map(|server| {
        let service = server.id.trim_end_matches(|letter: char| letter.is_ascii_digit());
        server.runs().into_iter().map(move |run| (run.id, service.to_string()))
    });
    runs.collect()
}

/// What is wrong where a response was joined to those before it.
fn chain_violation(
    pieces: &[Piece],
    number: usize,
    services: &HashMap<String, String>,
) -> Option<&'static str> {
    let version = &pieces[number].events.first()?.2;
    let service = services.get(&pieces[number].id);
    let mut at = pieces[number].after;
    while let Some((before, last)) = at {
        if pieces[before].events.iter().any(|event| event.0 <= last && event.2 != *version) {
            return Some("a stream of two software versions");
        }
        if !pieces[before].events.is_empty() && services.get(&pieces[before].id) != service {
            return Some("a stream of two services");
        }
        if last > pieces[before].last() {
            return Some("a stream goes on after an event that was not received");
        }
        at = pieces[before].after;
    }
    None
}

/// A piece and those before it, in one line.
fn describe(pieces: &[Piece], number: usize) -> String {
    let piece = &pieces[number];
    let events = match (piece.events.first(), piece.events.last()) {
        (Some(first), Some(last)) => format!("{} {} to {} {}", first.0, first.2, last.0, last.2),
        _ => "none".into(),
    };
    let this = format!(
        "{} at i{} (names attempt: {}, status {}, complete: {}) events {events}",
        piece.id, piece.instance, piece.names_attempt, piece.status, piece.complete
    );
    match piece.after {
        Some((before, last)) => format!("{this}, after {last} of [{}]", describe(pieces, before)),
        None => this,
    }
}
