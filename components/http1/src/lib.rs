//! HTTP/1.1 as a relay needs it: messages that are passed on as they came, with every doubt about where
//! a body ends treated as an error. `httparse` reads heads; what is here is framing and channels.
//!
//! `hyper` is not used on this path: it hides a second answer on a channel behind an error, and a head
//! that carries both `Content-Length` and `Transfer-Encoding` behind a repaired one. Both decide here
//! whether an answer belongs to a request.

mod body;
mod channel;
mod exchange;
mod head;
mod headers;

pub use body::{BodyError, Decoder, Framing, Piece, push_chunk};
pub use channel::{Channel, ChannelError, Listener, Written};
pub use exchange::{Answer, AnswerLimits, ExchangeError, exchange};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use headers::{Header, Headers};
