//! The timeline of a job: failures whose cause is found from the log lines alone.

use fireflynotch::exit::ExitStatus;
use fireflynotch::explain::explain;

const ID: &str = "5c0e7a21d94b36f8";

/// The store did not respond: the first request had an unknown outcome, the next was refused.
const REFUSED: &str = r#"
{"event":"started","daemon":"a","life":1000,"uptime_ms":0}
  18.0 a {"event":"dependency","daemon":"a","uptime_ms":10,"name":"store","available":false,"detail":""}
{"event":"refused","daemon":"a","uptime_ms":900,"job":"5c0e7a21d94b36f8","queue":"q","reason":"outcome_unknown","status":504,"took_ms":900}
{"event":"refused","daemon":"a","uptime_ms":2000,"job":"5c0e7a21d94b36f8","queue":"q","reason":"store_away","status":503,"took_ms":0}
"#;

/// An executor was lost, its leases had to expire first, and the job finished late.
const LATE: &str = r#"
{"event":"started","daemon":"b","life":5000,"uptime_ms":0}
{"event":"started","daemon":"a","life":1000,"uptime_ms":0}
{"event":"job_ended","daemon":"b","uptime_ms":9000,"job":"5c0e7a21d94b36f8","state":"succeeded","after_ms":9900,"objective_ms":3000}
{"event":"accepted","daemon":"a","uptime_ms":4100,"job":"5c0e7a21d94b36f8","queue":"q","took_ms":9}
{"event":"placed","daemon":"b","uptime_ms":120,"job":"5c0e7a21d94b36f8","step":0,"tasks":6,"chance":"in_time","slack_ms":900,"left_out":7}
{"event":"run_lost","daemon":"b","uptime_ms":6000,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","why":"lease_lapsed"}
{"event":"placed","daemon":"b","uptime_ms":6010,"job":"other","step":0,"tasks":1,"chance":"late","slack_ms":1}
"#;

/// A task failed on the same executor before and after a takeover and used up its attempts.
const FAILED: &str = r#"
{"event":"accepted","daemon":"a","uptime_ms":100,"job":"5c0e7a21d94b36f8","queue":"q","took_ms":9}
{"event":"run_failed","daemon":"a","uptime_ms":900,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","failures":1,"attempts":2}
{"event":"takeover","daemon":"a","uptime_ms":1900,"epoch":2,"earlier":"b","jobs":9,"inherited":4,"took_ms":30}
{"event":"run_failed","daemon":"a","uptime_ms":2900,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":2,"executor":"e7","failures":2,"attempts":2}
{"event":"job_ended","daemon":"a","uptime_ms":2910,"job":"5c0e7a21d94b36f8","state":"failed","after_ms":2800,"objective_ms":3000}
"#;

/// Starts that hung on one executor held up a stop there, and the task started elsewhere.
const HELD_UP: &str = r#"
{"event":"started","daemon":"a","life":1000,"uptime_ms":0}
{"event":"placed","daemon":"a","uptime_ms":100,"job":"5c0e7a21d94b36f8","step":0,"tasks":1,"chance":"in_time","slack_ms":900}
{"event":"held","daemon":"a","uptime_ms":2400,"job":"5c0e7a21d94b36f8","step":0,"tasks":1,"reason":"e7 has not answered its start for 2300 ms","age_ms":2350}
{"event":"start_unanswered","daemon":"a","uptime_ms":2700,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","outcome":"given_up","attempts":3,"unanswered":3,"store_ms":20,"slot_ms":30,"answer_ms":2550}
{"event":"start_unanswered","daemon":"a","uptime_ms":2800,"job":"other","step":0,"index":0,"run":1,"executor":"e7","outcome":"given_up","attempts":3,"unanswered":3,"store_ms":20,"slot_ms":30,"answer_ms":2550}
{"event":"stop_delayed","daemon":"a","uptime_ms":4400,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","outcome":"stopped","attempts":1,"unanswered":0,"store_ms":0,"slot_ms":1690,"answer_ms":10}
{"event":"placed","daemon":"a","uptime_ms":4500,"job":"5c0e7a21d94b36f8","step":0,"tasks":1,"chance":"late","slack_ms":1}
"#;

#[test]
fn a_late_start_is_traced_to_commands_without_an_answer_at_one_executor() {
    let output = explain(ID, HELD_UP);
    let events: Vec<&str> = output
        .stdout
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert_eq!(
        events,
        [
            "placed",
            "held",
            "start_unanswered",
            "stop_delayed",
            "placed"
        ]
    );
    assert!(output.stdout.contains("outcome=given_up"));
    assert!(output.stdout.contains("slot_ms=1690"));
    assert_eq!(output.stdout.matches("executor=e7").count(), 2);
}

#[test]
fn a_refused_job_is_traced_to_the_store() {
    let output = explain(ID, REFUSED);
    assert_eq!(output.exit, ExitStatus::Done);
    assert!(output.stdout.contains("reason=outcome_unknown status=504"));
    assert!(output.stdout.contains("1100 ms  a  refused"));
    assert!(output.stdout.contains("reason=store_away"));
}

#[test]
fn a_late_job_is_traced_to_a_lost_executor_across_the_logs_of_two_hosts() {
    let output = explain(ID, LATE);
    let events: Vec<&str> = output
        .stdout
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert_eq!(events, ["accepted", "placed", "run_lost", "job_ended"]);
    assert!(output.stdout.contains("executor=e7"));
    assert!(output.stdout.contains("why=lease_lapsed"));
    assert!(output.stderr.contains("7 lines of placed were left out"));
}

#[test]
fn a_failed_job_is_traced_to_one_executor_across_a_takeover() {
    let output = explain(ID, FAILED);
    assert!(output.stdout.contains("takeover"));
    assert_eq!(output.stdout.matches("executor=e7").count(), 2);
    assert!(output.stdout.contains("state=failed"));
    assert!(output.stderr.contains("the start of a is missing"));
}

#[test]
fn a_job_without_log_lines_is_reported_as_missing() {
    let output = explain("0000000000000000", LATE);
    assert_eq!(output.exit, ExitStatus::NotDone);
    assert!(output.stderr.contains("no log line names this job"));
}
