//! Tests of the folds.

mod boot;
mod claim;
mod config;
mod quarantine;
mod support;
