//! The format of log lines, and a log writer that never blocks.

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

/// Lines that may be buffered while standard output isn't read, and the largest burst of lines.
const BUFFERED_LINES: usize = 1024;

/// Sustained limit of lines per second. An instance of the largest fleet answers 40 requests per
/// second with one or two lines each; a flood of refused requests must not turn into a flood of log
/// lines.
const MAX_LINES_PER_SECOND: NonZeroU32 = NonZeroU32::new(500).expect("nonzero");

/// How long a flush at the end of the process waits for the last lines to be written.
const FLUSH_TIMEOUT: Millis = Millis(100);

/// A message to the writer thread.
enum Message {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to be notified once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Maximum number of messages that are handled in one write.
const BATCH_LINES: usize = 64;

/// Writes a record as one line of `key=value` pairs.
pub(super) fn write_record(
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

/// Writes records to standard output from a dedicated thread.
///
/// Standard output may be a pipe that isn't read for a while, and a request must not be delayed by
/// a log line. Lines that don't fit into the buffer or exceed the rate limit are dropped and
/// counted, and the count is logged.
pub(super) struct NonBlockingWriter {
    lines: SyncSender<Message>,
    rate_limiter: DefaultDirectRateLimiter,
    dropped: AtomicU64,
}

impl NonBlockingWriter {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub(super) fn start() -> io::Result<NonBlockingWriter> {
        let (lines, receiver) = sync_channel(BUFFERED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_messages(&receiver))?;
        Ok(NonBlockingWriter::with_channel(lines, MAX_LINES_PER_SECOND))
    }

    /// Writes to a channel at no more than `rate` lines per second.
    fn with_channel(lines: SyncSender<Message>, rate: NonZeroU32) -> NonBlockingWriter {
        let burst = NonZeroU32::new(BUFFERED_LINES as u32).expect("nonzero");
        NonBlockingWriter {
            lines,
            rate_limiter: RateLimiter::direct(Quota::per_second(rate).allow_burst(burst)),
            dropped: AtomicU64::new(0),
        }
    }

    fn try_write(&self, line: Vec<u8>) -> bool {
        self.rate_limiter.check().is_ok() && self.lines.try_send(Message::Line(line)).is_ok()
    }

    /// Logs the number of dropped lines once there is room again.
    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let event = Event::new("log-lines-dropped").with("count", dropped);
        if !self.try_write(format!("{event}\n").into_bytes()) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

impl LogWriter for NonBlockingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        write_record(&mut text, now, record)?;
        text.push(b'\n');
        self.report_dropped();
        if !self.try_write(text) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until earlier lines have been written, but no longer than [`FLUSH_TIMEOUT`] for a
    /// reader that is gone.
    ///
    /// The process ends with its main thread. Without a flush, the last lines, which describe the
    /// graceful shutdown, would be lost with the writer thread.
    fn flush(&self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            // Lines that can't be written in time are lost; there is nowhere left to report it.
            let _ = written.recv_timeout(FLUSH_TIMEOUT.into());
        }
        Ok(())
    }
}

/// Write errors are ignored: a reader that closes the pipe is no reason to stop serving.
fn write_messages(receiver: &Receiver<Message>) {
    while let Ok(first) = receiver.recv() {
        let mut batch = Vec::new();
        let mut waiting = Vec::new();
        let queued = receiver.try_iter().take(BATCH_LINES);
        for message in std::iter::once(first).chain(queued) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => waiting.push(done),
            }
        }
        let _ = io::stdout().write_all(&batch);
        for done in waiting {
            // The flush may have timed out.
            let _ = done.try_send(());
        }
    }
}
