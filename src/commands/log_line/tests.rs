//! Tests of the limits on log volume and of flushing.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::writers::LogWriter;

use super::*;

fn write(writer: &NonBlockingWriter, count: u32) {
    for number in 0..count {
        let args = format_args!("event=x number={number}");
        let record = Record::builder().args(args).build();
        writer.write(&mut DeferredNow::new(), &record).unwrap();
    }
}

fn lines_of(lines: &Receiver<Message>) -> Vec<String> {
    let written = lines.try_iter().filter_map(|message| match message {
        Message::Line(line) => Some(String::from_utf8(line).unwrap()),
        Message::Flush(_) => None,
    });
    written.collect()
}

/// Returns the number of lines written, and the number of dropped lines that they report.
fn counts(lines: &Receiver<Message>) -> (usize, usize) {
    let mut written = 0;
    let mut dropped = 0;
    for text in lines_of(lines) {
        match text.split_once("event=log-lines-dropped count=") {
            Some((_, count)) => dropped += count.trim().parse::<usize>().unwrap(),
            None => written += 1,
        }
    }
    (written, dropped)
}

/// A flood of refused requests writes ten thousand lines at once. The lines that fit into a burst
/// are written and the rest are dropped; the next line written once there is room reports their
/// number.
#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    let (sender, lines) = sync_channel(4 * BUFFERED_LINES);
    let rate = NonZeroU32::new(20).unwrap();
    let writer = NonBlockingWriter::with_channel(sender, rate);
    write(&writer, 10_000);
    thread::sleep(Duration::from_millis(300));
    write(&writer, 1);
    let (written, dropped) = counts(&lines);
    assert_eq!(written + dropped, 10_001);
    // The burst, plus 20 lines per second for up to a minute on a slow machine.
    assert!((1000..2300).contains(&written), "{written} lines");
}

/// When standard output isn't read, the writer still returns at once and counts the dropped lines.
#[test]
fn a_missing_reader_does_not_block_the_writer() {
    let (sender, lines) = sync_channel(2);
    let writer = NonBlockingWriter::with_channel(sender, MAX_LINES_PER_SECOND);
    write(&writer, 100);
    let start = Instant::now();
    writer.flush().unwrap();
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(lines_of(&lines).len(), 2);
    assert_eq!(writer.dropped.load(Ordering::Relaxed), 98);
}

/// The last line of a graceful shutdown is logged just before the process ends. The writer thread
/// may not have run since, so without waiting for it the line would be lost.
#[test]
fn flush_waits_for_the_last_lines() {
    let (sender, lines) = sync_channel(8);
    let writer = NonBlockingWriter::with_channel(sender, MAX_LINES_PER_SECOND);
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
