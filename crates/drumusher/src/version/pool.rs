//! Names of pools.

use std::{fmt, sync::Arc};

use super::cell::{Cell, Part};

/// Name of a pool, which has one dispatcher in each area.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pool {
    /// A model.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
    /// A part of a service with many backend servers.
    Cell(Cell),
}

impl Pool {
    /// Parses a pool name in the format of its [`Display`](fmt::Display) implementation.
    pub fn parse(text: &str) -> Option<Pool> {
        let (kind, name) = text.split_once(':')?;
        match kind {
            "model" => Some(Pool::Model(name.into())),
            "service" => Some(Pool::Service(name.into())),
            "cell" => parse_cell(name).map(Pool::Cell),
            _ => None,
        }
    }

    /// The service, if it is one or a part of one.
    pub fn service(&self) -> Option<&Arc<str>> {
        match self {
            Pool::Model(_) => None,
            Pool::Service(service) => Some(service),
            Pool::Cell(cell) => Some(&cell.service),
        }
    }

    /// The cell, if it is one.
    pub fn cell(&self) -> Option<&Cell> {
        match self {
            Pool::Cell(cell) => Some(cell),
            Pool::Model(_) | Pool::Service(_) => None,
        }
    }

    /// The pool of which it is a part, or itself.
    pub fn whole(&self) -> Pool {
        match self {
            Pool::Cell(cell) => Pool::Service(cell.service.clone()),
            whole => whole.clone(),
        }
    }
}

fn parse_cell(text: &str) -> Option<Cell> {
    let mut words = text.splitn(4, '/');
    let (index, count) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let (zone, service) = (words.next()?.into(), words.next()?.into());
    Some(Cell { service, zone, part: Part::new(index, count)? })
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Pool::Model(name) => write!(f, "model:{name}"),
            Pool::Service(name) => write!(f, "service:{name}"),
            Pool::Cell(Cell { service, zone, part }) => {
                write!(f, "cell:{}/{}/{zone}/{service}", part.index(), part.count())
            }
        }
    }
}
