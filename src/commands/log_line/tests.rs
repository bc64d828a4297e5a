//! The volume of the log under a flood.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::writers::LogWriter;

use super::*;

fn write(writer: &Nonblocking, count: u32) {
    for number in 0..count {
        let args = format_args!("event=x number={number}");
        let record = Record::builder().args(args).build();
        writer.write(&mut DeferredNow::new(), &record).unwrap();
    }
}

fn texts(lines: &Receiver<Message>) -> Vec<String> {
    let texts = lines.try_iter().filter_map(|message| match message {
        Message::Line(line) => Some(String::from_utf8(line).unwrap()),
        Message::Flush(_) => None,
    });
    texts.collect()
}

/// How many lines there are, and how many others they tell were dropped.
fn counts(lines: &Receiver<Message>) -> (usize, usize) {
    let mut written = 0;
    let mut dropped = 0;
    for text in texts(lines) {
        match text.split_once("event=log-lines-dropped count=") {
            Some((_, count)) => dropped += count.trim().parse::<usize>().unwrap(),
            None => written += 1,
        }
    }
    (written, dropped)
}

/// A flood of refused requests writes ten thousand lines at once. Those that fit in a burst are written,
/// the rest are dropped; the next line that comes when there is room again tells how many.
#[test]
fn what_is_beyond_the_pace_is_dropped_and_told() {
    let (sender, lines) = sync_channel(4 * WAITING_LINES);
    let pace = NonZeroU32::new(20).unwrap();
    let writer = Nonblocking::on(sender, pace);
    write(&writer, 10_000);
    thread::sleep(Duration::from_millis(300));
    write(&writer, 1);
    let (written, dropped) = counts(&lines);
    assert_eq!(written + dropped, 10_001);
    // The burst, and 20 a second of a slow machine's minute.
    assert!((1000..2300).contains(&written), "{written} lines");
}

/// Nobody reads standard output. The writer returns at once all the same, and counts.
#[test]
fn a_reader_that_is_gone_holds_nobody_up() {
    let (sender, lines) = sync_channel(2);
    let writer = Nonblocking::on(sender, LINES_A_SECOND);
    write(&writer, 100);
    let start = Instant::now();
    writer.flush().unwrap();
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(texts(&lines).len(), 2);
    assert_eq!(writer.dropped.load(Ordering::Relaxed), 98);
}

/// A planned stop ends, its last line says how, and the process ends. The thread that writes hasn't had a
/// turn since; without waiting for it the line would be lost.
#[test]
fn the_last_lines_are_written_before_the_end() {
    let (sender, lines) = sync_channel(8);
    let writer = Nonblocking::on(sender, LINES_A_SECOND);
    let written = Arc::new(AtomicU64::new(0));
    let counted = written.clone();
    thread::spawn(move || {
        while let Ok(message) = lines.recv() {
            thread::sleep(Duration::from_millis(20));
            match message {
                Message::Line(_) => _ = counted.fetch_add(1, Ordering::SeqCst),
                Message::Flush(done) => done.send(()).unwrap(),
            }
        }
    });
    write(&writer, 2);
    writer.flush().unwrap();
    assert_eq!(written.load(Ordering::SeqCst), 2);
}
