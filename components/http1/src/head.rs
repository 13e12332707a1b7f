//! Heads of requests and answers.

use crate::body::Framing;
use crate::headers::Headers;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Most header fields of one message.
const FIELDS_MAX: usize = 100;
/// The statuses of HTTP; others of three digits are for a program's own use.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The first status of an answer that ends an exchange.
const FINAL_STATUS_MIN: u16 = 200;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const BAD_GATEWAY: u16 = 502;
/// Longest name of a method.
const METHOD_BYTES_MAX: usize = 32;

/// Why a head cannot be used. The channel that it came on must be closed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It is not HTTP/1.1, or leaves a doubt.
    #[error("the head is not well formed: {0}")]
    Malformed(&'static str),
    /// It is longer than allowed.
    #[error("the head is longer than {0} bytes")]
    TooLong(usize),
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// Path and query as they came.
    pub target: Box<str>,
    /// Whether the sender speaks HTTP/1.0.
    pub old: bool,
    /// The fields.
    pub headers: Headers,
    /// Where the body ends.
    pub framing: Framing,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The fields.
    pub headers: Headers,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the channel closes after it.
    pub closes: bool,
}

/// The length of the head at the start of `bytes`, with the empty line; none while it is not whole.
///
/// # Errors
/// A line end that is not CR LF: readers differ on it.
fn head_length(bytes: &[u8]) -> Result<Option<usize>, HeadError> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let end = at + found;
        if end == 0 || bytes[end - 1] != b'\r' {
            return Err(HeadError::Malformed("a line ends without CR"));
        }
        if end - at == 1 && at > 0 {
            return Ok(Some(end + 1));
        }
        at = end + 1;
    }
    Ok(None)
}

/// The same, for a head of at most so many bytes.
fn whole_length(bytes: &[u8], most_bytes: usize) -> Result<Option<usize>, HeadError> {
    let length = head_length(bytes)?;
    match length.unwrap_or(bytes.len()) > most_bytes {
        true => Err(HeadError::TooLong(most_bytes)),
        false => Ok(length),
    }
}

fn fields(parsed: &[httparse::Header]) -> Headers {
    let mut headers = Headers::default();
    for field in parsed {
        headers.push(field.name, field.value);
    }
    headers
}

/// The only value of `Content-Length`.
fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(HeadError::Malformed("two lengths"));
    }
    let digits = !first.is_empty() && first.len() <= 18 && first.iter().all(u8::is_ascii_digit);
    if !digits {
        return Err(HeadError::Malformed("the length is no number"));
    }
    let value = first
        .iter()
        .fold(0u64, |sum, digit| sum * 10 + u64::from(digit - b'0'));
    Ok(Some(value))
}

/// Whether the body comes in chunks; any other coding is an error.
fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut codings = headers.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::Malformed("a transfer coding other than chunked"));
    }
    Ok(true)
}

fn body_framing(headers: &Headers, absent: Framing) -> Result<Framing, HeadError> {
    let length = content_length(headers)?;
    match (is_chunked(headers)?, length) {
        (true, Some(_)) => Err(HeadError::Malformed("both a length and chunks")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(absent),
    }
}

/// Reads the head of a request at the start of `bytes`, and says how many of them it takes; none while
/// it is not whole.
///
/// # Errors
/// [`HeadError`].
pub fn parse_request(
    bytes: &[u8],
    most_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(length) = whole_length(bytes, most_bytes)? else {
        return Ok(None);
    };
    let mut parsed = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut request = httparse::Request::new(&mut parsed);
    match request.parse(&bytes[..length]) {
        Ok(httparse::Status::Complete(taken)) if taken == length => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLong(most_bytes)),
        _ => return Err(HeadError::Malformed("no request")),
    }
    let (method, target) = (
        request.method.unwrap_or_default(),
        request.path.unwrap_or_default(),
    );
    if method.len() > METHOD_BYTES_MAX || !target.starts_with('/') || target.contains('#') {
        return Err(HeadError::Malformed("no request line"));
    }
    let old = request.version == Some(0);
    let headers = fields(request.headers);
    let framing = body_framing(&headers, Framing::Length(0))?;
    if old && framing == Framing::Chunked {
        return Err(HeadError::Malformed("chunks in HTTP/1.0"));
    }
    let head = RequestHead {
        method: method.into(),
        target: target.into(),
        old,
        headers,
        framing,
    };
    Ok(Some((head, length)))
}

/// Whether a head that must have no body declares one. What follows it may be that body or the next answer.
fn declares_body(headers: &Headers) -> bool {
    body_framing(headers, Framing::Length(0)) != Ok(Framing::Length(0))
}

/// # Errors
/// The status is none of HTTP, or ends the use of HTTP on the channel, which no request asks for.
fn check_status(status: u16) -> Result<(), HeadError> {
    match status {
        SWITCHING_PROTOCOLS => Err(HeadError::Malformed("a switch of protocols")),
        status if STATUSES.contains(&status) => Ok(()),
        _ => Err(HeadError::Malformed("a status outside 100 to 599")),
    }
}

/// Reads the head of an answer at the start of `bytes`, and says how many of them it takes; none while
/// it is not whole.
///
/// # Errors
/// [`HeadError`].
pub fn parse_response(
    bytes: &[u8],
    most_bytes: usize,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let whole = whole_length(bytes, most_bytes)?;
    let length = whole.unwrap_or(bytes.len());
    let mut parsed = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut response = httparse::Response::new(&mut parsed);
    let read = response.parse(&bytes[..length]);
    // A head that can't become an answer is not waited for.
    response.code.map_or(Ok(()), check_status)?;
    match read {
        Ok(httparse::Status::Complete(taken)) if Some(taken) == whole => {}
        Ok(httparse::Status::Partial) if whole.is_none() => return Ok(None),
        _ => return Err(HeadError::Malformed("no answer")),
    }
    let status = response.code.unwrap_or_default();
    let old = response.version == Some(0);
    let headers = fields(response.headers);
    let is_interim = status < FINAL_STATUS_MIN;
    if is_interim && declares_body(&headers) {
        return Err(HeadError::Malformed("an interim answer with a body"));
    }
    let framing = match is_interim || status == NO_CONTENT || status == NOT_MODIFIED {
        true => Framing::Length(0),
        false => body_framing(&headers, Framing::UntilClose)?,
    };
    let closes = framing == Framing::UntilClose
        || old
        || headers.has_word("connection", "close")
        || status == NO_CONTENT && declares_body(&headers);
    let head = ResponseHead {
        status,
        headers,
        framing,
        closes,
    };
    Ok(Some((head, length)))
}

/// The standard phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

impl ResponseHead {
    /// Whether it only announces an answer.
    pub fn is_interim(&self) -> bool {
        self.status < FINAL_STATUS_MIN
    }

    /// Writes status line and fields, without the empty line that ends them. A status that is not final in HTTP is written as
    /// 502.
    pub fn start(status: u16, headers: &Headers) -> Vec<u8> {
        let is_final = STATUSES.contains(&status) && status >= FINAL_STATUS_MIN;
        let status = if is_final { status } else { BAD_GATEWAY };
        let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
        headers.write(&mut out);
        out
    }
}
