//! Fakes of the users' platform on loopback, and real nodes that use them.

#![allow(dead_code, reason = "each test program uses only some of the items")]

pub mod bed;
pub mod broken_heads;
pub mod caller;
pub mod http;
pub mod node;
pub mod proxy;
pub mod raw_server;
pub mod store;
pub mod target;

use std::future::Future;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::{Builder, Handle};

/// Runtime on its own thread, on which fakes and proxies run until it is dropped.
pub struct BackgroundRuntime {
    handle: Handle,
    _stop_sender: mpsc::Sender<()>,
}

impl BackgroundRuntime {
    pub fn start() -> Self {
        let (stop_sender, stop_receiver) = mpsc::channel::<()>();
        let (handle_sender, handle_receiver) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime can be built");
            handle_sender.send(runtime.handle().clone()).ok();
            runtime.block_on(async move {
                // The sender is dropped with the `BackgroundRuntime`.
                while !matches!(
                    stop_receiver.try_recv(),
                    Err(mpsc::TryRecvError::Disconnected)
                ) {
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            });
        });
        let handle = handle_receiver
            .recv()
            .expect("the runtime thread sends its handle");
        Self {
            handle,
            _stop_sender: stop_sender,
        }
    }

    pub fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) {
        self.handle.spawn(task);
    }

    pub fn enter(&self) -> tokio::runtime::EnterGuard<'_> {
        self.handle.enter()
    }
}
