//! Requests under which targets end: which they are, and what becomes of their next tries.

pub(crate) mod broken;
