//! Messages between drumusher instances.
//!
//! Messages are Thrift structs in the compact protocol, each in a [`frame`] with a length prefix. [`peer`] is
//! generated from `idl/peer.thrift` and committed, so that a build needs no code generator. [`auth`] is the
//! mutual authentication of both ends by the fleet secret.
//!
//! The crate does no I/O. The generated code takes its protocols as `&mut dyn`, although the project avoids
//! dynamic dispatch on the request path; `docs/DESIGN.md` records the exception and its cost.

pub mod auth;
pub mod frame;

#[allow(missing_docs, rust_2018_idioms, unused, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer;
