//! Responses shared by all stand-ins.

use http_types::Response;
use http_types::StatusCode;
use http_types::mime;
use serde::Serialize;

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("plain data structures always serialise");
    let mut response = Response::new(status);
    response.set_body(body);
    response.set_content_type(mime::JSON);
    response
}

/// Builds a response with an OpenAI-style error body.
pub(crate) fn error(status: StatusCode, kind: &str) -> Response {
    #[derive(Serialize)]
    struct Detail<'a> {
        #[serde(rename = "type")]
        kind: &'a str,
        message: &'a str,
    }
    #[derive(Serialize)]
    struct Body<'a> {
        error: Detail<'a>,
    }
    let error = Detail {
        kind,
        message: kind,
    };
    json(status, &Body { error })
}
