//! Cases of the second independent review, each run against the real controllers on loopback.
//!
//! `review2-lab CASE RECORD PROGRAM FOLDER`; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod cloud;
mod lab;
mod web;
mod worker;

use std::process::ExitCode;

use lab::Lab;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, program, folder] = &arguments[..] else {
        eprintln!("review2-lab CASE RECORD PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let lab = Lab::new(record, program, folder, cases::site(case));
    let outcome = cases::run(case, &lab);
    lab.stop();
    let (code, word) = match &outcome {
        Ok(()) => (0, "the rule held".to_owned()),
        Err(cases::Failure::Broken(what)) => (1, format!("the rule was broken: {what}")),
        Err(cases::Failure::CannotRun(what)) => (2, format!("the case could not run: {what}")),
    };
    lab.note(&format!("{word}; exit {code}"));
    println!("{word}");
    ExitCode::from(code)
}
