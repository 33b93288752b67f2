"""Stand-ins for the cases of the second review: the platform's store, model servers, plain servers, a TCP relay, clients,
and the start of gateways with the command of the deploy file. Python 3.11, no dependencies, loopback only."""

import base64
import json
import os
import random
import select
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "127.0.0.1"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(512)
    return listener


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        with tcp, udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
                return port
            except OSError:
                continue


class Spans:
    """A disruption that lasts for `length_s`, again and again with a pause in between."""

    def __init__(self, length_s, pause_s, is_wanted):
        self.length_s, self.pause_s, self.is_wanted, self.since = length_s, pause_s, is_wanted, None

    def begin(self):
        self.since = now()

    def is_on(self):
        is_begun = self.is_wanted and self.since is not None
        return is_begun and (now() - self.since) % (self.length_s + self.pause_s) < self.length_s


class Record:
    """What was sent, answered and run: one line for each event, written to a file at the end."""

    def __init__(self, path):
        self.path, self.lines, self.lock = path, [], threading.Lock()

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.lines.append((now(), f"{what} {text}".rstrip()))

    def write(self):
        with self.lock, open(self.path, "w") as out:
            for at, text in sorted(self.lines):
                out.write(f"{at:9.4f} {text}\n")


class Closed(Exception):
    """The peer has closed its connection."""


class Head:
    """Start line and fields of a message."""

    def __init__(self, start, fields):
        self.start, self.fields = start, fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


