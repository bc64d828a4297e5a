//! Sending responses, including ones that violate HTTP.

use std::io;
use std::net::Shutdown;

use async_std::net::TcpStream;
use futures::AsyncRead;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;

use super::answer::ActiveRequest;
use super::answer::TokenStream;
use super::answer::TruncatedBody;
use super::fault::Cut;
use super::fault::CutFraming;
use super::text::ResponseText;
use crate::port;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Media type of a response that isn't streamed.
const JSON: &str = "application/json";

/// Streams a response; its head is sent with the first token.
pub(super) async fn stream_answer(
    request: ActiveRequest,
    text: ResponseText,
    conn: TcpStream,
) -> http_types::Result<Response> {
    request.tokens(1, conn.clone()).await?;
    let cut = request.admitted.faults.cut;
    let stream = TokenStream::new(request, text, conn.clone());
    let Some(cut) = cut else {
        return Ok(with_body(Body::from_reader(stream, None), EVENT_STREAM));
    };
    let total = stream.total_len();
    send_truncated(stream, cut, total, EVENT_STREAM, conn).await
}

/// Sends a response that isn't streamed, once all tokens are generated.
pub(super) async fn whole_answer(
    mut request: ActiveRequest,
    text: ResponseText,
    conn: TcpStream,
) -> http_types::Result<Response> {
    let faults = request.admitted.faults;
    if let Some(after) = faults.stall {
        request
            .tokens(after.min(request.admitted.length), conn.clone())
            .await?;
        return wait_for_disconnect(conn).await;
    }
    let Some(cut) = faults.cut.filter(|cut| cut.after < request.admitted.length) else {
        request.tokens(request.admitted.length, conn).await?;
        request.complete();
        return Ok(with_body(Body::from_string(text.full_body()), JSON));
    };
    request.tokens(cut.after, conn.clone()).await?;
    request.fail();
    let total = text.full_body().len();
    let body = TruncatedBody::new(&text, cut);
    send_truncated(body, cut, total, JSON, conn).await
}

/// Sends a body that ends in an error, with the message framing of the fault.
async fn send_truncated(
    body: impl futures::AsyncBufRead + Unpin + Send + Sync + 'static,
    cut: Cut,
    total: usize,
    media_type: &str,
    conn: TcpStream,
) -> http_types::Result<Response> {
    match cut.framing {
        CutFraming::Chunked => Ok(with_body(Body::from_reader(body, None), media_type)),
        CutFraming::Length => Ok(with_body(Body::from_reader(body, Some(total)), media_type)),
        CutFraming::Close => {
            let _ = send_until_close(body, media_type, &conn).await;
            let _ = conn.shutdown(Shutdown::Both);
            Err(port::connection_aborted().into())
        }
    }
}

async fn send_until_close(
    mut body: impl AsyncRead + Unpin,
    media_type: &str,
    mut conn: &TcpStream,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {media_type}\r\n\r\n");
    conn.write_all(head.as_bytes()).await?;
    let mut buf = vec![0; 4096];
    loop {
        let count = body.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        conn.write_all(&buf[..count]).await?;
    }
}

/// Sends no response and waits until the client disconnects.
async fn wait_for_disconnect(conn: TcpStream) -> http_types::Result<Response> {
    port::client_disconnected(conn).await;
    Err(port::connection_aborted().into())
}

fn with_body(body: Body, media_type: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", media_type);
    response
}
