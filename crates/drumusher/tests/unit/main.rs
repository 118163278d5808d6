//! Tests of parts of the binary that need no process.

mod answer;
mod askers;
mod backoff;
mod broker;
mod budget;
mod catalog;
mod directory;
mod fetch;
mod host;
mod notices;
mod options;
mod place;
mod records;
mod registrations;
mod relay;
mod replica;
mod ring;
mod routing;
mod settings;
mod story;
mod summary;
mod trials;
mod uploads;
