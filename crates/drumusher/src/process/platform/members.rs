//! Polls the platform's list of instances and backend servers.

use std::cell::RefCell;

use drumusher_platform::members::{List, Members, Service};
use ntex::time::{Millis, sleep};

use super::Context;
use crate::version::Directory;

thread_local! {
    /// The latest list, merged again with each new configuration.
    static LATEST: RefCell<List> = RefCell::default();
}

/// Rebuilds the directory from the latest list and the configuration in force.
pub(super) fn rebuild(context: &Context) {
    let state = context.shared.version.load().state.clone();
    let directory = LATEST.with_borrow(|list| Directory::new(list, &state));
    context.shared.publish_directory(directory);
}

/// Polls the list; never returns. While it cannot be read, the latest one stays in use.
pub(super) async fn follow(context: Context) {
    let settings = &context.shared.settings;
    let members = Service::new(context.http.clone(), &settings.members.to_string());
    let pause = Millis(settings.platform.members_ms as u32);
    loop {
        match members.list(None).await {
            Ok(list) => {
                LATEST.set(list);
                rebuild(&context);
            }
            Err(error) => {
                context.shared.telemetry.count("drumusher.members.failures", &[]);
                log::debug!("the list of instances {error}");
            }
        }
        sleep(pause).await;
    }
}
