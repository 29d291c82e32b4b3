//! Entry point of the client: passes arguments and environment to [`fireflynotch::run`], prints its
//! output and exits with its exit code.

use std::env;
use std::process::ExitCode;

use fireflynotch::Environment;
use fireflynotch::run;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let environment = Environment {
        address: env::var("FIREFLYNOTCH_ADDRESS").ok(),
        token: env::var("FIREFLYNOTCH_TOKEN").ok(),
        user: env::var("USER").ok(),
        op: format!("{:032x}", rand::random::<u128>()).into(),
    };
    let output = run(&args, &environment).await;
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    ExitCode::from(output.exit.code())
}
