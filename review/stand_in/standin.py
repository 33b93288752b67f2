"""Stand-ins of the users' platform: store, servers, clients and the start of gateways, on loopback addresses.

They follow the users' pages. Faults are off unless a case switches them on.
"""

import asyncio
import base64
import json
import os
import random
import re
import secrets
import signal
import socket
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REQUEST_ID = "tarragonhill-request-id"
NOT_EXECUTED = ("Tarragonhill-Not-Executed", "1")


class Record:
    """Lines of record.txt: milliseconds since the start, then what was sent, answered or run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, *words):
        at = int((time.monotonic() - self.began) * 1000)
        self.file.write(f"{at:>7} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Message:
    """A request or response that has been read whole, or the head of one."""

    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    """Reads the head of a message; None if the connection has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return Message(lines[0].split(" ", 2), fields)


async def read_request(reader):
    head = await read_head(reader)
    if head is not None:
        length = int(head.get("content-length", "0"))
        try:
            head.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return head


def encode(status, fields=(), body=b"", framed=True):
    reason = {200: "OK", 202: "Accepted", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def as_json(status, value, fields=()):
    return encode(status, [("Content-Type", "application/json"), *fields], json.dumps(value).encode())


class Store:
    """The platform's store: rows, conditional writes and feeds."""

    def __init__(self, host):
        self.host, self.rows, self.version = host, {}, 0
        self.changed = asyncio.Condition()
        self.began = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def apply(self, puts, removed=()):
        async with self.changed:
            self.version += 1
            for table, key, value in puts:
                self.rows[table, key] = (value, self.version)
            for table, key in removed:
                self.rows[table, key] = (None, self.version)
            self.changed.notify_all()

    async def put(self, table, key, value):
        await self.apply([(table, key, base64.b64encode(json.dumps(value).encode()).decode())])

    async def remove(self, table, key):
        await self.apply([], [(table, key)])

    def select(self, table, keep):
        rows = []
        for (name, key), (value, version) in sorted(self.rows.items()):
            if name == table and keep(key, value, version):
                row = {"table": table, "part": "", "key": key, "row_version": version}
                row.update({"removed": True} if value is None else {"value": value})
                rows.append(row)
        return rows

    def answer(self, rows):
        return {"rows": rows, "truncated": False, "row_version": self.version, "now_ms": self.now_ms()}

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self.handle(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        path, _, query = request.start[1].partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&"))
        table = query.get("table")
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            first = query.get("from", "").replace("%00", "\0")
            rows = self.select(table, lambda key, value, _: value is not None and key >= first)
            return as_json(200, self.answer(rows))
        if path == "/v1/rows-feed":
            after, wait = int(query["after"]), int(query["wait_ms"]) / 1000
            ends = time.monotonic() + wait
            while True:
                rows = self.select(table, lambda _key, _value, version: version > after)
                left = ends - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: row["row_version"])
                    return as_json(200, self.answer(rows))
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except TimeoutError:
                        pass
        if path == "/v1/rows-tx":
            call = json.loads(request.body)
            for row in call.get("expected_revision", []):
                value, version = self.rows.get((row["table"], row["key"]), (None, 0))
                if (version if value is not None else 0) != row["row_version"]:
                    return as_json(412, {"rows": []})
            puts = [(row["table"], row["key"], row["value"]) for row in call.get("puts", [])]
            await self.apply(puts, [(row["table"], row["key"]) for row in call.get("remove", [])])
            return as_json(200, {"row_version": self.version, "now_ms": self.now_ms()})
        return encode(404)


class Server:
    """A server of a service: serves one request at a time on a connection."""

    handles = {}  # (address, handle) of prefilled prompts that no server has taken yet

    def __init__(self, store, record, host, service, zone, slots):
        self.store, self.record, self.host = store, record, host
        self.service, self.zone, self.slots = service, zone, slots
        self.new_incarnation()
        self.doubled = 0.0  # share of the answers that are sent twice, the second one late
        self.answers = self.doubles = 0
        self.ran = []  # ids of requests that began to run
        self.dice = random.Random(0)

    def new_incarnation(self):
        self.id = f"i-{secrets.token_hex(4)}"
        self.seq, self.state, self.born = 0, "ready", int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        await self.register()
        return self

    def row(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq,
                "born": self.born}

    async def register(self):
        # Heartbeats are left out: an entry changes only when more than `seq` changes.
        self.seq += 1
        await self.store.put("servers", self.id, self.row())

    async def serve(self, reader, writer):
        extra = b""
        try:
            while (request := await read_request(reader)) is not None:
                if extra:
                    # A second answer to the request before, late: where the next answer is expected.
                    self.record.write("extra", self.id, extra.split(b"\r\n")[0].decode(), "before",
                                      request.start[1], request.get(REQUEST_ID, "-"))
                    writer.write(extra)
                    await writer.drain()
                answer = await self.handle(request, reader, writer)
                if answer is None:
                    break
                self.answers += 1
                extra = b""
                if self.doubled and self.dice.random() < self.doubled:
                    extra, self.doubles = answer, self.doubles + 1
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def write(self, writer, answer):
        writer.write(answer)
        await writer.drain()
        return answer

    def begin(self, request_id):
        self.ran.append(request_id)
        self.record.write("run", self.id, request_id)

    def identity(self, request):
        request_id = request.get(REQUEST_ID)
        return [("Tarragonhill-Request-Id", request_id)] if request_id else []

    async def refuse(self, request, writer):
        return await self.write(writer, encode(503, [*self.identity(request), NOT_EXECUTED]))

    async def handle(self, request, reader, writer):
        expected = request.get("tarragonhill-expected-instance")
        if expected is not None and expected != self.id:
            fields = [*self.identity(request), ("Tarragonhill-Instance-Id", self.id), NOT_EXECUTED]
            return await self.write(writer, encode(421, fields))
        return await self.respond(request, reader, writer)


class Engine(Server):
    """A model server in the stage `prefill` or `decode`."""

    def __init__(self, store, record, host, service, zone, stage, memory, slots=48, tokens_per_ms=55.6,
                 token_s=0.00329, stride=11):
        super().__init__(store, record, host, service, zone, slots)
        self.stage, self.memory, self.orders = stage, memory, 0
        self.tokens_per_ms, self.token_s, self.stride = tokens_per_ms, token_s, stride
        self.holds, self.runs, self.busy = {}, {}, False
        self.reading = asyncio.Lock()

    def row(self):
        return {**super().row(), "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}

    def used(self):
        now = time.monotonic()
        self.holds = {name: hold for name, hold in self.holds.items() if hold[1] > now}
        return sum(hold[0] for hold in self.holds.values()) + sum(self.runs.values())

    def has_room(self, tokens):
        return self.used() + tokens <= self.memory and len(self.holds) + len(self.runs) < self.slots

    async def respond(self, request, reader, writer):
        method, path = request.start[0], request.start[1]
        if path == "/v1/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": self.busy, "seq": self.orders, "waiting": 0, "running": len(self.runs),
                      "kv_used": self.used(), "kv_total": self.memory, "kv_handles": 0, "born": self.born}
            return await self.write(writer, as_json(200, report))
        if path == "/v1/hold-take":
            call = json.loads(request.body)
            if not self.has_room(call["tokens"]):
                self.record.write("hold", self.id, "refused")
                return await self.write(writer, encode(503, [NOT_EXECUTED]))
            name = secrets.token_hex(6)
            self.holds[name] = (call["tokens"], time.monotonic() + call["ttl_ms"] / 1000)
            self.record.write("hold", self.id, "granted", name)
            return await self.write(writer, as_json(200, {"hold": name}))
        if method == "DELETE":
            name = path.rsplit("/", 1)[1]
            self.holds.pop(name, None)
            self.handles.pop((self.address, name), None)
            return await self.write(writer, as_json(200, {}))
        if path == "/v1/order":
            return await self.write(writer, as_json(409, {}))
        if path == "/health":
            return await self.write(writer, encode(200, [("Tarragonhill-Instance-Id", self.id)]))
        prompt, output = (int(count) for count in request.get("tarragonhill-token-counts").split(","))
        if request.get("tarragonhill-serving-stage") == "prefill":
            if self.stage != "prefill":
                return await self.write(writer, encode(421, self.identity(request)))
            return await self.prefill(request, writer, prompt)
        if self.stage != "decode":
            return await self.write(writer, encode(421, self.identity(request)))
        return await self.decode(request, reader, writer, prompt, output)

    async def prefill(self, request, writer, prompt):
        self.record.write("prefill", self.id, request.get(REQUEST_ID))
        async with self.reading:
            await asyncio.sleep(prompt / self.tokens_per_ms / 1000)
        handle = secrets.token_hex(6)
        self.handles[self.address, handle] = time.monotonic() + 0.5
        value = {"kv_handle": handle, "tokens": prompt, "version": 1}
        return await self.write(writer, as_json(200, value, self.identity(request)))

    async def decode(self, request, reader, writer, prompt, output):
        request_id, arrived = request.get(REQUEST_ID), time.monotonic()
        self.record.write("arrives", self.id, request_id)
        source = request.get("tarragonhill-kv-source")
        if source is not None:
            address, _, handle = source.partition("/")
            if self.handles.pop((address, handle), 0) < arrived:
                return await self.refuse(request, writer)
        hold = self.holds.pop(request.get("tarragonhill-kv-hold"), None)
        if hold is None and not self.has_room(prompt + output):
            return await self.refuse(request, writer)
        run = object()
        self.runs[run] = prompt + output
        try:
            if source is None:
                await asyncio.sleep(2 * prompt / self.tokens_per_ms / 1000)
            return await self.stream(request, reader, writer, output)
        finally:
            del self.runs[run]

    async def stream(self, request, reader, writer, output):
        request_id = request.get(REQUEST_ID)
        fields = [*self.identity(request), ("Tarragonhill-Server-Signature", f"{self.id}.{request_id}"),
                  ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        # The head goes out with the first token: until then the request may still be refused.
        answer, head = b"", encode(200, fields, framed=False)
        events = 1 + output // self.stride
        for number in range(1, events + 1):
            # The first event has the first token, later ones several.
            await asyncio.sleep(self.token_s * (1 if number == 1 else self.stride))
            if reader.at_eof() or writer.is_closing():
                self.record.write("dropped", self.id, request_id, "after", number - 1, "events")
                return None
            if number == 1:
                self.begin(request_id)
            event = f"id: {number}\ndata: {request_id} {number}/{events}\n\n".encode()
            answer += await self.write(writer, head + b"%x\r\n%s\r\n" % (len(event), event))
            head = b""
            await self.after_event(request_id, number)
        answer += await self.write(writer, b"0\r\n\r\n")
        self.record.write("done", self.id, request_id)
        return answer

    async def after_event(self, request_id, number):
        """Called after each event; cases override it."""


class Plain(Server):
    """A server of a plain service. `script` tells what it does with a request; by default it works and answers."""

    def __init__(self, store, record, host, service, zone, slots=6, work_s=0.015, script=None):
        super().__init__(store, record, host, service, zone, slots)
        self.work_s, self.script = work_s, script

    async def respond(self, request, reader, writer):
        if request.start[1] == "/health":
            return await self.write(writer, encode(200, [("Tarragonhill-Instance-Id", self.id)]))
        if self.script is not None:
            return await self.script(self, request, reader, writer)
        return await self.work(request, writer, self.work_s)

    async def work(self, request, writer, work_s):
        request_id = request.get(REQUEST_ID)
        self.begin(request_id)
        await asyncio.sleep(work_s)
        fields = [*self.identity(request), ("Tarragonhill-Server-Signature", f"{self.id}.{request_id}")]
        return await self.write(writer, encode(200, fields, b"x" * 800))


class Link:
    """A way to the store that can be cut: then bytes and new connections on it get no answer, then or later."""

    def __init__(self, store, host):
        self.store, self.host, self.is_cut, self.writers = store, host, False, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def relay(self, reader, writer, dead):
        try:
            while data := await reader.read(65_536):
                if self.is_cut:
                    dead.set()
                if dead.is_set():
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        dead = asyncio.Event()
        if self.is_cut:
            dead.set()
        try:
            to_reader, to_writer = await asyncio.open_connection(self.store.host, self.store.port)
        except (ConnectionError, asyncio.CancelledError):
            return writer.close()
        self.writers.add(dead)
        try:
            await asyncio.gather(self.relay(reader, to_writer, dead), self.relay(to_reader, writer, dead))
        finally:
            self.writers.discard(dead)

    def cut(self):
        self.is_cut = True
        for dead in self.writers:
            dead.set()

    def heal(self):
        self.is_cut = False


class Gateway:
    """A process that runs the command of the deploy file on an entry host."""

    def __init__(self, store, host, name, zone, folder):
        self.host, self.name, self.zone, self.folder = host, name, zone, folder
        self.listen = f"{host}:{free_port(host)}"
        self.admin = f"{host}:{free_port(host)}"
        ports = [free_port(host)]
        self.settings = {
            "node": name, "zone": zone, "ip": host, "internal_ports": [ports[0], ports[0] + 15],
            "listen": {"front": self.listen, "ready": self.admin},
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": 110},
            "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 52, "budget_window_s": 10},
            "platform": {"address": f"{store.host}:{store.port}"},
        }

    def expand(self, match):
        value = self.settings
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return str(value)

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"]
        words = [re.sub(r"\{\{([a-z_.0-9]+)\}\}", self.expand, word) for word in command.split()]
        words[0] = os.path.join(ROOT, words[0])
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "wb")
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        return self

    async def is_ready(self):
        try:
            host, port = self.admin.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and head.start[1] == "200"
        except OSError:
            return False

    async def wait_ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} does not get ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.log.close()


