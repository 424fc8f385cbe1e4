//! Streams are cut into whole events, byte for byte.

use apricotrun::transport::gateway::stream::{EventCutter, EventFault};

fn cut(cutter: &mut EventCutter, bytes: &[u8]) -> Vec<(Option<u32>, String)> {
    cutter.push(bytes);
    let mut events = Vec::new();
    while let Some(event) = cutter.next_event().expect("events") {
        events.push((event.id, event.text));
    }
    events
}

#[test]
fn events_come_whole_however_the_bytes_are_split() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n";
    for size in 1..text.len() {
        let mut cutter = EventCutter::default();
        let mut events = Vec::new();
        for part in text.as_bytes().chunks(size) {
            events.extend(cut(&mut cutter, part));
        }
        let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "in parts of {size}");
        let joined: String = events.into_iter().map(|(_, text)| text).collect();
        assert_eq!(joined, text);
        assert!(cutter.is_empty());
    }
}

#[test]
fn half_an_event_is_no_event() {
    let mut cutter = EventCutter::default();
    assert_eq!(cut(&mut cutter, b"id: 1\ndata: a\n").len(), 0);
    assert!(!cutter.is_empty());
}

#[test]
fn bytes_that_are_no_text_are_a_fault() {
    let mut cutter = EventCutter::default();
    cutter.push(b"data: \xff\n\n");
    assert_eq!(cutter.next_event(), Err(EventFault::NotText));
}

#[test]
fn event_without_end_is_a_fault() {
    let mut cutter = EventCutter::default();
    cutter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(cutter.next_event(), Err(EventFault::TooLarge));
}
