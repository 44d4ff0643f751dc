//! Trial tenants that expire: slowed step by step, alike at every proxy.
//!
//! [`Terms`] are what the operator sets. One registry decides when the next step is due ([`due_step`]) and the stores
//! make it durable. A [`TrialBook`] at each proxy says by which step a request is judged: see [`Timeline`] for the
//! argument that all proxies change over together. `docs/trials.md` has the proof and the ways weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod due;
mod terms;
mod timeline;

pub use book::{Judgement, Standing, TrialBook};
pub use due::due_step;
pub use terms::{InvalidTerms, Level, Phase, RequestClass, StepTerms, Terms, STEPS_MAX};
pub use timeline::{InEffect, Spans, Timeline};
