//! A listener outlives a shortage of file descriptors.
//!
//! The test uses up the process's descriptors, so it stands alone in its program.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs::File;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use crocushold_http::ListenerLimits;
use http_types::Response;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

use support::call;
use support::read_head;
use support::run;
use support::serve;
use support::status;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Passes on that an accept failed.
struct Failures(Mutex<Sender<()>>);

impl Log for Failures {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string().contains("accept-failed") {
            // The receiver is gone once the test has seen the first.
            let _ = self.0.lock().unwrap().send(());
        }
    }

    fn flush(&self) {}
}

// All descriptors are in use when a caller connects: its accept fails, again and again, until some
// are given back. The caller must then be answered; a listener that had ended would leave it, and
// all after it, without an answer.
#[test]
fn failed_accepts_are_tried_again() {
    let (sender, failed) = channel();
    log::set_logger(Box::leak(Box::new(Failures(Mutex::new(sender))))).unwrap();
    log::set_max_level(LevelFilter::Warn);
    run(async move {
        let (addr, _, _) = serve(ListenerLimits::default(), |_, _| async {
            Response::new(200)
        })
        .await;
        read_head(&mut call(addr, GET).await).await;

        let null = File::open("/dev/null").unwrap();
        let mut files: Vec<File> = std::iter::from_fn(|| null.try_clone().ok()).collect();
        // One for the caller's own socket.
        files.pop();
        let mut caller = TcpStream::connect(addr).await.unwrap();
        failed.recv().unwrap();
        drop(files);

        caller.write_all(GET.as_bytes()).await.unwrap();
        assert_eq!(status(&read_head(&mut caller).await), "200");
        let mut next = call(addr, GET).await;
        assert_eq!(status(&read_head(&mut next).await), "200");
    });
}
