//! Shared parts: the record, HTTP/1.1 framing, JSON and base64, and boxes as processes of their own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_ms:6} ms  {text}");
        println!("{at_ms:6} ms  {text}");
    }
}

/// The head of a message and its body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decoded(value))
    }
}

pub fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A channel and what was read ahead from it.
pub struct Wire {
    pub io: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self {
            io,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, ms(1000))?))
    }

    /// Reads more; false where the peer closed the channel.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0u8; 16 * 1024];
        let read = self.io.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head without its body; none where the channel was closed before its end.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        headers.push((name.trim().to_owned(), value.trim().to_owned()));
                    }
                }
            }
        }
        Ok(Some(Message {
            start,
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads the body that belongs to a head. True where it is complete.
    pub fn body(&mut self, message: &mut Message) -> io::Result<bool> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(false);
                };
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).unwrap_or(0);
                if !self.take(size, &mut message.body)? || self.line()?.is_none() {
                    return Ok(false);
                }
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        self.take(length.unwrap_or(0), &mut message.body)
    }

    fn take(&mut self, length: usize, out: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(false);
            }
        }
        out.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads a whole message; none where the channel ended before it.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        Ok(self.body(&mut message)?.then_some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes)
    }

    /// Whether the peer has closed the channel. Bytes that came are kept.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.io.set_nonblocking(true);
        let closed = match self.fill() {
            Ok(open) => !open,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.io.set_nonblocking(false);
        closed
    }
}

/// Serves each channel of a listener in a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(Wire) + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for channel in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Wire::new(channel)));
        }
    });
    Ok(())
}

/// How a request ended at its client.
#[derive(Debug)]
pub struct Answer {
    /// None where the channel ended before a head came.
    pub status: Option<u16>,
    pub is_whole: bool,
    pub is_signed: bool,
    pub body: Vec<u8>,
    pub error: String,
}

/// Sends a request on a channel and reads the whole answer.
pub fn ask(wire: &mut Wire, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer {
        status: None,
        is_whole: false,
        is_signed: false,
        body: Vec::new(),
        error: String::new(),
    };
    let _ = wire.io.set_read_timeout(Some(limit));
    if let Err(error) = wire.write(request) {
        answer.error = format!("not written: {error}");
        return answer;
    }
    let mut message = match wire.head() {
        Ok(Some(message)) => message,
        Ok(None) => {
            answer.error = "the channel was closed".into();
            return answer;
        }
        Err(error) => {
            answer.error = error.to_string();
            return answer;
        }
    };
    answer.status = message
        .start
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    answer.is_signed = message.header("response-signature").is_some();
    match wire.body(&mut message) {
        Ok(true) => answer.is_whole = true,
        Ok(false) => answer.error = "the channel was closed within the answer".into(),
        Err(error) => answer.error = error.to_string(),
    }
    answer.body = message.body;
    answer
}

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes
        .get(*at)
        .is_some_and(|byte| byte.is_ascii_whitespace() || matches!(byte, b',' | b':'))
    {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let Json::Text(name) = value(bytes, at)? else {
                    return None;
                };
                table.insert(name, value(bytes, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, at)?);
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into_owned())),
                    b'\\' => {
                        text.push(*bytes.get(*at)?);
                        *at += 1;
                    }
                    byte => text.push(byte),
                }
            }
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| !b",}] \n\r\t".contains(byte))
            {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(match word {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                "null" => Json::Null,
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for sign in text.bytes() {
        let Some(at) = SIGNS.iter().position(|known| *known == sign) else {
            break;
        };
        word = word << 6 | at as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

/// The addresses of one run: loopback addresses that no other run uses.
pub struct Net {
    prefix: String,
}

impl Net {
    pub fn free() -> Self {
        let id = std::process::id();
        for attempt in 0..200u32 {
            let prefix = format!("127.{}.{}", 20 + (id / 200 + attempt) % 200, 1 + id % 200);
            if TcpListener::bind(format!("{prefix}.1:8742")).is_ok() {
                return Self { prefix };
            }
        }
        Self {
            prefix: "127.20.1".into(),
        }
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.prefix)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(host)).parse().unwrap()
    }
}

/// One box: the program of the deploy file, with settings filled from the template of the deploy file.
pub struct BoxProcess {
    pub name: String,
    pub host: u8,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

pub struct BoxPlace<'a> {
    pub net: &'a Net,
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub seeds: &'a [u8],
}

/// The processes that this run started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn send_signal(name: &str, process: u32) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.to_string())
        .status();
}

/// Ends this run and all that it started after a limit.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        sleep(limit);
        let started = STARTED
            .lock()
            .map(|started| started.clone())
            .unwrap_or_default();
        started
            .iter()
            .for_each(|process| send_signal("KILL", *process));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

impl BoxProcess {
    pub fn start(place: &BoxPlace, name: &str, zone: &str, host: u8) -> io::Result<Self> {
        let net = place.net;
        let (front, ready) = (net.at(host, 8740), net.at(host, 8749));
        let control = net.at(host, 8748);
        let seeds: Vec<String> = place
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", net.at(*seed, 8748)))
            .collect();
        let values = [
            ("node_name|json", format!("\"{name}\"")),
            ("zone|json", format!("\"{zone}\"")),
            ("listen_addresses.front|json", format!("\"{front}\"")),
            ("listen_addresses.ready|json", format!("\"{ready}\"")),
            ("listen_addresses.control|json", format!("\"{control}\"")),
            ("ip_address", net.ip(host)),
            ("platform.address|json", format!("\"{}\"", place.store)),
            ("platform.ttl_min_ms", "1000".into()),
            ("bounds.drain_ms", "2000".into()),
            ("bounds.grace_s", "8".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_slack", "56".into()),
            ("bounds.budget_window_s", "10".into()),
            ("limits.memory_mb", "110".into()),
            ("limits.file_descriptors", "4100".into()),
            ("limits.link_mbps", "1000.0".into()),
            ("seed_nodes|json", format!("[{}]", seeds.join(","))),
        ];
        let mut settings = fs::read_to_string("deploy/box.yaml")?;
        for (gap, text) in values {
            settings = settings.replace(&format!("{{{{{gap}}}}}"), &text);
        }
        if settings.contains("{{") {
            return Err(io::Error::other(
                "the template of the deploy file has unknown gaps",
            ));
        }
        let file: PathBuf = place.folder.join(format!("{name}.yaml"));
        fs::write(&file, settings)?;
        let log = File::create(place.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/shuntpier")
            .arg("relay")
            .env("SHUNTPIER_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        Ok(Self {
            name: name.into(),
            host,
            front,
            ready,
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut wire) = Wire::connect(self.ready) else {
            return false;
        };
        let request = format!("GET /v1/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        ask(&mut wire, request.as_bytes(), ms(1000)).status == Some(200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep(ms(50));
        }
        false
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }
}
