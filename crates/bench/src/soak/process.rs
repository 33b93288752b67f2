//! Child processes that are disturbed by signals.

use std::{
    ffi::OsStr,
    fs::File,
    io::{self, BufRead as _, BufReader, Write as _},
    path::Path,
    process::{Child, ChildStdin, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

use rustix::process::{Pid, Signal, kill_process};

use crate::sim::lock;

/// A child process, which is killed when dropped.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program whose output lines are kept in memory.
    pub fn start<A: AsRef<OsStr>>(program: &Path, arguments: &[A]) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let sink = lines.clone();
        if let Some(output) = output {
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    lock(&sink).push(line);
                }
            });
        }
        Ok(Self { child, input, lines })
    }

    /// Starts a program whose output is appended to a file.
    pub fn start_with_log<A: AsRef<OsStr>>(program: &Path, arguments: &[A], log: File) -> io::Result<Self> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self { child, input: None, lines: Arc::default() })
    }

    /// Returns the lines printed since the last call.
    pub fn take_lines(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.lines))
    }

    /// Writes a line to the process's standard input.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        match &mut self.input {
            Some(input) => writeln!(input, "{line}"),
            None => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// Stops the process until it is resumed.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process continue.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        // The id stays reserved for the child until it has been waited for.
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
