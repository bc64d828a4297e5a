//! The HTTP GET operation that all reads use.

use std::future::Future;

use crocushold_base::Millis;
use futures::StreamExt;
use futures::stream;
use quick_error::quick_error;

use crate::target::Target;

const OK: u16 = 200;
/// Default for the largest accepted body, in bytes. Sized for a status page of 6,000 servers.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Default time limit.
const DOCUMENT_TIMEOUT: Millis = Millis::from_secs(3);
/// Number of documents that [`fetch_all`] reads concurrently.
const MAX_CONCURRENT_READS: usize = 32;

quick_error! {
    /// Why a read failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FetchError {
        /// The connection could not be opened, or it failed before the answer was complete.
        Connection(cause: String) {
            display("connection failed: {cause}")
        }
        /// The answer was not complete by the deadline.
        Timeout {
            display("timed out")
        }
        /// The answer is larger than the reader's limit.
        TooLarge {
            display("answer too large")
        }
        /// The answer isn't valid HTTP, or its body isn't UTF-8.
        Malformed(cause: String) {
            display("malformed answer: {cause}")
        }
        /// A status other than 200.
        Status(status: u16) {
            display("status {status}")
        }
    }
}

/// A GET request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Get {
    /// Server address, as `IP:PORT`.
    pub address: String,
    /// Path and query.
    pub target: Target,
    /// Time limit for the complete answer, from the start of the call.
    pub timeout: Millis,
    /// Longest pause between two parts of the body.
    pub stall_timeout: Millis,
    /// Largest accepted body, in bytes.
    pub limit: usize,
}

impl Default for Get {
    fn default() -> Get {
        Get {
            address: String::new(),
            target: Target::new("/"),
            timeout: DOCUMENT_TIMEOUT,
            stall_timeout: DOCUMENT_TIMEOUT,
            limit: MAX_DOCUMENT_BYTES,
        }
    }
}

/// One header of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name; compared without regard to case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: String,
}

impl Reply {
    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|h| h.name.eq_ignore_ascii_case(name));
        header.map(|h| h.value.as_str())
    }

    /// Returns the value of the first header with this name as an integer; `None` if it is absent
    /// or isn't one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)
            .and_then(|value| value.trim().parse().ok())
    }
}

/// Performs GET requests. Implemented over HTTP, and by fakes in tests.
pub trait Fetch {
    /// Performs a request and returns the reply whatever its status.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Any [`FetchError`] except [`FetchError::Status`].
    fn get(&self, get: Get) -> impl Future<Output = Result<Reply, FetchError>> + Send;
}

/// Reads a document from an instance's operator address.
///
/// # Errors
///
/// Any [`FetchError`], including one for a status other than 200.
pub async fn fetch(
    via: &impl Fetch,
    address: &str,
    path: &'static str,
) -> Result<String, FetchError> {
    let get = Get {
        address: address.to_owned(),
        target: Target::new(path),
        ..Get::default()
    };
    let reply = via.get(get).await?;
    if reply.status != OK {
        return Err(FetchError::Status(reply.status));
    }
    Ok(reply.body)
}

/// The result of a read from one of several addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The address.
    pub address: String,
    /// The document, or why the read failed.
    pub text: Result<String, FetchError>,
}

/// Reads the same document from several instances, each with its own deadline.
///
/// The result has one entry per address, in the given order. An address that doesn't answer is
/// included with its error and doesn't delay the others.
pub async fn fetch_all(
    via: &impl Fetch,
    addresses: &[String],
    path: &'static str,
) -> Vec<Document> {
    let reads = addresses.iter().map(|address| async move {
        Document {
            address: address.clone(),
            text: fetch(via, address, path).await,
        }
    });
    stream::iter(reads)
        .buffered(MAX_CONCURRENT_READS)
        .collect()
        .await
}
