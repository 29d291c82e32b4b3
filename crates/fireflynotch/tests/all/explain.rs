//! A job's story from log lines: three failures, each found from its lines alone.

use fireflynotch::exit::Exit;
use fireflynotch::explain::explain;

const ID: &str = "5c0e7a21d94b36f8";

/// The store did not answer: the caller was told that the outcome is unknown, and refused after that.
const REFUSED: &str = r#"
{"event":"started","daemon":"a","life":1000,"uptime_ms":0}
  18.0 a {"event":"dependency","daemon":"a","uptime_ms":10,"name":"store","available":false,"detail":""}
{"event":"refused","daemon":"a","uptime_ms":900,"job":"5c0e7a21d94b36f8","queue":"q","reason":"outcome_unknown","status":504,"took_ms":900}
{"event":"refused","daemon":"a","uptime_ms":2000,"job":"5c0e7a21d94b36f8","queue":"q","reason":"store_away","status":503,"took_ms":0}
"#;

/// An executor was lost, its leases had to lapse, and the job was late.
const LATE: &str = r#"
{"event":"started","daemon":"b","life":5000,"uptime_ms":0}
{"event":"started","daemon":"a","life":1000,"uptime_ms":0}
{"event":"job_ended","daemon":"b","uptime_ms":9000,"job":"5c0e7a21d94b36f8","state":"succeeded","after_ms":9900,"objective_ms":3000}
{"event":"accepted","daemon":"a","uptime_ms":4100,"job":"5c0e7a21d94b36f8","queue":"q","took_ms":9}
{"event":"placed","daemon":"b","uptime_ms":120,"job":"5c0e7a21d94b36f8","step":0,"tasks":6,"chance":"in_time","slack_ms":900,"left_out":7}
{"event":"run_lost","daemon":"b","uptime_ms":6000,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","why":"lease_lapsed"}
{"event":"placed","daemon":"b","uptime_ms":6010,"job":"other","step":0,"tasks":1,"chance":"late","slack_ms":1}
"#;

/// A takeover found a task on an executor that failed it, and its attempts were used up.
const FAILED: &str = r#"
{"event":"accepted","daemon":"a","uptime_ms":100,"job":"5c0e7a21d94b36f8","queue":"q","took_ms":9}
{"event":"run_failed","daemon":"a","uptime_ms":900,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":1,"executor":"e7","failures":1,"attempts":2}
{"event":"takeover","daemon":"a","uptime_ms":1900,"epoch":2,"earlier":"b","jobs":9,"inherited":4,"took_ms":30}
{"event":"run_failed","daemon":"a","uptime_ms":2900,"job":"5c0e7a21d94b36f8","step":0,"index":2,"run":2,"executor":"e7","failures":2,"attempts":2}
{"event":"job_ended","daemon":"a","uptime_ms":2910,"job":"5c0e7a21d94b36f8","state":"failed","after_ms":2800,"objective_ms":3000}
"#;

#[test]
fn a_refused_job_is_traced_to_the_store() {
    let ran = explain(ID, REFUSED);
    assert_eq!(ran.exit, Exit::Done);
    assert!(ran.stdout.contains("reason=outcome_unknown status=504"));
    assert!(ran.stdout.contains("1100 ms  a  refused"));
    assert!(ran.stdout.contains("reason=store_away"));
}

#[test]
fn a_late_job_is_traced_to_a_lost_executor_over_two_hosts_in_one_order() {
    let ran = explain(ID, LATE);
    let events: Vec<&str> = ran
        .stdout
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert_eq!(events, ["accepted", "placed", "run_lost", "job_ended"]);
    assert!(ran.stdout.contains("executor=e7"));
    assert!(ran.stdout.contains("why=lease_lapsed"));
    assert!(ran.stderr.contains("7 lines of placed were left out"));
}

#[test]
fn a_failed_job_is_traced_to_one_executor_across_a_takeover() {
    let ran = explain(ID, FAILED);
    assert!(ran.stdout.contains("takeover"));
    assert_eq!(ran.stdout.matches("executor=e7").count(), 2);
    assert!(ran.stdout.contains("state=failed"));
    assert!(ran.stderr.contains("the start of a is missing"));
}

#[test]
fn a_job_that_no_line_names_is_said_to_be_missing() {
    let ran = explain("0000000000000000", LATE);
    assert_eq!(ran.exit, Exit::NotDone);
    assert!(ran.stderr.contains("no line names it"));
}
