//! Node: serves callers, the directory and peers on one VM of the hosting platform.

use plantainnotch::cmd::node;

fn main() -> eyre::Result<()> {
    let flags = node::options().run();
    node::run(&flags)
}
