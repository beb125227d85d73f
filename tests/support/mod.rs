//! Stand-ins of the users' platform on loopback, and real nodes before them.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod bed;
pub mod caller;
pub mod http;
pub mod node;
pub mod proxy;
pub mod store;
pub mod target;

use std::future::Future;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::{Builder, Handle};

/// A runtime on a thread of its own, for stand-ins.
pub struct StandInRuntime {
    handle: Handle,
    _stop: mpsc::Sender<()>,
}

impl StandInRuntime {
    pub fn start() -> Self {
        let (stop, stopped) = mpsc::channel::<()>();
        let (tell, told) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime starts");
            tell.send(runtime.handle().clone()).ok();
            runtime.block_on(async move {
                // The other end is dropped with the owner of this runtime.
                while !matches!(stopped.try_recv(), Err(mpsc::TryRecvError::Disconnected)) {
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            });
        });
        let handle = told.recv().expect("the runtime's thread runs");
        Self {
            handle,
            _stop: stop,
        }
    }

    pub fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) {
        self.handle.spawn(task);
    }

    pub fn enter(&self) -> tokio::runtime::EnterGuard<'_> {
        self.handle.enter()
    }
}
