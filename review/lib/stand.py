"""Stand-ins for the peers of a router on the platform: hosts, the discovery agent, the deployer and clients.

They speak what the protocol page says and nothing else. Everything is on loopback addresses; ports are chosen by the
system. A case imports this module, starts what it needs and ends it in `Stand.close`.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["ebetsu", "kitahiroshima", "chitose"]
TENANTS = [("doto-dairy", 0.39), ("rumoi-fish", 0.27), ("tokachi-veg", 0.22), ("otaru-cold", 0.12)]


def trouble():
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def deploy_command(key):
    """Reads one command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s\s*=\s*"(.*)"' % key, file.read(), re.M)
    return found.group(1)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


def settings(me, fleet, zone, classes, quota, **changes):
    """The settings object of a router, with the figures of a small deployment.

    `classes`: name, effect, aim and deadline in seconds, worth.
    """
    categories = [
        {"name": name, "effect": effect, "aim_s": aim, "deadline_s": deadline, "worth": worth, "late_worth": 0.2,
         "dedup_scope": "all", "dedup_window_s": 5.0, "stream": False}
        for name, effect, aim, deadline, worth in classes
    ]
    stages = changes.get("stages", ([0.04, 0.1, 0.25, 0.55, 1.0], [0.056, 0.14, 0.35, 0.77, 1.0]))
    return {
        "caps": {"conn_idle_s": 30.0, "connect_timeout_s": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 1000000,
                 "max_open": 20000, "max_retry_after_s": 2.0, "may_cancel": True, "parallel_tries": True,
                 "peers": False, "probes": True, "retry_after": True, "send_cap": 6, "streams_per_conn": 1},
        "categories": categories,
        "clients": {"marks_retry": False},
        "counted_by": "request",
        "dcs": ZONES,
        "domain_type": "rollout",
        "family_info": {"answer_wait_s": 2.0, "back_votes": 1, "bake_s": 2.0, "complaint_share": 0.15, "counts": "all",
                        "delay_price": 0.5, "forward_only": True, "free": 1.0, "gate_mode": "single",
                        "guarded_stages": 0, "harm_fee": 3.0, "moves_after_s": 0.0, "on_votes": 1, "push_s": 4.0,
                        "span_s": 4.0, "stage_cap": stages[1], "stoppers": 0, "style": "rolling", "sums_every_s": 0.0,
                        "tally_sample": 0.0, "vote_allowance": 50.0, "vote_ttl_s": 10.0, "warm_keys": False,
                        "waves": stages[0]},
        "feedback": {"columns": [], "how": "off"},
        "fleet_size": fleet,
        "guarantees": {"ask_within_s": 10.0, "cold_from": 0.31, "drain_grace_s": 1.0, "fall_multiple": 3.0,
                       "fall_s": 3.0, "grace_to_answer_s": 0.02, "warm_within_s": 3.7},
        "me": me,
        "membership_mode": "push",
        "models": ["c1-std"],
        "resolution_s": 0.001,
        "tenants": [{"allowance_per_s": quota * share, "name": name, "share": share} for name, share in TENANTS],
        "tier": 0,
        "tiers": ["relay-fleet"],
        "weights": "off",
        "zone": zone,
    }


