/*!
The command line.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 faults in a document, 4 conflict with
another operator's change.
*/

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

mod client;
mod documents;
mod operate;
mod output;
mod process;
mod submission;
mod text;
mod timeline;

use self::output::Failure;

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    match execute(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("toucanhoist: {failure}");
            failure.exit_code()
        }
    }
}

fn execute(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("serve", matches)) => process::serve(matches),
        Some(("edge", matches)) => process::edge(matches),
        Some(("dev", matches)) => process::dev(matches),
        Some(("check", matches)) => documents::check(matches),
        Some(("schema", matches)) => documents::schema(matches),
        Some(("completions", matches)) => documents::completions(matches),
        Some(("submission", matches)) => submission::run(matches),
        Some(("explain", matches)) if matches.contains_id("log") => timeline::run(matches),
        Some((name, matches)) => operate::run(name, matches),
        None => Ok(()),
    }
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("toucanhoist")
        .about("Steers requests from callers to targets")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 faults in a document, \
             4 conflict with another operator's change.",
        )
        .subcommand(
            Command::new("serve")
                .about("Runs an entry host")
                .arg(required("settings", "FILE", "Settings of the process").long("settings")),
        )
        .subcommand(Command::new("edge").about("Runs an entry host on the users' platform").arg(
            Arg::new("settings").long("settings").value_name("FILE").help(
                "Settings of the process; by default the file that the platform's variable names",
            ),
        ))
        .subcommand(dev_command())
        .subcommand(
            Command::new("check")
                .about("Checks a file of settings or of the fleet's configuration")
                .arg(required("file", "FILE", "File to check"))
                .arg(json_flag()),
        )
        .subcommand(
            Command::new("schema")
                .about("Prints the JSON schema of a kind of document")
                .arg(Arg::new("kind").value_parser(["fleet", "settings"]).default_value("fleet")),
        )
        .subcommand(Command::new("completions").about("Prints completions for a shell").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
        .subcommand(config_command())
        .subcommand(key_command())
        .subcommand(submission::command())
        .subcommand(operator(
            Command::new("drain")
                .about("Stops new work at a target, a service or a data centre")
                .arg(required("scope", "SCOPE", "target:NAME, service:NAME or data-centre:NAME"))
                .arg(
                    Arg::new("undo").long("undo").action(ArgAction::SetTrue).help("Ends the drain"),
                )
                .arg(author())
                .arg(reason()),
        ))
        .subcommand(operator(Command::new("status").about("Shows what a host knows")))
        .subcommand(explain_command())
}

fn explain_command() -> Command {
    let command = Command::new("explain")
        .about("Shows the decisions about a request: those of a running host, or from logs")
        .arg(required("request", "REQUEST-ID", "Identifier of the request"))
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .action(ArgAction::Append)
                .help("Log of a host, instead of a running one; - for the standard input"),
        );
    operator(command).mut_arg("token", |token| token.required(false).required_unless_present("log"))
}

fn dev_command() -> Command {
    Command::new("dev")
        .about("Runs a sample fleet in one process, without set-up")
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u16).range(1..=64))
                .help("Entry hosts"),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .value_name("P")
                .default_value("8080")
                .value_parser(value_parser!(u16))
                .help("Port of the first host for callers; operators are 1000 above; 0 for any"),
        )
        .arg(json_flag())
}

fn config_command() -> Command {
    Command::new("config")
        .about("Reads and changes the fleet's configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(operator(Command::new("get").about("Prints the configuration in force")))
        .subcommand(operator(
            Command::new("diff")
                .about("Shows how a file differs from the configuration in force")
                .arg(required("file", "FILE", "File to compare")),
        ))
        .subcommand(operator(
            Command::new("set")
                .about("Puts a file in force")
                .arg(required("file", "FILE", "File to put in force"))
                .arg(author())
                .arg(reason())
                .arg(
                    Arg::new("confirm")
                        .long("confirm")
                        .value_name("LOSS")
                        .action(ArgAction::Append)
                        .help("Confirms a large loss by its name, such as targets"),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .action(ArgAction::SetTrue)
                        .help("Waits until it is in force on every host"),
                ),
        ))
        .subcommand(operator(Command::new("history").about("Lists the accepted changes")))
}

fn key_command() -> Command {
    Command::new("key")
        .about("Grants, withdraws and lists keys of client accounts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(operator(
            Command::new("grant")
                .about("Grants a new key to a client account and prints it, once")
                .arg(required("account", "ACCOUNT", "Client account"))
                .arg(author()),
        ))
        .subcommand(operator(
            Command::new("withdraw")
                .about("Withdraws a key")
                .arg(required("digest", "DIGEST", "Digest of the key, as `key list` prints it"))
                .arg(author()),
        ))
        .subcommand(operator(Command::new("list").about("Lists keys by their digests")))
}

fn required(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name(value).required(true).help(help)
}

fn json_flag() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON")
}

fn author() -> Arg {
    required("author", "NAME", "Who decides").long("author").env("TOUCANHOIST_AUTHOR")
}

fn reason() -> Arg {
    required("reason", "TEXT", "Why").long("reason")
}

/// Adds the arguments by which an operator's command reaches a host.
fn operator(command: Command) -> Command {
    command
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("URL")
                .env("TOUCANHOIST_OPERATOR")
                .default_value("http://127.0.0.1:9080")
                .help("Operators' listener of a host"),
        )
        .arg(
            required("token", "TOKEN", "Operators' token")
                .long("token")
                .env("TOUCANHOIST_TOKEN")
                .hide_env_values(true),
        )
        .arg(
            Arg::new("ca")
                .long("ca")
                .value_name("FILE")
                .env("TOUCANHOIST_CA")
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Certificates that are trusted for an https URL"),
        )
        .arg(json_flag())
}
