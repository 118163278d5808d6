//! How the tokens of prompts were obtained, and why some were prefilled again.

use crate::time::{Micros, SECOND};

/// A part counts as prefilled again if it is prefilled within this time after its last use on some
/// engine: users count that as waste, and longer pauses as a first prefill.
pub const RECENT_USE: Micros = 10 * SECOND;

/// How an engine obtained a token of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It had the token cached, or was prefilling it for another request.
    Cached,
    /// It copied the token from another engine.
    Copied,
    /// It prefilled the token, which no engine had recently.
    FirstRead,
    /// It prefilled the token again: another engine was prefilling it and could not send it yet.
    ReadingElsewhere,
    /// It prefilled the token again, though another engine could have sent it.
    HolderBusy,
    /// It prefilled the token again, since a copy of so few tokens takes as long.
    TooShort,
    /// It prefilled the token again: the engines that had it are down, slow or leaving.
    HolderDown,
}

impl How {
    /// All of them.
    pub const ALL: [How; 7] = [
        How::Cached,
        How::Copied,
        How::FirstRead,
        How::ReadingElsewhere,
        How::HolderBusy,
        How::TooShort,
        How::HolderDown,
    ];

    /// The name in metrics.
    pub const fn word(self) -> &'static str {
        match self {
            How::Cached => "cached",
            How::Copied => "copied",
            How::FirstRead => "first_read",
            How::ReadingElsewhere => "reading_elsewhere",
            How::HolderBusy => "holder_busy",
            How::TooShort => "too_short",
            How::HolderDown => "holder_down",
        }
    }
}

/// Numbers of prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([u64; How::ALL.len()]);

impl Counts {
    /// Adds tokens.
    pub fn add(&mut self, how: How, tokens: u32) {
        self.0[how as usize] += u64::from(tokens);
    }

    /// The number of tokens obtained in one way.
    pub fn get(&self, how: How) -> u64 {
        self.0[how as usize]
    }

    /// The numbers above zero.
    pub fn iter(&self) -> impl Iterator<Item = (How, u64)> {
        How::ALL.into_iter().map(|how| (how, self.get(how))).filter(|(_, tokens)| *tokens > 0)
    }
}
