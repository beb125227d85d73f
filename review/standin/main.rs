//! Stand-ins for the users' platform (store, replicas, clients, and what starts and stops processes),
//! and the scripts of the review's cases. They use the standard library only.
//!
//! `standin CASE RECORD` plays one case, writes what happened to RECORD, and exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod bed;
mod cold;
mod http;
mod memory;
mod replica;
mod stop;
mod tickets;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    bed::open_record(record);
    let outcome = match case.as_str() {
        "memory" => memory::play(trouble),
        "cold" => cold::play(trouble),
        "stop" => stop::play(trouble),
        "tickets" => tickets::play(trouble),
        _ => Err(format!("no case {case}")),
    };
    bed::end_nodes();
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            eprintln!("could not run: {reason}");
            bed::record(&format!("could not run: {reason}"));
            2
        }
    };
    bed::record(&format!("exit {code}"));
    exit(code);
}
