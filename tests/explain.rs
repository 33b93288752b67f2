//! Exit status and output of `tarragonhill explain`.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    process::Command,
    thread,
};

use serde_json::{Value, json};

/// Runs the command; returns its exit status and what it wrote to standard output and standard error.
fn explain(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonhill"));
    let output = command.arg("explain").args(arguments).env_clear().output().expect("the command runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Starts a gateway that gives one answer; returns its address.
fn answer(status: u16, body: &Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let body = body.to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]);
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    });
    address
}

/// Guards against bad input that looks like a gateway that does not answer.
#[test]
fn bad_input_gets_one_line_and_status_2() {
    let refusal = json!({"error": {"code": "bad_request", "message": "prompt: \"x\" is not a number"}});
    let unknown = json!({"error": {"code": "not_found", "message": "no customer nobody"}});
    let (refusing, not_finding) = (answer(400, &refusal), answer(404, &unknown));
    for (arguments, named) in [
        (&["--gateway", "nowhere", "--route", "x"][..], "nowhere"),
        (&["--route", "x"], "gateway"),
        (&["--gateway", "127.0.0.1:1", "--colour", "red"], "colour"),
        (&["--gateway", &refusing, "--route", "x", "--prompt", "x"], "prompt"),
        (&["--gateway", &not_finding, "--route", "x", "--customer", "nobody"], "nobody"),
    ] {
        let (status, _, message) = explain(arguments);
        assert_eq!((status, message.trim().lines().count()), (Some(2), 1), "{message}");
        assert!(message.contains(named), "{message}");
    }
}

#[test]
fn a_gateway_that_does_not_answer_gives_status_1() {
    let unused =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("an address");
    let stopping = json!({"error": {"code": "shutting_down", "message": "the gateway is shutting down"}});
    for gateway in [unused.to_string(), answer(503, &stopping)] {
        let (status, _, message) = explain(&["--gateway", &gateway, "--route", "x"]);
        assert_eq!((status, message.trim().lines().count()), (Some(1), 1), "{message}");
    }
}

#[test]
fn an_explanation_names_the_place_and_why_others_were_left_out() {
    let endpoint = |id: &str, excluded: Value| {
        json!({
            "endpoint": id, "stage": "decode", "zone": "zone-a", "is_local": true, "version": "v1", "excluded": excluded,
            "running": 3, "memory": 0, "prefill_tokens": 0, "failure_ratio": 0.0, "free_memory": 4_000,
            "prefill_ms": null, "response_ms": null,
        })
    };
    let explanation = json!({
        "version": 4, "route": "stream", "customer": "faculty", "priority": 1, "charge": 300, "tokens_left": 20,
        "over_rate": {"refused": {"code": "over_rate", "message": "too few", "retry_after_ms": 250}},
        "targets": [{
            "service": "models", "weight": 1, "outcome": {"placed": {"endpoint": "d-1", "prefill": "p-1"}},
            "endpoints": [endpoint("d-1", Value::Null), endpoint("d-2", "draining".into())],
        }],
    });
    let arguments = ["--gateway", &answer(200, &explanation), "--route", "stream"];
    let (status, text, _) = explain(&arguments);
    assert_eq!(status, Some(0));
    for part in
        ["20 left", "250 ms", "to d-1, prefill at p-1", "may: d-1", "4000 tokens", "not: d-2", "draining"]
    {
        assert!(text.contains(part), "{part} is missing: {text}");
    }
    let arguments = ["--gateway", &answer(200, &explanation), "--route", "stream", "--json"];
    let (status, text, _) = explain(&arguments);
    assert_eq!((status, serde_json::from_str(&text).ok()), (Some(0), Some(explanation)));
}
