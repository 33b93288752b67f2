//! Logging of a daemon whose standard output is not read.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Number of refused requests. Each writes a log line, more than the queue and the pipe can hold.
const REQUESTS: usize = 4_000;
/// Interval at which `eventually` checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of `eventually`.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon that is killed on drop.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // The daemon may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a free loopback address. The process ID is part of it, to avoid conflicts with other tests.
fn free_address() -> SocketAddr {
    let high = u8::try_from(std::process::id() % 200).expect("small") + 50;
    let listener = TcpListener::bind((std::net::Ipv4Addr::new(127, 99, high, 1), 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

fn start(listen: SocketAddr, admin: SocketAddr) -> Daemon {
    let peer = free_address();
    // Nothing listens on this address, so the daemon gets no configuration and refuses every request.
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

fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(started_at.elapsed() < TIMEOUT, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request on a new connection and returns the whole response.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

fn dropped_lines(admin: SocketAddr) -> Option<u64> {
    let metrics = get(admin, "/metrics")?;
    metrics.lines().find_map(|line| line.strip_prefix("log_lines_dropped ")?.parse().ok())
}

/// A log collector that hangs must not block requests or the shutdown on SIGTERM.
#[test]
fn daemon_serves_and_stops_while_its_output_is_not_read() {
    let (listen, admin) = (free_address(), free_address());
    let mut daemon = start(listen, admin);
    eventually("it responds", || get(listen, "/x").filter(|text| text.starts_with("HTTP/1.1 503")));
    for _ in 0..REQUESTS {
        let response = get(listen, "/x").expect("a response");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    eventually("lines were dropped and counted", || dropped_lines(admin).filter(|lines| *lines > 0));
    let kill = Command::new("sh").args(["-c", &format!("kill -TERM {}", daemon.0.id())]).status();
    assert!(kill.expect("a shell").success());
    let status = eventually("the daemon has stopped", || daemon.0.try_wait().expect("a child"));
    assert!(status.success(), "{status}");
}
