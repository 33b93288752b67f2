"""A request that crashes each server after its second event is never held off, and crashes one server after the other."""

import asyncio
import collections
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_in"))
import standin  # noqa: E402

CONTACT_S = 3.0  # `contact_ms` of the sheet
CRASHES_AFTER_EVENTS = int(os.environ.get("EVENTS", "2"))
DOWN_S = 3.0  # "the server is back after some seconds"
TRAFFIC_S, STREAMS_PER_S = 60, 12
COMES_AGAIN_S = 2.0
KILLER = b"the request that crashes servers"
ROUTE = {"name": "summary", "prefix": "/summary/", "kind": "streaming", "service": "models", "target_gap_ms": 300}


class Engine(standin.Engine):
    """A model server that crashes under one request, and comes back as a new incarnation."""

    def __init__(self, *words, **figures):
        super().__init__(*words, **figures)
        self.writers, self.has_trouble, self.crashes, self.killed, self.deadly = set(), False, [], [], set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def respond(self, request, reader, writer):
        if request.body == KILLER:
            self.deadly.add(request.get(standin.REQUEST_ID))
        return await super().respond(request, reader, writer)

    async def after_event(self, request_id, number):
        if self.has_trouble and request_id in self.deadly and number == CRASHES_AFTER_EVENTS:
            self.record.write("crashes", self.id, "under", request_id)
            self.crashes.append(time.monotonic())
            asyncio.create_task(self.crash())
            await asyncio.sleep(1)

    async def crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.holds.clear()
        old = self.id
        await asyncio.sleep(DOWN_S)
        host, port = self.address.split(":")
        self.new_incarnation()
        self.server = await asyncio.start_server(self.serve, host, int(port))
        await self.store.remove("servers", old)
        await self.register()
        self.record.write("is back", old, "as", self.id)


async def play(record, scratch, gateways, has_trouble):
    store = await standin.Store("127.0.1.1").start()
    await store.put("op", "config", standin.configuration([ROUTE]))
    engines = []
    for number, stage in enumerate(["prefill"] * 2 + ["decode"] * 6):
        engine = Engine(store, record, f"127.0.2.{number + 1}", "models", "zone-a", stage, 59_631)
        engine.has_trouble = has_trouble
        engines.append(await engine.start())
    for number in (1, 2):
        gateway = standin.Gateway(store, f"127.0.3.{number}", f"front-{number}", "zone-a", scratch)
        gateways.append(await gateway.start())
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2)
    clients, killers, statuses = [], {}, collections.Counter()

    async def client():
        size = (int(random.uniform(3_000, 8_000)), int(random.uniform(33, 170)))
        _, answer = await standin.send(
            record, random.choice(gateways), "/summary/1", standin.completion(*size), b"x" * 1_000)
        statuses[f"{answer.status} {'whole' if answer.is_whole else 'cut'}"] += 1

    async def killer():
        fields = [("Tarragonhill-Model", "m"), ("Tarragonhill-Token-Counts", "5000,100"),
                  ("Tarragonhill-Prompt-Prefix", "5c1e07a2:200,e4402b7d:4800")]
        await asyncio.sleep(5)
        while True:
            at = time.monotonic()
            request_id, _ = await standin.send(record, random.choice(gateways), "/summary/1", fields, KILLER)
            killers[request_id] = at
            await asyncio.sleep(COMES_AGAIN_S)

    killing = asyncio.create_task(killer())
    for _ in range(TRAFFIC_S * STREAMS_PER_S):
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(random.expovariate(STREAMS_PER_S))
    killing.cancel()
    await asyncio.gather(*clients)
    return judge(record, engines, killers, statuses)


def judge(record, engines, killers, statuses):
    """BUDGET: a request that crashes the servers that run it reaches servers in more than three retries, sent later than
    `contact_ms` after it has crashed the third."""
    crashes = sorted(at for engine in engines for at in engine.crashes)
    reached = {request_id for engine in engines for request_id in engine.deadly}
    late = []
    if len(crashes) >= 3:
        late = [request_id for request_id, at in killers.items()
                if at > crashes[2] + CONTACT_S and request_id in reached]
    record.write("other streams by answer:", dict(statuses))
    record.write("crashes:", len(crashes), "attempts:", len(killers), "late retries that reached servers:", *late)
    print("crashes:", len(crashes), "attempts:", len(killers), "late retries that reached servers:", len(late),
          "others:", dict(statuses))
    return len(late) > 3


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
