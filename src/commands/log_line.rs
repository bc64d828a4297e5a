//! How a log record is written, and a writer that never blocks.

use std::io;
use std::io::Write;
use std::num::NonZeroU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use crocushold_base::Event;
use crocushold_base::Millis;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use governor::DefaultDirectRateLimiter;
use governor::Quota;
use governor::RateLimiter;
use log::Record;

#[cfg(test)]
mod tests;

/// Lines that wait for a reader of standard output, and that may come at once.
const WAITING_LINES: usize = 1024;

/// Lines a second at most over a longer time. An instance of the largest fleet answers 40 requests a second,
/// with a line or two each; a flood of requests that are refused must not become a flood of lines.
const LINES_A_SECOND: NonZeroU32 = NonZeroU32::new(500).expect("more than none");

/// How long the end of the process waits for its last lines.
const FLUSH_TIMEOUT: Millis = Millis(100);

/// What the writing thread is sent.
enum Message {
    /// A line.
    Line(Vec<u8>),
    /// Asks to be told when the lines before were written.
    Flush(SyncSender<()>),
}

/// Lines that are written together at most.
const BATCH_LINES: usize = 64;

/// Writes one record as one line of pairs.
pub(super) fn line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%z");
    let level = record.level().as_str().to_lowercase();
    let module = record.module_path().unwrap_or("-");
    write!(
        out,
        "time={time} level={level} module={module} {}",
        record.args()
    )
}

/// Writes records to standard output from a thread of its own.
///
/// Standard output may be a pipe that nobody reads for a while. A request that waits for it would be
/// late for a line of log, so what doesn't fit in the buffer or comes faster than the pace is dropped,
/// counted, and the count told.
pub(super) struct Nonblocking {
    lines: SyncSender<Message>,
    pace: DefaultDirectRateLimiter,
    dropped: AtomicU64,
}

impl Nonblocking {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub(super) fn start() -> io::Result<Nonblocking> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&waiting))?;
        Ok(Nonblocking::on(lines, LINES_A_SECOND))
    }

    /// Writes to a channel, so many lines a second.
    fn on(lines: SyncSender<Message>, pace: NonZeroU32) -> Nonblocking {
        let burst = NonZeroU32::new(WAITING_LINES as u32).expect("more than none");
        Nonblocking {
            lines,
            pace: RateLimiter::direct(Quota::per_second(pace).allow_burst(burst)),
            dropped: AtomicU64::new(0),
        }
    }

    fn offer(&self, line: Vec<u8>) -> bool {
        self.pace.check().is_ok() && self.lines.try_send(Message::Line(line)).is_ok()
    }

    /// Tells how many lines were dropped, once there is room again.
    fn tell_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let event = Event::new("log-lines-dropped").with("count", dropped);
        if !self.offer(format!("{event}\n").into_bytes()) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Nonblocking {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        text.push(b'\n');
        self.tell_dropped();
        if !self.offer(text) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the lines before were written, but not for a reader that is gone.
    ///
    /// The process ends with its main thread; the lines that tell how a planned stop went are the last ones,
    /// and were lost with the thread that had yet to write them.
    fn flush(&self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            // The lines are lost if they can't be written in time; there is nobody left to tell.
            let _ = written.recv_timeout(FLUSH_TIMEOUT.into());
        }
        Ok(())
    }
}

/// Whoever reads may close the pipe; that is no reason to stop serving, so failed writes end nothing.
fn write_all(waiting: &Receiver<Message>) {
    while let Ok(first) = waiting.recv() {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        let more = waiting.try_iter().take(BATCH_LINES);
        for message in std::iter::once(first).chain(more) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed.push(done),
            }
        }
        let _ = io::stdout().write_all(&batch);
        for done in flushed {
            // Whoever asked may have given up waiting.
            let _ = done.try_send(());
        }
    }
}
