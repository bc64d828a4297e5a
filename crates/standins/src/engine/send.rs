//! Sending answers, also in the forms that break the protocol.

use std::io;
use std::net::Shutdown;

use async_std::net::TcpStream;
use futures::AsyncRead;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;

use super::answer::CutBytes;
use super::answer::Run;
use super::answer::TokenStream;
use super::fault::Cut;
use super::fault::CutFraming;
use super::text::Texts;
use crate::port;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Media type of a whole answer.
const JSON: &str = "application/json";

/// Streams an answer; its head goes out with the first token.
pub(super) async fn stream_answer(
    run: Run,
    texts: Texts,
    conn: TcpStream,
) -> http_types::Result<Response> {
    run.tokens(1, conn.clone()).await?;
    let cut = run.started.fate.cut;
    let stream = TokenStream::new(run, texts, conn.clone());
    let Some(cut) = cut else {
        return Ok(with_body(Body::from_reader(stream, None), EVENT_STREAM));
    };
    let total = stream.total_len();
    send_cut(stream, cut, total, EVENT_STREAM, conn).await
}

/// Sends an answer in one piece once it is complete.
pub(super) async fn whole_answer(
    mut run: Run,
    texts: Texts,
    conn: TcpStream,
) -> http_types::Result<Response> {
    let fate = run.started.fate;
    if let Some(after) = fate.stall {
        run.tokens(after.min(run.started.length), conn.clone())
            .await?;
        return hang(conn).await;
    }
    let Some(cut) = fate.cut.filter(|cut| cut.after < run.started.length) else {
        run.tokens(run.started.length, conn).await?;
        run.complete();
        return Ok(with_body(Body::from_string(texts.whole()), JSON));
    };
    run.tokens(cut.after, conn.clone()).await?;
    run.fail();
    let total = texts.whole().len();
    let body = CutBytes::new(&texts, cut);
    send_cut(body, cut, total, JSON, conn).await
}

/// Sends a body that ends in an error, in the form that the fault asks for.
async fn send_cut(
    body: impl futures::AsyncBufRead + Unpin + Send + Sync + 'static,
    cut: Cut,
    total: usize,
    media: &str,
    conn: TcpStream,
) -> http_types::Result<Response> {
    match cut.framing {
        CutFraming::Chunked => Ok(with_body(Body::from_reader(body, None), media)),
        CutFraming::Length => Ok(with_body(Body::from_reader(body, Some(total)), media)),
        CutFraming::Close => {
            let _ = send_until_close(body, media, &conn).await;
            let _ = conn.shutdown(Shutdown::Both);
            Err(port::aborted().into())
        }
    }
}

async fn send_until_close(
    mut body: impl AsyncRead + Unpin,
    media: &str,
    mut conn: &TcpStream,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {media}\r\n\r\n");
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

/// Never answers; ends when the caller gives up.
async fn hang(conn: TcpStream) -> http_types::Result<Response> {
    port::hang_up(conn).await;
    Err(port::aborted().into())
}

fn with_body(body: Body, media: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", media);
    response
}
