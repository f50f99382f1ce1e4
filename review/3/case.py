"""A planned restart while half of the backends hang: requests that were answered, behind one that was not."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

CLIENTS = 12                # connections
QUOTES = 3                  # requests that each client sends right behind a lender-referral
VALUE = 128 * 1024          # of a quote; the pages allow values of up to 4 MiB
HUNG = {"s-0", "s-1"}       # of four backends; the pages say a quarter to a half
HANG_AFTER, SEND_AFTER, TERM_AFTER = 0.5, 0.6, 1.0    # seconds after the ingress was ready
REFERRAL_MS, QUOTE_MS = 8000, 1000
KILL_AFTER = 3.0 + 0.7      # SIGKILL comes no sooner after SIGTERM


async def case(folder, record):
    chance = random.Random(3)
    hanging = False
    answered_by_backend, ran = set(), set()

    async def work(backend, connection, words, writer):
        request_id, name = words[2].decode(), options(words)[b"c"]
        record.add(f"backend {backend.name} connection {connection} runs {request_id} ({name.decode()})")
        ran.add(request_id)
        if hanging and backend.name in HUNG:
            record.add(f"backend {backend.name} hangs and will not answer {request_id}")
            await asyncio.sleep(60)
        if name == b"quote":
            await asyncio.sleep(chance.uniform(0.038, 0.065))
            value = (words[2] + b" ") * (VALUE // (len(words[2]) + 1) + 1)
            writer.write(served(value[:VALUE]))
        else:
            await asyncio.sleep(chance.uniform(0.13, 0.22))
            writer.write(served(b"value for " + words[2]))
        await writer.drain()
        answered_by_backend.add(request_id)
        record.add(f"backend {backend.name} connection {connection} has written its whole answer to {request_id}")

    discovery = Discovery()
    await discovery.start()
    backends = [Backend(f"s-{n}", record, work, group=1 + n % 2) for n in range(4)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.entry())
    config = ingress_config("n0", free_port(), discovery, [QUOTE, SAVE, REFERRAL], [STARTER, BUSINESS, ENTERPRISE])
    ingress = Ingress(folder, config, record)
    lost, counts = [], {}

    async def client(number):
        reader, writer = await asyncio.open_connection(*ingress.address, limit=1 << 20)
        # The first request shows that the connection is accepted and read.
        writer.write(call(1000 + number, f"{number:08x}ffffffff", "quote", "enterprise", QUOTE_MS))
        await read_answer(reader)
        await asyncio.sleep(SEND_AFTER + chance.uniform(0, 0.3))
        ids = [f"{number:08x}{n:08x}" for n in range(1 + QUOTES)]
        commands = [call(2000 + 10 * number, ids[0], "lender-referral", "enterprise", REFERRAL_MS, body=b"b" * 100)]
        commands += [call(2000 + 10 * number + n, ids[n], "quote", "enterprise", QUOTE_MS)
                     for n in range(1, 1 + QUOTES)]
        writer.write(b"".join(commands))
        await writer.drain()
        record.add(f"client {number} sent {' '.join(ids)}")
        taken = 0
        try:
            for request_id in ids:
                # Waiting for the answers before it does not count, so each answer has the longest time.
                kind, text = await asyncio.wait_for(read_answer(reader), REFERRAL_MS / 1000 + 1)
                taken += 1
                counts[kind] = counts.get(kind, 0) + 1
                record.add(f"client {number} has {request_id}: {kind} {text[:24]!r}, {len(text)} bytes")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            partial = len(getattr(error, "partial", b""))
            record.add(f"client {number}: the connection ended with {partial} bytes of the next answer: {error!r}")
            # A value that had begun may count as failed; only requests with no byte of an answer are counted, and of
            # these only such as had run, since the client sends a request that was not read once more.
            begun = ids[taken] if partial else None
            for request_id in ids[taken:]:
                if request_id != begun and request_id in ran:
                    record.add(f"LOST: {request_id} ran, and its client has no answer")
                    lost.append(request_id)
        writer.close()

    async def disrupt():
        nonlocal hanging
        if not trouble():
            return
        await asyncio.sleep(HANG_AFTER)
        hanging = True
        record.add(f"the backends {' '.join(sorted(HUNG))} hang from now on")
        await asyncio.sleep(TERM_AFTER - HANG_AFTER)
        ingress.signal(signal.SIGTERM)
        term = record.now()
        while ingress.process.poll() is None:
            await asyncio.sleep(0.01)
        record.add(f"the ingress ended by itself {record.now() - term:.2f} s after SIGTERM, exit code "
                   f"{ingress.process.poll()}; SIGKILL was due {KILL_AFTER} s after it at the soonest")

    try:
        await ingress.ready()
        disruption = asyncio.create_task(disrupt())
        await asyncio.gather(*(client(number) for number in range(1, 1 + CLIENTS)))
        if trouble():
            await asyncio.wait_for(disruption, 10)
        elif ingress.process.poll() is not None:
            raise CouldNotRun("the ingress ended without a signal")
    finally:
        ingress.close()
    held = sum(request_id in answered_by_backend for request_id in lost)
    summary = (f"requests {CLIENTS * (1 + QUOTES)}, answers {counts}, lost {len(lost)}, of which a backend had "
               f"answered {held} whole")
    record.add(summary)
    print(summary)
    return BROKEN if lost else HELD


main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