class Wire:
    """A connection with a read buffer."""

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer = sock, b""

    def fill(self):
        try:
            part = self.sock.recv(65536)
        except OSError as error:
            if isinstance(error, socket.timeout):
                raise
            raise Closed() from error
        if not part:
            raise Closed()
        self.buffer += part

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        start, *lines = text.decode("latin-1").split("\r\n")
        return Head(start, [tuple(part.strip() for part in line.split(":", 1)) for line in lines])

    def take(self, length):
        while len(self.buffer) < length:
            self.fill()
        part, self.buffer = self.buffer[:length], self.buffer[length:]
        return part

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def chunks(self):
        """Yields the chunks of a body, up to and without the last one."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            yield self.take(size)
            self.line()

    def body(self, head):
        """Reads the body of a request."""
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            return b"".join(self.chunks())
        return self.take(int(head.get("Content-Length") or 0))

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise Closed() from error

    def reply(self, status, fields=(), body=b""):
        lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in fields]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.send("\r\n".join(lines).encode("latin-1") + body)

    def is_closed(self):
        """Whether the peer has closed the connection, without waiting."""
        try:
            is_readable = bool(select.select([self.sock], [], [], 0)[0])
            return is_readable and self.sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def close(self, reset=False):
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            else:
                self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(self):
        self.socket = listen()
        self.port = self.socket.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.wires, self.is_open, self.guard = set(), True, threading.Lock()

    def start(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def accept(self):
        while self.is_open:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            self.admit(sock)

    def admit(self, sock):
        wire = Wire(sock)
        with self.guard:
            if not self.is_open:
                wire.close(reset=True)
                return
            self.wires.add(wire)
        threading.Thread(target=self.run, args=(wire,), daemon=True).start()

    def run(self, wire):
        try:
            self.serve(wire)
        except (Closed, OSError, ValueError):
            pass
        finally:
            with self.guard:
                self.wires.discard(wire)
            wire.close()

    def serve(self, wire):
        while True:
            head = wire.head()
            self.handle(wire, head, wire.body(head))

    def close(self, reset=False):
        """Ends as a process does: nothing listens any more, and all connections are closed."""
        with self.guard:
            self.is_open = False
            wires = list(self.wires)
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        for wire in wires:
            wire.close(reset)


class Store(Listener):
    """The platform's store, with the calls for rows."""

    ANSWER_S = 0.004

    def __init__(self):
        super().__init__()
        self.version, self.rows, self.changed = 1, {}, threading.Condition()

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a server does. Returns when it was acknowledged."""
        with self.changed:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[table, part, key] = (text, self.version)
            self.changed.notify_all()
        return now()

    def remove(self, table, key, part=""):
        with self.changed:
            if (table, part, key) in self.rows:
                self.version += 1
                self.rows[table, part, key] = (None, self.version)
                self.changed.notify_all()
        return now()

    def row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "value": value or "", "row_version": version}
        return row if value is not None else {**row, "removed": True}

    def answer(self, wire, rows, **fields):
        body = {"rows": rows, **fields, "row_version": self.version, "now_ms": int(now() * 1000) + 50_000}
        wire.reply(200, [("Content-Type", "application/json")], json.dumps(body).encode())

    def handle(self, wire, head, body):
        method, target, _ = head.start.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        time.sleep(self.ANSWER_S)
        if (method, path) == ("GET", "/v1/rows-get"):
            with self.changed:
                first = query.get("from", "")
                names = sorted(
                    name for name, (value, _) in self.rows.items()
                    if name[:2] == (query["table"], query.get("part", "")) and name[2] >= first and value is not None)
                limit = int(query.get("limit") or 500)
                self.answer(wire, [self.row(name) for name in names[:limit]], truncated=len(names) > limit)
        elif (method, path) == ("GET", "/v1/rows-feed"):
            self.feed(wire, query["table"], int(query["after"]), min(int(query.get("wait_ms") or 0), 30_000) / 1000)
        elif (method, path) == ("POST", "/v1/rows-tx"):
            self.transact(wire, json.loads(body))
        else:
            wire.reply(404)

    def feed(self, wire, table, after, wait_s):
        ends = now() + wait_s
        with self.changed:
            while True:
                names = [name for name, (_, version) in self.rows.items() if name[0] == table and version > after]
                left = ends - now()
                if names or left <= 0:
                    names.sort(key=lambda name: self.rows[name][1])
                    return self.answer(wire, [self.row(name) for name in names])
                self.changed.wait(left)

    def transact(self, wire, call):
        with self.changed:
            def version(entry):
                value, version = self.rows.get((entry["table"], entry.get("part", ""), entry["key"]), (None, 0))
                return version if value is not None else 0

            if any(version(entry) != entry["row_version"] for entry in call.get("expected_revision", [])):
                return wire.reply(412, body=b'{"rows":[]}')
            self.version += 1
            for entry in call.get("puts", []):
                name = (entry["table"], entry.get("part", ""), entry["key"])
                self.rows[name] = (entry["value"], self.version)
            for entry in call.get("remove", []):
                self.rows[entry["table"], entry.get("part", ""), entry["key"]] = (None, self.version)
            self.changed.notify_all()
            body = {"row_version": self.version, "now_ms": int(now() * 1000) + 50_000}
        wire.reply(200, [("Content-Type", "application/json")], json.dumps(body).encode())


class Server(Listener):
    """A server of a service. Its row in the store says where it is and in which state."""

    def __init__(self, store, record, service, zone="zone-a", stage=None, work_s=0.015, slots=6):
        super().__init__()
        self.store, self.record, self.service, self.zone, self.stage = store, record, service, zone, stage
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.work_s, self.slots, self.seq = work_s, slots, 0
        self.places = threading.Semaphore(slots)
        self.state, self.leaving_at = "ready", None
        # Requests of clients by arrival: (time, id, kind).
        self.arrivals, self.runs = [], []

    def register(self):
        self.start()
        self.write()
        return self

    def write(self):
        self.seq += 1
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
               "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}
        if self.stage:
            row.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return self.store.put("servers", self.id, row)

    def drain(self):
        """Reports that the server leaves; returns when the store acknowledged that."""
        self.state = "draining"
        self.leaving_at = self.write()
        self.record.add("draining", server=self.id, stage=self.stage or "plain")
        return self.leaving_at

    def leave(self):
        """Exits: the connections are closed and the row is removed."""
        self.close()
        self.store.remove("servers", self.id)
        self.record.add("exit", server=self.id)

    def signed(self, head, extra=()):
        return [("Tarragonhill-Request-Id", head.get("Tarragonhill-Request-Id")),
                ("Tarragonhill-Server-Signature", f"sig.{self.id}"), *extra]

    def refuse(self, wire, head, status):
        fields = [("Tarragonhill-Not-Executed", "1"), ("Tarragonhill-Instance-Id", self.id)]
        if head.get("Tarragonhill-Request-Id"):
            fields.append(("Tarragonhill-Request-Id", head.get("Tarragonhill-Request-Id")))
        wire.reply(status, fields)

    def handle(self, wire, head, body):
        method, target, _ = head.start.split(" ")
        expected = head.get("Tarragonhill-Expected-Instance")
        if expected and expected != self.id:
            return wire.reply(421, [("Tarragonhill-Instance-Id", self.id)])
        if target.startswith("/v1/") or target == "/health":
            return self.call(wire, method, target, body)
        request = head.get("Tarragonhill-Request-Id")
        if not request:
            return wire.reply(400, [("Tarragonhill-Not-Executed", "1")])
        kind = "prefill" if head.get("Tarragonhill-Serving-Stage") == "prefill" else "run"
        self.arrivals.append((now(), request, kind))
        self.record.add("reaches", request=request, server=self.id, kind=kind, state=self.state)
        self.run_request(wire, head, request, kind)

    def call(self, wire, method, target, body):
        if target == "/health":
            return wire.reply(200 if self.state == "ready" else 503, [("Tarragonhill-Instance-Id", self.id)])
        wire.reply(404)

    def run_request(self, wire, head, request, kind):
        if not self.places.acquire(timeout=0.5):
            return self.refuse(wire, head, 503)
        try:
            self.runs.append((now(), request))
            self.record.add("runs", request=request, server=self.id)
            time.sleep(self.work_s)
            if self.is_open:
                wire.reply(200, self.signed(head, [("Content-Type", "text/plain")]), f"done {request}".encode())
                self.record.add("ends", request=request, server=self.id)
        finally:
            self.places.release()


class Engine(Server):
    """A model server of one stage."""

    TOKENS_PER_S = 55_555.0
    HANDLE_TTL_S = 0.5
    FIRST_S = 0.08
    HANDLES, GUARD = {}, threading.Lock()

    def __init__(self, store, record, service, stage, memory=59_631, **options):
        super().__init__(store, record, service, stage=stage, slots=48, **options)
        self.memory, self.held, self.slowness = memory, {}, 1.0
        self.reader = threading.Lock()
        self.on_hold = None

    def call(self, wire, method, target, body):
        json_field = [("Content-Type", "application/json")]
        if (method, target) == ("GET", "/v1/report"):
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": self.memory, "kv_handles": 0,
                      "born": self.born}
            return wire.reply(200, json_field, json.dumps(report).encode())
        if (method, target) == ("POST", "/v1/hold-take"):
            call = json.loads(body)
            with self.GUARD:
                self.held = {name: hold for name, hold in self.held.items() if hold[1] > now()}
                if sum(tokens for tokens, _ in self.held.values()) + call["tokens"] > self.memory:
                    return wire.reply(503)
                name = f"h-{random.getrandbits(48):012x}"
                self.held[name] = (call["tokens"], now() + min(call["ttl_ms"], 2000) / 1000)
            wire.reply(200, json_field, json.dumps({"hold": name}).encode())
            if self.on_hold:
                self.on_hold(self)
            return None
        if method == "DELETE":
            name = target.rsplit("/", 1)[1]
            with self.GUARD:
                self.held.pop(name, None)
                self.HANDLES.pop((self.address, name), None)
            return wire.reply(200)
        return super().call(wire, method, target, body)

    def run_request(self, wire, head, request, kind):
        prompt, output = (int(part) for part in head.get("Tarragonhill-Token-Counts").split(","))
        if (kind == "prefill") != (self.stage == "prefill"):
            return self.refuse(wire, head, 421)
        if kind == "prefill":
            # Prompts are read one after the other.
            with self.reader:
                if wire.is_closed():
                    return None
                self.read(prompt, 1.0)
            handle = f"{random.getrandbits(48):012x}"
            with self.GUARD:
                self.HANDLES[self.address, handle] = now() + self.HANDLE_TTL_S
            body = json.dumps({"kv_handle": handle, "tokens": prompt, "version": 1}).encode()
            return wire.reply(200, self.signed(head, [("Content-Type", "application/json")]), body)
        source = head.get("Tarragonhill-Kv-Source")
        if source:
            address, _, handle = source.partition("/")
            with self.GUARD:
                until = self.HANDLES.pop((address, handle), 0)
            if until < now():
                return self.refuse(wire, head, 503)
        else:
            self.read(prompt, 2.0)
        with self.GUARD:
            self.held.pop(head.get("Tarragonhill-Kv-Hold"), None)
        self.runs.append((now(), request))
        self.record.add("runs", request=request, server=self.id)
        self.stream(wire, head, request, output)

    def read(self, prompt, factor):
        time.sleep(prompt / self.TOKENS_PER_S * factor * self.slowness)

    def stream(self, wire, head, request, output):
        time.sleep(self.FIRST_S)
        fields = self.signed(head, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields] + ["", ""]
        wire.send("\r\n".join(lines).encode())
        for piece in range(1, output + 1):
            event = f"id: {piece}\ndata: {request} {piece} of {output}\n\n".encode()
            wire.send(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.work_s)
        wire.send(b"0\r\n\r\n")
        self.record.add("ends", request=request, server=self.id)


class Relay(Listener):
    """Passes connections on. `silence` makes the open ones go silent for good, without a reset; new ones work."""

    def __init__(self, target):
        super().__init__()
        host, port = target.split(":")
        self.target, self.epoch = (host, int(port)), 0

    def silence(self):
        self.epoch += 1

    def serve(self, wire):
        epoch, there = self.epoch, Wire(socket.create_connection(self.target))

        def pump(source, sink):
            try:
                while True:
                    data = source.sock.recv(65536)
                    if self.epoch != epoch:
                        # Nothing is passed on any more, not even the end.
                        continue_silent(source)
                        return
                    if not data:
                        break
                    sink.sock.sendall(data)
            except OSError:
                pass
            if self.epoch == epoch:
                sink.close()

        def continue_silent(source):
            try:
                while source.sock.recv(65536):
                    pass
            except OSError:
                pass

        back = threading.Thread(target=pump, args=(there, wire), daemon=True)
        back.start()
        pump(wire, there)
        back.join()


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    BOUNDS = {"limits.cpu_share": "0.19", "bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2",
              "bounds.retry_budget_slack": "52", "bounds.budget_window_s": "10", "bounds.cold_overage": "",
              "bounds.cold_slack": "", "limits.memory_mb": "110", "limits.file_descriptors": "4100"}

    def __init__(self, name, table, folder, zone="zone-a"):
        self.name = name
        self.address, self.ready = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        values = {**self.BOUNDS, "node": name, "zone": zone, "listen.front": self.address, "listen.ready": self.ready,
                  "ip": HOST, "internal_ports.0": str(free_port()), "platform.address": table}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"]
        for key, value in values.items():
            command = command.replace("{{" + key + "}}", value)
        assert "{{" not in command, command
        self.log_path = os.path.join(folder, name + ".log")
        self.command = shlex.split(command)
        self.process = None

    def start(self):
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self

    def is_ready(self):
        try:
            return Call(self.ready, "GET", "/v1/readiness", [("Host", self.ready)], timeout=1).status == 200
        except (OSError, Closed, ValueError):
            return False

    def wait_ready(self, limit=15):
        ends = now() + limit
        while not self.is_ready():
            if now() > ends or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            time.sleep(0.05)
        return self

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Call:
    """One request and its answer on a connection of its own, read to its end."""

    def __init__(self, address, method, target, fields, body=b"", timeout=15.0):
        host, port = address.split(":")
        self.began = now()
        self.wire = Wire(socket.create_connection((host, int(port)), timeout=min(timeout, 5)))
        self.wire.sock.settimeout(timeout)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.events, self.body, self.is_whole = 0, b"", False
        try:
            self.wire.send("\r\n".join([*lines, "", ""]).encode() + body)
            self.head = self.wire.head()
            self.status = int(self.head.start.split(" ")[1])
            self.read()
        finally:
            self.ended = now()
            self.wire.close()

    def read(self):
        try:
            if (self.head.get("Transfer-Encoding") or "").lower() == "chunked":
                for part in self.wire.chunks():
                    self.body += part
                self.is_whole = True
            elif self.head.get("Content-Length") is not None:
                self.body = self.wire.take(int(self.head.get("Content-Length")))
                self.is_whole = True
            else:
                while True:
                    self.wire.fill()
        except (Closed, socket.timeout):
            self.body += self.wire.buffer if not self.is_whole else b""
        self.events = self.body.count(b"\n\n")


def request_id():
    return f"{random.getrandbits(64):016x}"


def routes_config(version, routes, services, tenants):
    """A configuration as the operator writes it."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}, "tenants": tenants}


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts=1, resume=False):
    entry = {"name": name, "host": "site.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
             "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
             "allow_anonymous": False, "sticky_sessions": kind == "streaming", "allow_resume": resume}
    return {**entry, "target_gap_ms": 300} if kind == "streaming" else entry


