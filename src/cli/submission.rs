//! Commands on submissions whose outcome is open.

use {
    clap::{Arg, ArgMatches, Command},
    http::Method,
    serde_json::json,
};

use super::{
    author,
    documents::argument,
    operate::{client, pretty, print},
    operator,
    output::Failure,
    reason, required,
};

const RAN: &str = "ran";

pub(super) fn command() -> Command {
    Command::new("submission")
        .about("Lists and settles submissions whose outcome is open")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(operator(Command::new("list").about("Lists open submissions")))
        .subcommand(operator(
            Command::new("settle")
                .about("Settles an open submission; `not-run` lets its caller send it again")
                .arg(required(
                    "submission",
                    "ACCOUNT/SERVICE/KEY",
                    "Submission, as `list` shows it",
                ))
                .arg(
                    Arg::new("outcome")
                        .long("outcome")
                        .required(true)
                        .value_parser([RAN, "not-run"])
                        .help("What the targets' own records show"),
                )
                .arg(author())
                .arg(reason()),
        ))
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("list", matches)) => {
            print(matches, &client(matches).call(Method::GET, "/submissions/open", None)?, pretty);
            Ok(())
        }
        Some(("settle", matches)) => settle(matches),
        _ => Err(Failure::failed("no such command")),
    }
}

fn settle(matches: &ArgMatches) -> Result<(), Failure> {
    let body = json!({
        "submission": argument(matches, "submission"),
        "ran": argument(matches, "outcome") == RAN,
        "author": argument(matches, "author"),
        "reason": argument(matches, "reason"),
    });
    print(
        matches,
        &client(matches).call(Method::POST, "/submissions/settle", Some(&body))?,
        pretty,
    );
    Ok(())
}
