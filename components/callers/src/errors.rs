//! Error responses to callers: JSON that always states whether the request was run.

use prelude::{Refusal, RefusalReason, RunState};
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::http::header::{HeaderValue, RETRY_AFTER};
use warp::reply::{Reply, Response};

/// Body of an error response, in the format of OpenAI's API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Category of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Machine-readable reason.
    pub code: String,
    /// Human-readable reason.
    pub message: String,
    /// Whether the request was run.
    pub run: RunState,
    /// Delay in milliseconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Number of chunks delivered before the error.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub delivered_chunks: Option<u64>,
}

impl ErrorDetail {
    /// Creates an error without a retry delay.
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

    /// Creates the error for a refused request.
    pub fn refused(refusal: Refusal) -> Self {
        let code = refusal.reason.as_str();
        let message = refusal_message(refusal.reason);
        let mut detail = Self::new("refused", code, message, RunState::NotRun);
        detail.retry_after_ms = refusal.retry_after_ms;
        detail
    }

    /// Converts the error to a response; a retry delay also sets `Retry-After`, in whole seconds.
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

/// Returns the response to a refused request.
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
