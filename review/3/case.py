"""After a cut from the store, a gateway goes on using servers whose entries are gone, as if the store had been away."""

import asyncio
import collections
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_in"))
import standin  # noqa: E402

DRAIN_S, CONTACT_S = 2.0, 3.0  # `drain_ms` and `contact_ms` of the sheet
CUT_S = 3.8  # `core_cut`, at most 6.6 s in the site file
JOINS_BEFORE_S = 0.3  # from the start of the replacement to the cut
LEAVES_AFTER_S = 0.7  # from the end of the cut to the removal of the server's entry
SERVES_ON_S = (0.4, 0.7)  # how much longer than `drain_ms` the server serves on
ROUNDS, ROUND_S = 9, 10.0
CALLS_PER_S = 100
ROUTE = {"name": "submit", "prefix": "/submit/", "kind": "unsafe", "service": "desk", "target_latency_ms": 300,
         "timeout_ms": 1_500}


class Desk(standin.Plain):
    """A server that can leave without reporting that it drains."""

    def __init__(self, *words):
        super().__init__(*words, work_s=0.060)
        self.arrivals, self.writers, self.left_at, self.ended = [], set(), None, set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def respond(self, request, reader, writer):
        request_id = request.get(standin.REQUEST_ID)
        self.arrivals.append((request_id, time.monotonic()))
        self.record.write("arrives", self.id, request_id)
        self.ended.add(request_id)
        answer = await self.work(request, writer, self.work_s)
        self.ended.discard(request_id)
        return answer

    async def leave(self):
        await self.store.remove("servers", self.id)
        self.left_at = time.monotonic()
        self.record.write("entry removed", self.id)
        await asyncio.sleep(DRAIN_S + random.uniform(*SERVES_ON_S))
        self.record.write("exits", self.id)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def play(record, scratch, gateways, has_trouble):
    store = await standin.Store("127.0.1.1").start()
    await store.put("op", "config", standin.configuration([ROUTE]))
    desks = [await Desk(store, record, f"127.0.2.{number}", "desk", "zone-a").start() for number in (1, 2, 3)]
    link = await standin.Link(store, "127.0.1.2").start()
    for number, way in ((1, link), (2, store)):
        gateway = standin.Gateway(way, f"127.0.3.{number}", f"front-{number}", "zone-a", scratch)
        gateways.append(await gateway.start())
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2)
    sent, answers, clients, healed = {}, {}, [], []

    async def client():
        sent_at, gateway = time.monotonic(), random.choice(gateways)
        request_id, answer = await standin.send(record, gateway, "/submit/1", body=b"x" * 600, deadline_ms=1_500)
        sent[request_id], answers[request_id] = (sent_at, gateway.name), answer

    async def disturb():
        for number in range(ROUNDS):
            began = time.monotonic()
            desks.append(await Desk(store, record, f"127.0.2.{number + 4}", "desk", "zone-a").start())
            await asyncio.sleep(JOINS_BEFORE_S)
            if has_trouble:
                record.write("front-1 is cut off from the store")
                link.cut()
            await asyncio.sleep(CUT_S)
            link.heal()
            healed.append(time.monotonic())
            record.write("front-1 reaches the store again")
            await asyncio.sleep(LEAVES_AFTER_S)
            await desks[number].leave()
            await asyncio.sleep(max(0.0, began + ROUND_S + random.uniform(0, 0.3) - time.monotonic()))

    disturbing = asyncio.create_task(disturb())
    while not disturbing.done():
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await disturbing
    await asyncio.gather(*clients)
    return judge(record, desks, sent, answers, healed)


def judge(record, desks, sent, answers, healed):
    """DRAIN: a request reaches a server later than `drain_ms` after the store took back its entry, taken from the client
    and sent on by a machine that has been in touch for `contact_ms`."""
    late, lost = [], []
    for desk in desks:
        for request_id, at in desk.arrivals:
            if desk.left_at is None or at <= desk.left_at + DRAIN_S:
                continue
            sent_at, gateway = sent[request_id]
            in_touch_since = max((heal for heal in healed if heal <= at), default=0) + CONTACT_S
            if gateway == "front-1" and sent_at < in_touch_since:
                continue
            late.append(request_id)
            after_ms = int((at - desk.left_at) * 1000)
            status = answers[request_id].status
            if request_id in desk.ended:
                lost.append(request_id)
            record.write("late", request_id, "by", gateway, after_ms, "ms after the entry was removed, answered", status)
    record.write("answers by status:", dict(collections.Counter(str(answer.status) for answer in answers.values())))
    record.write("reached a server that had left:", len(late), "- of these cut off by its end:", *lost)
    print("late:", len(late), "of these cut off by the server's end:", len(lost))
    return bool(late)


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
