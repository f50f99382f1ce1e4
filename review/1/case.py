"""Backends close idle connections early, after a request with a long body was served on them."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

SECONDS = 60.0          # of traffic
RATE = 8.0              # requests a second; the site's ingresses see some tens
LONG_BODY = 100 * 1024  # the pages allow 4 MiB
LONG_SHARE = 0.8        # of the save-scenario requests
IDLE_CLOSE = 1.0        # a backend closes a connection that is idle for so long; the settings say 15 s at the latest
ANSWER_SLACK = 0.5      # after its time an answer only earns nothing; later, or never, it is lost

CLASSES = [("quote", 1000, 0.038, 0.065), ("save-scenario", 3000, 0.083, 0.14), ("lender-referral", 8000, 0.13, 0.22)]


class ClosingBackend(Backend):
    """A sound backend that closes a connection once it has been idle for IDLE_CLOSE."""

    async def _serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        try:
            while True:
                limit = IDLE_CLOSE if trouble() else 15.0
                try:
                    # Waits for the first byte of a command only: a command that has begun is read to its end.
                    first = await asyncio.wait_for(reader.readexactly(1), limit)
                except asyncio.TimeoutError:
                    self.record.add(f"backend {self.name} connection {connection} closed after {limit} s idle")
                    break
                words = await read_command_after(first, reader)
                if words is None:
                    break
                if words[0] in (b"CALL.GET", b"CALL.POST"):
                    await self.work(self, connection, words, writer)
                else:
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown command\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_command_after(first, reader):
    line = first + await reader.readline()
    words = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        data = await reader.readexactly(int(head[1:]) + 2)
        words.append(data[:-2])
    return words


async def case(folder, record):
    chance = random.Random(7)
    work_of = {name: (low, high) for name, _, low, high in CLASSES}

    async def work(backend, connection, words, writer):
        body = len(words[4]) if len(words) > 4 else 0
        record.add(f"backend {backend.name} connection {connection} runs {words[2].decode()} body={body}")
        low, high = work_of[options(words)[b"c"].decode()]
        await asyncio.sleep(chance.uniform(low, high))
        writer.write(served(b"value for " + words[2]))

    discovery = Discovery()
    await discovery.start()
    backends = [ClosingBackend(f"s-{n}", record, work, group=1 + n % 2) for n in range(4)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.entry())
    config = ingress_config("n0", free_port(), discovery, [QUOTE, SAVE, REFERRAL], [STARTER, BUSINESS, ENTERPRISE])
    ingress = Ingress(folder, config, record)
    lost, answered, idle = [], 0, []

    async def request(number):
        nonlocal answered
        name, wait_ms, _, _ = chance.choices(CLASSES, [50, 36, 14])[0]
        request_id = f"{number:016x}"
        key = body = None
        if name == "save-scenario":
            key = f"{number:016x}"
            body = b"b" * (LONG_BODY if chance.random() < LONG_SHARE else 200)
        elif name == "lender-referral":
            body = b"b" * 200
        try:
            reader, writer = idle.pop() if idle else await asyncio.open_connection(*ingress.address)
        except OSError:
            return  # never accepted, so never taken
        start = record.now()
        try:
            writer.write(call(number % 200, request_id, name, "enterprise", wait_ms, key=key, body=body))
            await writer.drain()
            record.add(f"client sent {request_id} {name} body={len(body or b'')}")
            kind, text = await asyncio.wait_for(read_answer(reader), wait_ms / 1000 + ANSWER_SLACK)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record.add(f"client has no answer to {request_id}: {error!r}")
            lost.append((start, request_id))
            writer.close()
            return
        record.add(f"client has {request_id}: {kind} {text[:40]!r}")
        answered += 1
        idle.append((reader, writer))

    ended = None
    try:
        await ingress.ready()
        await asyncio.sleep(0.5)
        end, tasks, number = record.now() + SECONDS, [], 0
        while record.now() < end and ended is None:
            number += 1
            tasks.append(asyncio.create_task(request(number)))
            await asyncio.sleep(chance.expovariate(RATE))
            ended = ingress.process.poll()
        await asyncio.gather(*tasks)
        ended = ingress.process.poll()
    finally:
        ingress.close()
    with open(os.path.join(folder, "n0.log"), encoding="utf-8", errors="replace") as log:
        for line in log:
            if "panicked" in line or "out of range" in line:
                record.add("log of the ingress: " + line.strip())
    if answered == 0:
        raise CouldNotRun("no request was answered")
    summary = f"requests answered {answered}, taken and never answered {len(lost)}, exit of the ingress {ended}"
    record.add(summary)
    print(summary)
    return BROKEN if ended is not None or lost else HELD


main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
