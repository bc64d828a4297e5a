//! A listener survives the exhaustion of file descriptors.
//!
//! The test uses up the file descriptors of its process, so it is the only test in this file.

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

use support::block_on;
use support::connect_and_send;
use support::read_head;
use support::serve;
use support::status;

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A logger that signals each failed accept.
struct AcceptFailures(Mutex<Sender<()>>);

impl Log for AcceptFailures {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string().contains("accept-failed") {
            // The receiver is dropped once the test has seen the first failure.
            let _ = self.0.lock().unwrap().send(());
        }
    }

    fn flush(&self) {}
}

// All file descriptors are in use when a caller connects, so accepting fails repeatedly until some
// are released. The caller must then be answered. If the listener stopped at the error, neither
// this caller nor any later one would get an answer.
#[test]
fn failed_accepts_are_retried() {
    let (sender, failed) = channel();
    log::set_logger(Box::leak(Box::new(AcceptFailures(Mutex::new(sender))))).unwrap();
    log::set_max_level(LevelFilter::Warn);
    block_on(async move {
        let (addr, _, _) = serve(ListenerLimits::default(), |_, _| async {
            Response::new(200)
        })
        .await;
        read_head(&mut connect_and_send(addr, GET).await).await;

        let null = File::open("/dev/null").unwrap();
        let mut files: Vec<File> = std::iter::from_fn(|| null.try_clone().ok()).collect();
        // Frees one descriptor for the caller's own socket.
        files.pop();
        let mut caller = TcpStream::connect(addr).await.unwrap();
        failed.recv().unwrap();
        drop(files);

        caller.write_all(GET.as_bytes()).await.unwrap();
        assert_eq!(status(&read_head(&mut caller).await), "200");
        let mut next = connect_and_send(addr, GET).await;
        assert_eq!(status(&read_head(&mut next).await), "200");
    });
}
