"""Stand-ins for the platform, backends and clients of one ingress, on loopback addresses.

They follow the protocol page: discovery over HTTP/1.1 with watches, backends and clients over RESP2.
Only the standard library is used.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The file record.txt: one line for each thing sent, answered or run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


# ---- RESP2 ----

def bulk(data):
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def served(value, report=b"load_share=0.3"):
    """A backend's answer: the value, no figures on use, the load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(report)


async def read_command(reader):
    """Reads one command, an array of bulk strings; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    if line[:1] != b"*":
        return None
    words = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        if head[:1] != b"$" or not head.endswith(b"\r\n"):
            return None
        data = await reader.readexactly(int(head[1:]) + 2)
        words.append(data[:-2])
    return words


async def read_answer(reader):
    """Reads one answer of an ingress: ('served', value), ('refused', text) or ('failed', text)."""
    line = await reader.readuntil(b"\r\n")
    text = line[:-2]
    if text[:1] == b"$" and text != b"$-1":
        data = await reader.readexactly(int(text[1:]) + 2)
        if data[-2:] != b"\r\n":
            return "failed", b"a bulk string without its end"
        return "served", data[:-2]
    if text.split(b" ")[0] == b"-BUSY":
        return "refused", text
    return "failed", text


def options(words):
    return dict(pair.split(b"=", 1) for pair in words[3].split(b","))


def call(number, request_id, class_name, plan, wait_ms, units=1, spread=1, first=0, key=None, body=None):
    """The bytes of a client's request."""
    text = f"c={class_name},t={plan},d={wait_ms}"
    if key is not None:
        text += f",k={key}"
    text += f",units={units},spread={spread},first={first}"
    verb = b"CALL.GET" if body is None else b"CALL.POST"
    words = [verb, b"%016x" % number, request_id.encode(), text.encode()]
    if body is not None:
        words.append(body)
    return command(*words)


# ---- Platform ----

