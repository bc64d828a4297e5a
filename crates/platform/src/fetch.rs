//! The one HTTP operation that reads need.

use std::future::Future;

use crocushold_base::Millis;
use futures::StreamExt;
use futures::stream;
use quick_error::quick_error;

/// Status of an answer that carries what was asked for.
const OK: u16 = 200;
/// Most bytes of a document that [`fetch`] takes: a status page of 6,000 servers.
const DOCUMENT_LIMIT: usize = 8 << 20;
/// Deadline of [`fetch`].
const DOCUMENT_TIMEOUT: Millis = Millis::from_secs(3);
/// Documents that [`fetch_all`] reads at the same time.
const PARALLEL: usize = 32;

quick_error! {
    /// Why a read brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FetchError {
        /// No connection, or it broke before the answer was whole.
        Connection(cause: String) {
            display("connection failed: {cause}")
        }
        /// No whole answer by the deadline.
        Timeout {
            display("timed out")
        }
        /// The answer is larger than the reader takes.
        TooLarge {
            display("answer too large")
        }
        /// The answer isn't HTTP, or not UTF-8.
        Malformed(cause: String) {
            display("malformed answer: {cause}")
        }
        /// Another status than 200.
        Status(status: u16) {
            display("status {status}")
        }
    }
}

/// A read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Get {
    /// Address, `IP:PORT`.
    pub address: String,
    /// Path and query.
    pub path: String,
    /// Deadline for the whole answer, from the start of the call.
    pub timeout: Millis,
    /// Most bytes of the body.
    pub limit: usize,
}

/// One header of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, in any case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A whole answer.
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
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|h| h.name.eq_ignore_ascii_case(name));
        header.map(|h| h.value.as_str())
    }

    /// The first header of this name, as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)
            .and_then(|value| value.trim().parse().ok())
    }
}

/// Makes reads; implemented over HTTP, and by fakes in tests.
pub trait Fetch {
    /// Makes a read, whatever its status.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Any [`FetchError`] but [`FetchError::Status`].
    fn get(&self, get: Get) -> impl Future<Output = Result<Reply, FetchError>> + Send;
}

/// Reads a document from an instance's operator address.
///
/// # Errors
///
/// Any [`FetchError`]; other statuses than 200 among them.
pub async fn fetch(via: &impl Fetch, address: &str, path: &str) -> Result<String, FetchError> {
    let get = Get {
        address: address.to_owned(),
        path: path.to_owned(),
        timeout: DOCUMENT_TIMEOUT,
        limit: DOCUMENT_LIMIT,
    };
    let reply = via.get(get).await?;
    if reply.status != OK {
        return Err(FetchError::Status(reply.status));
    }
    Ok(reply.body)
}

/// What one of several addresses answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The address.
    pub address: String,
    /// Its document, or why there is none.
    pub text: Result<String, FetchError>,
}

/// Reads the same document from several instances, each with its own deadline.
///
/// The result has one entry an address, in the order given: one that doesn't answer is never left
/// out, and doesn't hold up the others.
pub async fn fetch_all(via: &impl Fetch, addresses: &[String], path: &str) -> Vec<Document> {
    let reads = addresses.iter().map(|address| async move {
        Document {
            address: address.clone(),
            text: fetch(via, address, path).await,
        }
    });
    stream::iter(reads).buffered(PARALLEL).collect().await
}
