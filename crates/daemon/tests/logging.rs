//! Logs of a daemon whose standard output nobody reads.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Requests that are refused, with a line each: more than the queue of lines and the pipe hold.
const REQUESTS: usize = 4_000;
/// How often a test looks whether something has come about.
const POLL: Duration = Duration::from_millis(10);
/// Longest wait for something to come about.
const PATIENCE: Duration = Duration::from_secs(30);

/// A daemon that is ended with the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address of the loopback range that is free and, by the process's number, no other test's.
fn free_address() -> SocketAddr {
    let high = u8::try_from(std::process::id() % 200).expect("small") + 50;
    let listener = TcpListener::bind((std::net::Ipv4Addr::new(127, 99, high, 1), 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

fn start(listen: SocketAddr, admin: SocketAddr) -> Daemon {
    let peer = free_address();
    // Nobody listens there: the daemon stays without a configuration and refuses every request.
    let table = free_address();
    let child = Command::new(env!("CARGO_BIN_EXE_tarragonhilld"))
        .args(["gateway", "--name", "entry-1", "--zone", "zone-a"])
        .args(["--listen", &listen.to_string(), "--admin", &admin.to_string()])
        .args(["--peer", &peer.to_string(), "--table", &table.to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    Daemon(child)
}

fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "not seen: {what}");
        thread::sleep(POLL);
    }
}

/// Asks once and gives the whole answer; the connection ends with it.
fn ask(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn dropped(admin: SocketAddr) -> Option<u64> {
    let metrics = ask(admin, "/metrics")?;
    metrics.lines().find_map(|line| line.strip_prefix("log_lines_dropped ")?.parse().ok())
}

/// The collector of an entry's logs hangs, and its pipe fills. If a line that is logged waited for it,
/// requests would wait too, and the process could not stop when it is told to.
#[test]
fn a_daemon_whose_output_nobody_reads_serves_and_stops() {
    let (listen, admin) = (free_address(), free_address());
    let mut daemon = start(listen, admin);
    eventually("it answers", || ask(listen, "/x").filter(|answer| answer.starts_with("HTTP/1.1 503")));
    for _ in 0..REQUESTS {
        let answer = ask(listen, "/x").expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    eventually("lines were dropped and counted", || dropped(admin).filter(|lines| *lines > 0));
    let told = Command::new("sh").args(["-c", &format!("kill -TERM {}", daemon.0.id())]).status();
    assert!(told.expect("a shell").success());
    let status = eventually("it has stopped", || daemon.0.try_wait().expect("a child"));
    assert!(status.success(), "{status}");
}