class Answer:
    """What a client got: `status` is None if no head came, `is_whole` tells whether the body ended as framed."""

    def __init__(self, status=None, fields=(), body=b"", is_whole=False):
        self.status, self.fields, self.body, self.is_whole = status, fields, body, is_whole


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer()
    status, body = int(head.start[1]), b""
    try:
        if head.get("transfer-encoding", "").lower() == "chunked":
            while (size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)) > 0:
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif head.get("content-length") is not None:
            body = await reader.readexactly(int(head.get("content-length")))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, head.fields, body, False)
    return Answer(status, head.fields, body, True)


async def send(record, gateway, path, fields=(), body=b"", method="POST", deadline_ms=14_000):
    """Sends one client attempt on a new connection; returns its id and answer."""
    request_id = secrets.token_hex(8)
    host, port = gateway.listen.split(":")
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", f"Tarragonhill-Request-Id: {request_id}",
             f"Tarragonhill-Deadline-Ms: {deadline_ms}", "Authorization: Bearer key-1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in fields]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    record.write("sent", request_id, path, "to", gateway.name)
    answer = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                answer = await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        pass
    record.write("answered", request_id, answer.status, "whole" if answer.is_whole else "cut")
    return request_id, answer


def completion(prompt, output):
    """Fields of a completion with a prompt of its own."""
    part = secrets.token_hex(4)
    return [("Tarragonhill-Model", "m"), ("Tarragonhill-Token-Counts", f"{prompt},{output}"),
            ("Tarragonhill-Prompt-Prefix", f"{part}:{prompt}")]


