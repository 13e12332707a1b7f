//! Errors as callers get them: JSON that always says whether the request was run.

use prelude::{Refusal, RefusalReason, RunState};
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::http::header::{HeaderValue, RETRY_AFTER};
use warp::reply::{Reply, Response};

/// The body of an error, in the shape that OpenAI's clients read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Reason, for a program.
    pub code: String,
    /// Reason, for a person.
    pub message: String,
    /// Whether the request was run.
    pub run: RunState,
    /// When to come back, where waiting helps.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Chunks that were delivered before the error.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub delivered_chunks: Option<u64>,
}

impl ErrorDetail {
    /// An error without a time to come back.
    pub fn new(kind: &str, code: &str, message: impl Into<String>, run: RunState) -> Self {
        Self {
            kind: kind.into(),
            code: code.into(),
            message: message.into(),
            run,
            retry_after_ms: None,
            delivered_chunks: None,
        }
    }

    /// The error of a request that was refused.
    pub fn refused(refusal: Refusal) -> Self {
        let code = refusal.reason.as_str();
        let message = refusal_message(refusal.reason);
        let mut detail = Self::new("refused", code, message, RunState::NotRun);
        detail.retry_after_ms = refusal.retry_after_ms;
        detail
    }

    /// This error as a response.
    pub fn response(self, status: StatusCode) -> Response {
        let retry_after_ms = self.retry_after_ms;
        let body = warp::reply::json(&ErrorBody { error: self });
        let mut response = warp::reply::with_status(body, status).into_response();
        if let Some(retry_after_ms) = retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1000).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// The response to a request that was refused.
pub(crate) fn refusal_response(refusal: Refusal) -> Response {
    ErrorDetail::refused(refusal).response(refusal_status(refusal.reason))
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Crowded | RefusalReason::TooManyStreams => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::KeyExpired => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::DeadlinePassed
        | RefusalReason::NoTarget
        | RefusalReason::RetryBudgetSpent
        | RefusalReason::ClaimUnavailable
        | RefusalReason::Stopping
        | RefusalReason::Withheld => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Crowded => "the wait would pass the deadline; the request was not run",
        RefusalReason::DeadlinePassed => "the deadline passed in the queue; it was not run",
        RefusalReason::TooManyStreams => "the account has too many open streams here",
        RefusalReason::NoTarget => "no live target serves this",
        RefusalReason::TooLarge => "the prompt and the largest answer fit no engine",
        RefusalReason::RetryBudgetSpent => "too many retries at this time; it was not run",
        RefusalReason::ClaimUnavailable => "the call could not be recorded; it was not run",
        RefusalReason::KeyExpired => "the key is older than keys are kept; it was not run",
        RefusalReason::Withheld => "targets end under this request; it was not run",
        RefusalReason::Stopping => "this box is stopping; ask again, another box answers",
    }
}
