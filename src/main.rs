//! Entry point of the `jacinthhinge` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    jacinthhinge::front::command::run()
}
