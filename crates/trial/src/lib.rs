//! Expiring trial tenants: the quota is reduced in steps that take effect at the same time at every proxy.
//!
//! The operator sets [`Terms`]. One registry decides when the next step is due ([`due_step`]) and the stores make it
//! durable. A [`TrialTracker`] at each proxy determines the step that applies to a request; [`Timeline`] explains why
//! all proxies switch together. `docs/trials.md` has the proof and the alternatives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod due;
mod terms;
mod timeline;
mod tracker;

pub use due::due_step;
pub use terms::{InvalidTerms, Phase, QuotaLevel, RequestClass, StepTerms, Terms, STEPS_MAX};
pub use timeline::{StepInEffect, Timeline, TrialTiming};
pub use tracker::{ActiveStep, TrialDecision, TrialTracker};
