//! The volume of the log under a flood.

use std::sync::mpsc::Receiver;

use flexi_logger::writers::LogWriter;

use super::*;

fn write(writer: &Nonblocking, count: u32) {
    for number in 0..count {
        let args = format_args!("event=x number={number}");
        let record = Record::builder().args(args).build();
        writer.write(&mut DeferredNow::new(), &record).unwrap();
    }
}

fn texts(lines: &Receiver<Vec<u8>>) -> Vec<String> {
    let texts = lines.try_iter();
    texts.map(|line| String::from_utf8(line).unwrap()).collect()
}

/// A flood of refused requests writes ten thousand lines at once. Those that fit in a burst are written,
/// the rest are dropped; the next line that comes when there is room again tells how many.
#[test]
fn what_is_beyond_the_pace_is_dropped_and_told() {
    let (sender, lines) = sync_channel(4 * WAITING_LINES);
    let pace = NonZeroU32::new(20).unwrap();
    let writer = Nonblocking::on(sender, pace);
    write(&writer, 10_000);
    let burst = texts(&lines);
    assert!((1000..1100).contains(&burst.len()), "{} lines", burst.len());
    thread::sleep(std::time::Duration::from_millis(300));
    write(&writer, 1);
    let after = texts(&lines).concat();
    let told = after.split("event=log-lines-dropped count=").nth(1);
    let told = told.and_then(|text| text.split_whitespace().next());
    let told: usize = told.expect("the count is told").parse().unwrap();
    assert_eq!(told + burst.len(), 10_000, "{after}");
    assert!(after.contains("number=0"), "{after}");
}

/// Nobody reads standard output. The writer returns at once all the same, and counts.
#[test]
fn a_reader_that_is_gone_holds_nobody_up() {
    let (sender, lines) = sync_channel(2);
    let writer = Nonblocking::on(sender, LINES_A_SECOND);
    write(&writer, 100);
    assert_eq!(texts(&lines).len(), 2);
    assert_eq!(writer.dropped.load(Ordering::Relaxed), 98);
}
