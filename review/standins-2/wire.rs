//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (n, v) = pair.split_once('=')?;
            (n == name).then_some(v)
        })?;
        Some(percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub type Reader = BufReader<TcpStream>;

fn line(reader: &mut Reader) -> Option<String> {
    let mut text = Vec::new();
    let read = reader.read_until(b'\n', &mut text).ok()?;
    if read == 0 || text.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&text).trim_end().to_owned())
}

/// Reads only the head.
pub fn read_head(reader: &mut Reader) -> Option<Message> {
    let mut message = Message {
        first: line(reader)?,
        ..Message::default()
    };
    loop {
        let next = line(reader)?;
        if next.is_empty() {
            return Some(message);
        }
        let (name, value) = next.split_once(':')?;
        message
            .fields
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a message. A body without a length ends at once in a request, and with the channel in an answer.
pub fn read_message(reader: &mut Reader, is_answer: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length: Option<usize> = message.field("content-length").and_then(|l| l.parse().ok());
    let chunked = message.field("transfer-encoding").is_some();
    if chunked {
        message.whole = read_chunks(reader, &mut message.body);
    } else if let Some(length) = length {
        message.body = vec![0; length];
        let mut have = 0;
        while have < length {
            match reader.read(&mut message.body[have..]) {
                Ok(0) | Err(_) => break,
                Ok(more) => have += more,
            }
        }
        message.body.truncate(have);
        message.whole = have == length;
    } else if is_answer && !matches!(message.status(), 204 | 304) {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.whole = true;
    }
    Some(message)
}

fn read_chunks(reader: &mut Reader, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(size) = line(reader) else {
            return false;
        };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        if size == 0 {
            return line(reader).is_some();
        }
        let mut chunk = vec![0; size];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        body.extend_from_slice(&chunk);
        if line(reader).is_none() {
            return false;
        }
    }
}

pub fn answer(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} S\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).is_ok()
}

pub fn connect(address: SocketAddr, limit: Duration) -> Option<Reader> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    Some(BufReader::new(stream))
}

/// One request on a channel of its own, and its answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut reader = connect(address, limit)?;
    reader.get_mut().write_all(request).ok()?;
    read_message(&mut reader, true)
}