def engine_service(name):
    return {"name": name, "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": False,
            "engine": {"slots": 48, "kv_cache_tokens": 59631, "kv_token_bytes": 131072, "link_mbps": 1500000.0,
                       "moves": True, "backups": True, "stride": 11, "most": 12, "handle_ttl_s": 0.5, "switch_s": 6.0,
                       "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": False}


def tenant(name, key):
    return {"name": name, "api_keys": [key], "priority": 1, "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": 400000, "burst": 400000}


def fields(request, key, deadline_ms, tokens=None):
    """The fields of a client's request."""
    all_fields = [("Host", "site.example"), ("Tarragonhill-Request-Id", request),
                  ("Tarragonhill-Deadline-Ms", deadline_ms), ("Authorization", f"Bearer {key}")]
    if tokens:
        prompt, output = tokens
        all_fields += [("Tarragonhill-Model", "m"), ("Tarragonhill-Token-Counts", f"{prompt},{output}"),
                       ("Tarragonhill-Prompt-Prefix", f"5c1e07a2:200,{request[:8]}:{prompt - 200}")]
    return all_fields


def late_arrivals(servers, drain_s=2.0, since=0.0, until=1e9):
    """Requests that reached a server more than `drain_s` after the store acknowledged that it is leaving."""
    found = []
    for server in servers:
        if server.leaving_at is not None:
            found += [(at, at - server.leaving_at, request, kind, server) for at, request, kind in server.arrivals
                      if at > server.leaving_at + drain_s and since < at < until]
    return sorted(found, key=lambda item: item[0])


def run_case(folder, case):
    """Runs `case(record, temporary folder, whether there is trouble)`, which returns whether the rule held, and exits."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, gateways = 2, []

    def end(*_):
        for gateway in gateways:
            gateway.stop()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = 0 if case(record, temporary, trouble, gateways) else 1
        except Exception as error:  # The case could not run.
            record.add("error", reason=repr(error))
            print("could not run:", repr(error), file=sys.stderr)
        finally:
            for gateway in gateways:
                gateway.stop()
            logs = os.environ.get("KEEP_LOGS")
            if logs:
                subprocess.run(["cp", "-r", temporary + "/.", logs], check=False)
            record.write()
    sys.stdout.flush()
    os._exit(code)