async def read_head(reader):
    """Reads a message's head; `None` if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Host:
    """A host: serves each request after its work, and turns requests away while it drains.

    An answer's body names the request's id, so that a client can tell whether the answer was made for its request.
    """

    def __init__(self, stand, name, zone, build, work, cell=0):
        self.stand = stand
        self.name = name
        self.zone = zone
        self.build = build
        self.work = work
        self.cell = cell
        self.phase = "Ready"
        self.up_since_ms = 0
        self.received = []  # (time, id) of each request whose last byte has come
        self.open = set()

    async def start(self):
        address = "127.%d.%d.%d" % (self.stand.net[0], self.stand.net[1], 20 + len(self.stand.hosts))
        self.server = await asyncio.start_server(self.serve, address, 0, limit=1 << 17, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.stand.hosts.append(self)
        return self

    async def end(self):
        """Ends the host: its connections close, new ones are refused, discovery lists it as gone."""
        self.phase = "Gone"
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def entry(self):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "c1-std",
                "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
                "revision_no": self.build}

    async def serve(self, reader, writer):
        record = self.stand.record
        self.open.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                length = int(fields.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                ident = fields.get("request-id", "")
                self.received.append((record.now(), ident))
                told = fields.get("request-timeout", "")
                known = ident in self.stand.sent_ids
                record.line("run    host=%s phase=%s id=%s timeout=%s known=%s" % (
                    self.name, self.phase, ident, told, known))
                if not ident:
                    status, extra, body = "404 Not Found", "", b""
                elif not known:
                    status, extra, body = "400 Bad Request", "", b""
                elif self.phase != "Ready":
                    status, extra, body = "503 Service Unavailable", "Not-Started: 1\r\n", b""
                else:
                    await asyncio.sleep(self.work())
                    status, extra, body = "200 OK", "", ("answer to %s" % ident).encode()
                writer.write(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, extra, len(body))).encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Discovery:
    """The agent of discovery on a router's machine. `delay`: time from a call to the first byte of its answer."""

    def __init__(self, stand, number):
        self.stand = stand
        self.delay = 0.0
        self.number = number
        self.watches = set()
        self.calls = 0

    async def start(self):
        address = "127.%d.%d.%d" % (self.stand.net[0], self.stand.net[1], 210 + self.number)
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        try:
            head = await read_head(reader)
            if head is None:
                return
            self.calls += 1
            self.stand.record.line("disco  router=n%d call %s" % (self.number, head[0]))
            if self.delay:
                await asyncio.sleep(self.delay)
            if "watch=1" not in head[0]:
                body = self.stand.listing().encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(queue)
            text = self.stand.listing()
            while True:
                line = (text + "\n").encode()
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
                if text:
                    self.stand.record.line("disco  router=n%d told revision %d" % (self.number, self.stand.revision))
                waiting = asyncio.ensure_future(queue.get())
                closed = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait({waiting, closed}, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
                if closed in done:
                    waiting.cancel()
                    closed.exception()
                    return
                closed.cancel()
                text = waiting.result() if waiting in done else ""
                waiting.cancel()
        except OSError:
            pass
        finally:
            self.watches.discard(queue)
            writer.close()


class Deployer:
    """The platform: tells the state of the newest build, and counts votes without acting on them."""

    def __init__(self, stand):
        self.stand = stand
        self.state = "726 4 COMPLETE 1"
        self.since = time.monotonic()

    async def start(self):
        address = "127.%d.%d.200" % self.stand.net
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def text(self):
        return "%s %d" % (self.state, (time.monotonic() - self.since) * 1000)

    def news(self):
        release, tranche, mode, exposure = self.state.split()
        return {"release": int(release), "tranche": int(tranche), "mode": mode, "exposure": float(exposure),
                "old_ms": int((time.monotonic() - self.since) * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                if line.strip() == b"SUB":
                    writer.write(b"OK\r\n")
                    told = None
                    while True:
                        if told != self.state:
                            told = self.state
                            writer.write(("* news %s\r\n" % self.text()).encode())
                        else:
                            writer.write(b"*\r\n")
                        await writer.drain()
                        await asyncio.sleep(1)
                writer.write(("OK %s\r\n" % self.text()).encode())
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Router:
    """One router, started by the deploy file's `run`."""

    def __init__(self, stand, number):
        self.stand = stand
        self.number = number
        self.name = "n%d" % number
        self.process = None

    def start(self, config):
        stand = self.stand
        listen_address = "127.%d.%d.%d" % (stand.net[0], stand.net[1], 2 + self.number)
        self.listen = (listen_address, free_port(listen_address))
        listen = "%s:%d" % self.listen
        config = dict(config, name=self.name, listen=listen, seed="%016x" % stand.random.getrandbits(64))
        path = os.path.join(stand.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        private = os.path.join(stand.folder, self.name + ".tmp")
        os.makedirs(private, exist_ok=True)
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": private, "GW_NAME": self.name, "GW_LISTEN": listen,
               "GW_DISCOVERY": config["discovery"], "GW_CONFIG": path}
        self.log = os.path.join(stand.folder, self.name + ".log")
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        stand.record.line("start  router=%s pid=%d listen=%s" % (self.name, self.process.pid, listen))

    def memory_kb(self):
        """The resident memory of the process, and its highest value so far."""
        with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
            text = file.read()
        value = {name: int(re.search(name + r":\s*(\d+)", text).group(1)) for name in ("VmRSS", "VmHWM")}
        return value["VmRSS"], value["VmHWM"]

    async def is_up(self, within):
        """Whether the router answers the front's question in time that it is up."""
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
            try:
                writer.write(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                return b" 200 " in await asyncio.wait_for(reader.readline(), within)
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_up(self, within=30.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if await self.is_up(1.0):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("router %s was not ready within %.0f s" % (self.name, within))


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Request:
    """A request of a usual client and what became of it."""

    def __init__(self, ident, router, wait):
        self.ident = ident
        self.router = router
        self.wait = wait
        self.written_at = None
        self.answered_at = None
        self.status = None
        self.body = None
        self.closed = False
        self.resent = 0


def start(main):
    """Runs a case and ends with its exit code. Stand-ins that still serve end with the process."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(main)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except BaseException as error:  # whatever went wrong in the stand-ins says nothing about the rule
        print("case could not run: %r" % error)
        code = 2
    sys.stdout.flush()
    os._exit(code)


class Stand:
    """All stand-ins of one run."""

    def __init__(self, folder, seed):
        self.record = Record(folder)
        self.random = random.Random(seed)
        self.net = (64 + os.getpid() // 250 % 60, 1 + os.getpid() % 250)
        self.folder = tempfile.mkdtemp(prefix="spokeflow-review-")
        self.hosts = []
        self.routers = []
        self.revision = 1
        self.sent_ids = set()
        self.agents = []
        self.others = []
        self.next_id = 0

    def listing(self, hosts=None, complete=True):
        hosts = self.hosts if hosts is None else hosts
        hosts = [h for h in hosts if not (complete and h.phase == "Gone")]
        return json.dumps({"revision": self.revision, "complete": complete, "members": [h.entry() for h in hosts]})

    def tell(self, hosts):
        """Gives the agents a change of these hosts."""
        self.revision += 1
        text = self.listing(hosts, complete=False)
        for agent in self.agents:
            for queue in agent.watches:
                queue.put_nowait(text)

    def new_id(self):
        self.next_id += 1
        ident = "%016x" % (self.random.getrandbits(32) << 32 | self.next_id)
        self.sent_ids.add(ident)
        return ident

    async def start_routers(self, count, limits, classes, quota, **changes):
        self.deployer = await Deployer(self).start()
        for number in range(count):
            agent = await Discovery(self, number).start()
            agent.delay = changes.get("discovery_delay", 0.0)
            self.agents.append(agent)
            router = Router(self, number)
            self.routers.append(router)
            router.start({
                "discovery": agent.address,
                "limits": limits,
                "deployer": {"address": self.deployer.address, "news": self.deployer.news()},
                "known": json.loads(self.listing()),
                "settings": settings(number, count, number % len(ZONES), classes, quota, **changes),
            })
        for router in self.routers:
            await router.wait_until_up()

    async def ask(self, router, kind, effect, key, wait, body=b"", stay=0.7, sock=None):
        """Sends one request on a connection of its own, and stays `stay` seconds longer than it waits."""
        request = Request(self.new_id(), router, wait)
        method = "GET" if effect == "idempotent" else "POST"
        tenant = self.random.choices([n for n, _ in TENANTS], [s for _, s in TENANTS])[0]
        length = "" if method == "GET" else "Content-Length: %d\r\n" % len(body)
        head = ("%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: %s\r\n"
                "Request-Timeout: %dm\r\n%s\r\n") % (method, kind, key, request.ident, kind, tenant, wait * 1000, length)
        for _ in range(2):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*router.listen), wait)
            except (OSError, asyncio.TimeoutError):
                request.status = "not accepted"
                self.record.line("client id=%s router=%s not accepted" % (request.ident, router.name))
                return request
            try:
                writer.write(head.encode() + (body if method == "POST" else b""))
                request.written_at = self.record.now()
                self.record.line("sent   id=%s router=%s class=%s wait=%.3f" % (request.ident, router.name, kind, wait))
                answer = await asyncio.wait_for(read_head(reader), wait + stay)
                if answer is None:
                    # The router closed a connection and had sent nothing: the client sends once more.
                    request.closed = True
                    request.resent += 1
                    self.record.line("closed id=%s without an answer" % request.ident)
                    continue
                request.closed = False
                size = int(answer[1].get("content-length", "0"))
                request.body = await asyncio.wait_for(reader.readexactly(size), wait + stay)
                request.answered_at = self.record.now()
                request.status = answer[0].split()[1]
                self.record.line("answer id=%s status=%s after=%.3f late=%.3f" % (
                    request.ident, request.status, request.answered_at - request.written_at,
                    request.answered_at - request.written_at - wait))
                return request
            except asyncio.TimeoutError:
                self.record.line("none   id=%s: no answer %.3f s after its time" % (request.ident, stay))
                return request
            except (asyncio.IncompleteReadError, OSError):
                request.closed = True
                request.resent += 1
                self.record.line("reset  id=%s without a whole answer" % request.ident)
            finally:
                writer.close()
        return request

    async def close(self):
        for process in self.others + [router.process for router in self.routers if router.process]:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()