def configuration(routes, engine=None):
    """A configuration with the services `models` and `desk` and one tenant. `engine` replaces figures of the engines."""
    common = {"host": "a.example", "target_latency_ms": 900, "priority": 1, "max_attempts": 1,
              "allow_anonymous": False, "allow_resume": False, "timeout_ms": 14_000}
    figures = {"slots": 48, "kv_cache_tokens": 59_631, "kv_token_bytes": 131_072, "link_mbps": 1_500_000.0,
               "moves": True, "backups": True, "stride": 11, "most": 12, "handle_ttl_s": 0.5, "switch_s": 6.0,
               "pin_ms": 4_000.0, "hold_ms": 2_000.0, "models": [{"name": "m"}], **(engine or {})}
    return {
        "version": 7,
        "routes": [{**common, **route} for route in routes],
        "services": [{"name": "models", "health_path": "/health", "max_connections": 290, "engine": figures},
                     {"name": "desk", "health_path": "/health", "max_connections": 96}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
        "tenants": [{"name": "faculty", "api_keys": ["key-1"], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 10_000_000, "burst": 10_000_000}],
    }


def run_case(folder, play):
    """Plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    import sys
    import tempfile
    import traceback

    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "1")))

    async def limited(scratch):
        gateways = []
        try:
            async with asyncio.timeout(110):
                return await play(record, scratch, gateways, has_trouble)
        finally:
            for gateway in gateways:
                await gateway.stop()

    try:
        with tempfile.TemporaryDirectory() as scratch:
            scratch = os.environ.get("LOGS", scratch)
            broken = asyncio.run(limited(scratch))
    except Exception:
        traceback.print_exc()
        record.write("the case could not run:", repr(sys.exc_info()[1]))
        record.close()
        return 2
    record.write("rule broken" if broken else "rule held")
    record.close()
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
