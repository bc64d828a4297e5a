//! Implements [`Fetch`] over HTTP.

use std::net::SocketAddr;

use async_std::future::timeout;
use async_std::io::ReadExt;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::SendLimits;
use http_types::Headers;
use http_types::Method;
use http_types::Request;

use crate::fetch::Fetch;
use crate::fetch::FetchError;
use crate::fetch::Get;
use crate::fetch::Header;
use crate::fetch::Reply;
use crate::target::Target;

/// Performs GET requests over HTTP/1.1.
///
/// Connections are reused. A request that fails on a reused connection isn't retried here: the
/// platform may have counted it, and a retry could exceed the read budget.
#[derive(Clone, Debug)]
pub struct HttpFetch {
    client: Client,
}

impl HttpFetch {
    /// Creates a transport that uses `client`.
    pub fn new(client: Client) -> HttpFetch {
        HttpFetch { client }
    }

    /// Performs a request and returns its reply as soon as the head has arrived.
    ///
    /// `get.timeout` limits the time until then. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Any [`FetchError`] except [`FetchError::Status`].
    pub async fn begin(&self, get: &Get) -> Result<Incoming, FetchError> {
        let bounded = timeout(get.timeout.into(), self.send(get));
        bounded.await.map_err(|_| FetchError::Timeout)?
    }

    async fn send(&self, get: &Get) -> Result<Incoming, FetchError> {
        let address = address(&get.address)?;
        let request = request(&get.target)?;
        let limits = SendLimits {
            head_timeout: get.timeout,
            stall_timeout: get.stall_timeout.min(get.timeout),
            ..SendLimits::default()
        };
        let sent = self.client.send(address, request, &limits, Reuse::Allowed);
        let answer = sent.await.map_err(send_error)?;
        Ok(Incoming {
            answer,
            limit: get.limit,
        })
    }

    async fn exchange(&self, get: &Get) -> Result<Reply, FetchError> {
        self.send(get).await?.read().await
    }
}

/// A reply whose head has arrived, and whose body is still to be read.
#[derive(Debug)]
pub struct Incoming {
    answer: Answer,
    /// Largest accepted body, in bytes.
    limit: usize,
}

impl Incoming {
    /// Reads the body within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`FetchError`] except [`FetchError::Status`].
    pub async fn read_within(self, timeout: Millis) -> Result<Reply, FetchError> {
        let bounded = async_std::future::timeout(timeout.into(), self.read());
        bounded.await.map_err(|_| FetchError::Timeout)?
    }

    async fn read(mut self) -> Result<Reply, FetchError> {
        let mut bytes = Vec::new();
        // Reading one byte past the limit distinguishes a body of exactly `limit` bytes from a
        // longer one.
        let mut body = (&mut self.answer.body).take(self.limit as u64 + 1);
        let read = body.read_to_end(&mut bytes).await;
        read.map_err(|e| FetchError::Connection(e.to_string()))?;
        if bytes.len() > self.limit {
            return Err(FetchError::TooLarge);
        }
        let body = String::from_utf8(bytes).map_err(|e| FetchError::Malformed(e.to_string()))?;
        Ok(Reply {
            status: self.answer.status.into(),
            headers: headers(&self.answer.headers),
            body,
        })
    }
}

impl Default for HttpFetch {
    fn default() -> HttpFetch {
        HttpFetch::new(Client::new(PoolLimits::default()))
    }
}

impl Fetch for HttpFetch {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        let bounded = timeout(get.timeout.into(), self.exchange(&get));
        bounded.await.map_err(|_| FetchError::Timeout)?
    }
}

fn address(text: &str) -> Result<SocketAddr, FetchError> {
    let parsed = text.parse::<SocketAddr>();
    parsed.map_err(|e| FetchError::Connection(format!("{text}: {e}")))
}

fn request(target: &Target) -> Result<Request, FetchError> {
    let parsed = RequestTarget::parse(target.as_str());
    let parsed = parsed.map_err(|e| FetchError::Connection(format!("{target}: {e}")))?;
    Ok(parsed.request(Method::Get))
}

fn headers(headers: &Headers) -> Vec<Header> {
    let pairs = headers.iter();
    let headers = pairs.map(|(name, values)| Header {
        name: name.to_string(),
        value: values.last().to_string(),
    });
    headers.collect()
}

fn send_error(error: SendError) -> FetchError {
    match error.kind {
        SendErrorKind::ConnectTimeout | SendErrorKind::WriteTimeout => FetchError::Timeout,
        SendErrorKind::HeadTimeout => FetchError::Timeout,
        SendErrorKind::HeadTooLarge => FetchError::TooLarge,
        SendErrorKind::HeadMalformed(cause) => FetchError::Malformed(cause),
        SendErrorKind::Unframed => FetchError::Malformed(error.kind.to_string()),
        _ => FetchError::Connection(error.kind.to_string()),
    }
}
