//! The operators' query language. Each statement is one query or one command.
//!
//! ```text
//! show running where class = pickup and waited > 200ms order by waited desc limit 20
//! show request 4b0e…
//! create class pickup tier = 0 first_token = 1500ms
//! set engine e-7 slots = 48 if version 112
//! drain engine e-7
//! rotate key vanua
//! ```
//!
//! [`statement::parse`] parses a text to a [`statement::Statement`]; [`select::run`] applies `where`, `order
//! by` and `limit` to rows. The crate does no I/O.

pub mod select;
pub mod statement;
