//! The cases of the third review: starts the programs of the deploy file and stand-ins, and judges what clients see.
//!
//! `standin-3 CASE RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod departed;
mod fleet;
mod floor;
mod http;
mod server;
mod unframed;

use std::process::ExitCode;

use crate::fleet::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|one| one == "server") {
        server::run(&arguments[1..]);
        return ExitCode::from(2);
    }
    let [case, record] = arguments.as_slice() else {
        eprintln!("standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    let run = match case.as_str() {
        "unframed" => unframed::run,
        "departed" => departed::run,
        "late-departure" => floor::late_departure,
        "foreign-ping" => floor::foreign_ping,
        _ => return ExitCode::from(2),
    };
    let outcome =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record, has_trouble)));
    match outcome {
        Ok(true) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => {
            record.line("result: the case could not run");
            ExitCode::from(2)
        }
    }
}