class Discovery:
    """The discovery agent of one ingress: the whole list, and watches that wait for changes."""

    def __init__(self):
        self.index = 1
        self.entries = {}
        self.changed_at = {}
        self.waiters = set()
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, entry):
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changed_at[entry["name"]] = self.index
        for waiter in list(self.waiters):
            if not waiter.done():
                waiter.set_result(None)

    def list(self):
        listed = [e for e in self.entries.values() if e["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def _changes(self, since):
        changed = [e for name, e in self.entries.items() if self.changed_at[name] > since]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                answer = await self._answer(target)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        if "?" not in target:
            return self.list()
        query = dict(pair.split("=", 1) for pair in target.split("?", 1)[1].split("&"))
        since = int(query["since"])
        if since >= self.index:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait_for(waiter, int(query.get("timeout_ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.discard(waiter)
        return self._changes(since)


class Backend:
    """A sound backend. It answers the requests of a connection in order; `work` gives an answer's bytes."""

    def __init__(self, name, record, work, zone="hall-a", group=1, kind="std-3c"):
        self.name, self.record, self.work = name, record, work
        self.zone, self.group, self.kind = zone, group, kind
        self.server = None
        self.port = None
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, status="up"):
        return {"name": self.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "type": self.kind,
                "group": self.group, "status": status, "weight": 1.0, "since_ms": 0}

    async def _serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                if words[0] in (b"CALL.GET", b"CALL.POST"):
                    await self.work(self, connection, words, writer)
                elif words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                elif words[0] == b"INFO":
                    writer.write(bulk(b"load_share=0.3"))
                else:
                    writer.write(b"-ERR unknown command\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- The ingress ----

def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)[key]


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def settings(classes, plans, number=0, count=1, peers=False):
    """Settings with the names and units of the wire page."""
    return {
        "n_instances": count, "slot_no": number, "zone": 0, "tick_us": 4000, "tier": 0,
        "layers": ["calc-fleet"], "domain_type": "gate",
        "zones": ["hall-a", "hall-b"], "skus": ["std-3c", "small-2c"],
        "grades": classes, "contracts": plans,
        "clients": {"marks_retry": False},
        "limits": {"most_tries": 3, "second_copies": True, "cancelling": True, "may_probe": True,
                   "peers": peers, "retry_after": True, "max_retry_after_us": 2000000, "max_open": 20000,
                   "max_streams": 100, "connect_timeout_us": 250000, "keepalive_us": 15000000,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000},
        "family_info": {"peer_in_per_s": 40.0, "has_counter": False, "count_wait_us": 0, "counter_price": 0.0,
                        "meter_period_us": 0, "post_paid": False, "most_units": 3},
        "rules": {"answer_slack_us": 16000, "drain_grace_us": 1000000, "cold_from": 0.28, "cold_us": 16000000,
                  "overload_factor": 4.0, "fall_us": 1000000, "must_ask_in_us": 10000000},
        "membership_mode": "push", "weights": "nominal",
        "reporting": {"how": "answers", "fields": ["load_share"]},
    }


QUOTE = {"name": "quote", "effect": "repeatable", "group": "all", "window_us": 5000000, "objective_us": 400000,
         "give_up_us": 1000000, "worth": 2.0, "late_worth": 0.0, "stream": False}
SAVE = {"name": "save-scenario", "effect": "by_key", "group": "cell", "window_us": 3000000,
        "objective_us": 1200000, "give_up_us": 3000000, "worth": 2.0, "late_worth": 0.2, "stream": False}
REFERRAL = {"name": "lender-referral", "effect": "once", "group": "all", "window_us": 5000000,
            "objective_us": 2000000, "give_up_us": 8000000, "worth": 3.0, "late_worth": 0.0, "stream": False}

STARTER = {"name": "starter", "quota_rate": 1.5, "burst": 7.0, "max_out": 0, "never_over_rate": 0.0,
           "ceiling_burst": 0.0, "ceiling_slack": 0.0, "worth_factor": 0.72, "over_worth": 0.0, "beyond_costs": 0.8}
BUSINESS = {"name": "business", "quota_rate": 6.4, "burst": 14.0, "max_out": 0, "never_over_rate": 14.0,
            "ceiling_burst": 31.0, "ceiling_slack": 3.1, "worth_factor": 1.1, "over_worth": 0.0,
            "beyond_costs": 1.0}
ENTERPRISE = {"name": "enterprise", "quota_rate": 25.0, "burst": 66.0, "max_out": 0, "never_over_rate": 0.0,
              "ceiling_burst": 0.0, "ceiling_slack": 0.0, "worth_factor": 1.6, "over_worth": 0.0,
              "beyond_costs": 0.5}


class Ingress:
    """One ingress, started by the command `run` of the deploy file as a process of its own."""

    def __init__(self, folder, config, record, extra=None, pass_fds=()):
        self.record = record
        self.config = config
        host, port = config["listen"].rsplit(":", 1)
        self.address = (host, int(port))
        self.path = os.path.join(folder, f"{config['name']}.json")
        self.write_config(config)
        self.log = open(os.path.join(folder, f"{config['name']}.log"), "ab")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment.update({"LB_NAME": config["name"], "LB_LISTEN": config["listen"],
                            "LB_DISCOVERY": config["discovery"], "LB_CONFIG": self.path, "TMPDIR": folder})
        environment.update(extra or {})
        run = deploy_command("run")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, pass_fds=pass_fds,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        record.add(f"ingress {config['name']} started: {run}")

    def write_config(self, config):
        temporary = self.path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(temporary, self.path)

    async def ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the ingress ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(command(b"PING"))
                answer = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the ingress did not answer PING in time")

    def signal(self, number):
        self.record.add(f"{signal.Signals(number).name} to ingress {self.config['name']}")
        self.process.send_signal(number)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def ingress_config(name, listen_port, discovery, classes, plans, sockets=256, memory_mb=192, number=0, count=1):
    return {"name": name, "listen": f"{HOST}:{listen_port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.list(),
            "settings": settings(classes, plans, number, count)}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, record_path):
    """Runs `case(folder, record)`, which writes its record to `record_path`, and exits with its verdict."""
    record = Record(record_path)
    verdict = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            verdict = asyncio.run(asyncio.wait_for(case(folder, record), 110))
        except CouldNotRun as error:
            record.add(f"could not run: {error}")
            print(f"could not run: {error}")
        except Exception as error:  # an error of the script says nothing about the rule
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
    text = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}[verdict]
    record.add(text)
    record.close()
    print(text)
    sys.exit(verdict)
