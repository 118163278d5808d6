//! Tests of the operators' query language.

mod select;
mod statement;
