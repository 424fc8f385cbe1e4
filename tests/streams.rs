//! Tests that streams are split into complete events without a change of their bytes.

use apricotrun::transport::gateway::stream::{EventDecoder, EventError};

fn split(decoder: &mut EventDecoder, bytes: &[u8]) -> Vec<(Option<u32>, String)> {
    decoder.push(bytes);
    let mut events = Vec::new();
    while let Some(event) = decoder.next_event().expect("valid events") {
        events.push((event.id, event.text));
    }
    events
}

#[test]
fn events_are_complete_however_the_bytes_are_split() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n";
    for size in 1..text.len() {
        let mut decoder = EventDecoder::default();
        let mut events = Vec::new();
        for part in text.as_bytes().chunks(size) {
            events.extend(split(&mut decoder, part));
        }
        let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "in parts of {size}");
        let joined: String = events.into_iter().map(|(_, text)| text).collect();
        assert_eq!(joined, text);
        assert!(decoder.is_empty());
    }
}

#[test]
fn incomplete_event_is_not_returned() {
    let mut decoder = EventDecoder::default();
    assert_eq!(split(&mut decoder, b"id: 1\ndata: a\n").len(), 0);
    assert!(!decoder.is_empty());
}

#[test]
fn invalid_utf8_is_an_error() {
    let mut decoder = EventDecoder::default();
    decoder.push(b"data: \xff\n\n");
    assert_eq!(decoder.next_event(), Err(EventError::NotUtf8));
}

#[test]
fn oversized_event_is_an_error() {
    let mut decoder = EventDecoder::default();
    decoder.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(decoder.next_event(), Err(EventError::TooLarge));
}
