//! Tests that streams are split into complete events without a change of their bytes.

use apricotrun::transport::gateway::stream::{EventDecoder, EventError};
use proptest::prelude::*;

/// The events that a decoder has returned, and the error that ended the stream, if any.
type Decoded = (Vec<(u32, String)>, Option<EventError>);

fn decode<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Decoded {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for part in parts {
        decoder.push(part);
        loop {
            match decoder.next_event() {
                Ok(Some(event)) => events.push((event.id, event.text)),
                Ok(None) => break,
                Err(error) => return (events, Some(error)),
            }
        }
    }
    (events, None)
}

fn decode_text(text: &str) -> Decoded {
    decode([text.as_bytes()].into_iter())
}

fn event(id: u32, text: &str) -> (u32, String) {
    (id, text.to_owned())
}

#[test]
fn events_are_complete_however_the_bytes_are_split() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\rdata: c\r\r";
    let expected = [
        event(1, "id: 1\ndata: a\n\n"),
        event(2, "id:2\r\ndata: b\r\n\r\n"),
        event(3, "id: 3\rdata: c\r\r"),
    ];
    for size in 1..text.len() {
        let (events, error) = decode(text.as_bytes().chunks(size));
        assert_eq!((events.as_slice(), error), (expected.as_slice(), None), "in parts of {size}");
    }
}

/// Guards against line feeds that keep a connection alive and took the place of the next event.
#[test]
fn what_stands_between_events_is_no_event() {
    let text =
        "\n\n\r\n\r\r: alive\n\nretry: 5\n\nid: 7\n\nid: 1\ndata: a\n\n\n\n:\n\nid: 2\ndata\n\n";
    let expected = vec![event(1, "id: 1\ndata: a\n\n"), event(2, "id: 2\ndata\n\n")];
    assert_eq!(decode_text(text), (expected, None));
}

#[test]
fn event_is_passed_on_with_all_of_its_lines() {
    let text = "weight-versions: 2\n: note\nid: 4\nid: 5\nunknown\ndata:{\ndata: }\n\n";
    assert_eq!(decode_text(text), (vec![event(5, text)], None));
}

#[test]
fn byte_order_mark_precedes_the_first_event_only() {
    let text = "\u{feff}id: 1\ndata: a\n\n";
    for size in 1..text.len() {
        let decoded = decode(text.as_bytes().chunks(size));
        assert_eq!(decoded, (vec![event(1, "id: 1\ndata: a\n\n")], None), "in parts of {size}");
    }
}

#[test]
fn event_without_a_number_is_an_error() {
    for text in ["data: a\n\n", "id: x\ndata: a\n\n", "id: 1\nid\ndata: a\n\n"] {
        assert_eq!(decode_text(text), (Vec::new(), Some(EventError::NoId)), "{text:?}");
    }
}

#[test]
fn incomplete_event_is_not_returned() {
    for (text, is_empty) in [
        ("id: 1\ndata: a\n", false),
        ("id: 1", false),
        (": note", false),
        (": note\n", true),
        ("id: 1\ndata: a\n\n: note\n\n\n", true),
        ("", true),
    ] {
        let mut decoder = EventDecoder::default();
        decoder.push(text.as_bytes());
        while decoder.next_event().expect("valid events").is_some() {}
        assert_eq!(decoder.is_empty(), is_empty, "{text:?}");
    }
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

/// Guards against bytes without end that never make an event.
#[test]
fn bytes_without_an_event_are_an_error() {
    for unit in ["\n", "\r\n", ": alive\n", ": alive\n\n", "retry: 5\n\n"] {
        let mut decoder = EventDecoder::default();
        let mut error = None;
        for _ in 0..300 * 1024 / unit.len() {
            decoder.push(unit.as_bytes());
            error = error.or(decoder.next_event().err());
        }
        assert_eq!(error, Some(EventError::TooLarge), "{unit:?}");
    }
}

proptest! {
    #[test]
    fn any_split_of_any_bytes_gives_the_same_events(
        units in prop::collection::vec(
            prop::sample::select(vec![
                "\n", "\r", "\r\n", "id: 1", "id: 23", "id", "data: a", "data:{", "data", ": c", ":",
                "x: y", "\u{feff}", "\u{e9}",
            ]),
            0..60,
        ),
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let bytes = units.concat().into_bytes();
        let whole = decode([bytes.as_slice()].into_iter());
        let mut rest = bytes.as_slice();
        let mut parts = Vec::new();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, later) = rest.split_at((*cut).min(rest.len()));
            parts.push(part);
            rest = later;
        }
        prop_assert_eq!(decode(parts.into_iter()), whole);
    }
}
