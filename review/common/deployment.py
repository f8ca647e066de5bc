"""A small deployment on loopback addresses: the entries are the project's own processes, started
with the command of the deploy file; the platform's store, the engines and the clients are
stand-ins that follow the users' pages. Standard library only."""

import asyncio
import base64
import hashlib
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
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"ekm-z1": "ernakulam", "clt-z1": "calicut", "tvm-z1": "tvm"}
API_KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
# The bounds of sites/kcw-recell.toml, as the settings of a process name them.
BOUNDS = {"drainMs": 2000, "graceS": 8, "contactMs": 3000, "configApplyMs": 2000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 104,
          "version_ms": 8000, "recoveryS": 12}


class CannotRun(Exception):
    """The case could not be set up."""


# ---- record ----

class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        row = {"t": round(self.now(), 3), "what": what, **fields}
        self.file.write(json.dumps(row) + "\n")
        self.file.flush()


# ---- HTTP/1.1 ----

async def read_message(reader):
    """Returns (first line, headers with lower-case names, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    rows = [first] + [f"{name}: {value}" for name, value in headers]
    if not first.startswith("GET"):
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body


# ---- the platform's store ----

class Store:
    """PROTOCOL.md, 'The platform's metadata store'. Each caller has a port of its own, so that the
    record tells who called."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = 7000
        self.changed = asyncio.Event()
        self.servers = []
        self.last_watch = {}  # (caller, prefix) -> time of the last watch call
        self.writers = set()

    async def listen(self, caller, address):
        host, port = address.split(":")
        handle = lambda reader, writer: self.serve(caller, reader, writer)
        self.servers.append(await asyncio.start_server(handle, host, int(port)))

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, caller, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                method, target, _ = request[0].split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(0.004)
                status, body = await self.answer(caller, method, path, fields, request[2])
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")],
                                     json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, caller, method, path, fields, body):
        if path == "/-/kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            rows = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": rows[:400], "morePages": len(rows) > 400, "asOf": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(caller, fields)
        if path == "/-/kv-key":
            item = self.items.get(fields.get("key"))
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/-/kv-lease":
            self.leases += 1
            return 200, {"lease": self.leases, "ttlMs": json.loads(body)["ttlMs"]}
        if path.startswith("/-/kv-keep/") or path.startswith("/-/kv-lease-end/"):
            return 200, {"ttlMs": 10000}
        if path == "/-/kv-txn":
            change = json.loads(body)
            for row in change["expect"]:
                held = self.items.get(row["key"], {"revision": 0})
                if held["revision"] != row["revision"]:
                    return 412, {"items": []}
            for row in change["writes"]:
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in change["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def watch(self, caller, fields):
        prefix, after = fields["prefix"], int(fields["after"])
        self.last_watch[(caller, prefix)] = time.monotonic()
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            events = [e for e in self.events if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- engines of a plain service ----

class Engine:
    """PROTOCOL.md, 'Engines' and 'Service discovery': serves one request at a time on a connection,
    drops a request when its connection closes, and says in its answers when it leaves."""

    def __init__(self, record, store, service, zone, address, ident, work_s=0.03, slots=6):
        self.record, self.store, self.service = record, store, service
        self.zone, self.address, self.ident = zone, address, ident
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.running = 0
        self.runs = []        # (time, Attempt-Id)
        self.server = None
        self.writers = set()
        self.fails = lambda headers: False  # whether to answer this request with a 500

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.register()

    def register(self, state="ready"):
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                 "seqNum": 1, "born": self.born}
        self.store.put("servers/" + self.ident, json.dumps(entry).encode())

    def unregister(self):
        self.store.remove("servers/" + self.ident)

    def exit(self):
        """The process ends: its connections are closed."""
        self.record.add("engine exits", engine=self.ident, running=self.running)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                work = asyncio.ensure_future(self.answer(request))
                while not work.done():
                    await asyncio.wait([work], timeout=0.02)
                    if reader.at_eof():  # the caller has closed the connection
                        work.cancel()
                        return
                writer.write(work.result())
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        first, headers, body = request
        method, target, _ = first.split(" ")
        load = ("Engine-Load", f"{self.running},0,{self.slots}")
        leaving = [("Server-Leaving", "1")] if self.leaving else []
        if target == "/health":
            return message("HTTP/1.1 200 OK", [("Instance-Id", self.ident), load] + leaving)
        ident = ("Attempt-Id", headers.get("attempt-id", ""))
        if headers.get("expect-instance", self.ident) != self.ident:
            return message("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.ident), ident])
        if self.running >= self.slots:
            return message("HTTP/1.1 503 Service Unavailable",
                           [("Not-Executed", "1"), ident, load] + leaving)
        self.running += 1
        self.runs.append((time.monotonic(), ident[1]))
        self.record.add("engine runs", engine=self.ident, attempt=ident[1], leaving=self.leaving)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        seal = ("Engine-Seal", f"{self.ident}.{ident[1]}")
        if self.fails(headers):
            self.record.add("engine fails", engine=self.ident, attempt=ident[1])
            return message("HTTP/1.1 500 Internal Server Error", [ident, seal, load] + leaving,
                           b"failed\n")
        return message("HTTP/1.1 200 OK", [ident, seal, load] + leaving,
                       json.dumps({"engine": self.ident, "attempt": ident[1]}).encode())


# ---- model engines and the origin of weights ----

MODEL = "daka510000"
LAYERS, PIECES, PIECE_BYTES = 16, 48, 4096
WARM_S = 0.3


def piece(version, number):
    seed = hashlib.sha256(f"{MODEL}/{version}/{number}".encode()).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


class Origin:
    """The service that sends weights. The newest named version is 1."""

    def __init__(self, record, address):
        self.record, self.address, self.newest = record, address, 1

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                target = request[0].split(" ")[1]
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                version = int(fields.get("version", self.newest))
                self.record.add("origin is asked", target=target)
                status, body = 404, b""
                if 1 <= version <= self.newest and path == "/-/manifest/" + MODEL:
                    digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(PIECES)]
                    status, body = 200, json.dumps({
                        "model": MODEL, "version": version, "chunkBytes": PIECE_BYTES,
                        "layers": LAYERS, "digests": digests}).encode()
                elif 1 <= version <= self.newest and path == "/-/piece/" + MODEL:
                    status, body = 200, piece(version, int(fields["itemCount"]))
                writer.write(message(f"HTTP/1.1 {status} X", [], body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class ModelEngine(Engine):
    """Serves streams with the weights that it holds, and loads what is staged when it is ordered
    to. After a loss of power it holds nothing, and nothing is staged."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.staged = {}
        self.version = 0
        self.busy = False
        self.orders = 0

    def hold(self, version):
        self.version = version
        self.staged = {i: piece(version, i) for i in range(PIECES)}

    def weights(self):
        if self.version == 0:
            return {"phase": "hybrid", "models": [], "layers": []}
        return {"phase": "hybrid",
                "models": [{"name": MODEL, "version": self.version, "adapters": []}],
                "layers": [{"from": 0, "target": LAYERS, "version": self.version}]}

    def register(self, state="ready"):
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                 "seqNum": self.orders, "born": self.born, **self.weights()}
        self.store.put("servers/" + self.ident, json.dumps(entry).encode())

    async def load(self, version):
        await asyncio.sleep(WARM_S)
        whole = all(self.staged.get(i) == piece(version, i) for i in range(PIECES))
        self.record.add("engine has loaded", engine=self.ident, version=version, whole=whole)
        self.version, self.busy = version, False
        self.register()

    async def answer(self, request):
        first, headers, body = request
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/-/report":
            state = {**self.weights(), "busy": self.busy, "seqNum": self.orders, "queueDepth": 0,
                     "activeRequests": self.running, "slots": self.slots, "kvUsed": 0,
                     "kvTotal": 685000, "handles": 0, "pace": 1.0, "born": self.born}
            return message("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                           json.dumps(state).encode())
        if path == "/-/stage-put/" + MODEL:
            self.staged[int(fields["itemCount"])] = body
            return message("HTTP/1.1 200 OK", [])
        if path == "/-/stage-get/" + MODEL:
            if "itemCount" not in fields:
                return message("HTTP/1.1 200 OK", [], json.dumps(
                    {"held": sorted(self.staged)}).encode())
            held = self.staged.get(int(fields["itemCount"]))
            return message(f"HTTP/1.1 {404 if held is None else 200} X", [], held or b"")
        if path == "/-/order":
            order = json.loads(body)
            self.record.add("engine is ordered", engine=self.ident, order=order)
            if self.busy or order.get("expect", self.orders) != self.orders:
                return message("HTTP/1.1 409 Conflict", [])
            self.orders += 1
            self.busy = True
            asyncio.ensure_future(self.load(order["version"]))
            return message("HTTP/1.1 202 Accepted", [])
        if self.version == 0 or self.busy:
            return message("HTTP/1.1 503 Service Unavailable",
                           [("Not-Executed", "1"), ("Attempt-Id", headers.get("attempt-id", ""))])
        return await self.stream(headers)

    async def stream(self, headers):
        if headers.get("expect-instance", self.ident) != self.ident:
            return message("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.ident)])
        attempt = headers.get("attempt-id", "")
        self.running += 1
        self.runs.append((time.monotonic(), attempt))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        events = "".join(f"id: {i}\ndata: {attempt}.{i}\n\n" for i in range(1, 6))
        return message("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Engine-Seal", f"{self.ident}.{attempt}"),
            ("Content-Type", "text/event-stream"), ("Weight-Versions", str(self.version)),
            ("Engine-Load", f"{self.running},0,{self.slots}")], events.encode())


# ---- the settings of a process ----

def render(template, fields):
    """The part of DEPLOY.md's template language that the project's templates use."""
    def look(name, scope):
        if name in (".", "@"):
            return scope[name]
        value = scope["fields"]
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def text(value):
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def fill(part, scope):
        section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)
        while (found := section.search(part)) is not None:
            rows = look(found.group(1), scope)
            pairs = rows.items() if isinstance(rows, dict) else enumerate(rows)
            filled = "".join(fill(found.group(2), {**scope, "@": k, ".": v}) for k, v in pairs)
            part = part[:found.start()] + filled + part[found.end():]

        def value(found):
            name, _, form = found.group(1).partition("|")
            held = look(name, scope)
            return json.dumps(held) if form == "json" else text(held)
        return re.sub(r"\{\{([\w.@|]+)\}\}", value, part)

    return fill(template, {"fields": fields})


class Process:
    """A process of a role of the deploy file, with the settings that the platform would fill in."""

    def __init__(self, role_name, name, fields, folder, record):
        self.name, self.record = name, record
        self.process = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"][role_name]
        with open(os.path.join(ROOT, role["template"])) as file:
            settings = render(file.read(), fields)
        self.config = os.path.join(folder, name + ".yaml")
        with open(self.config, "w") as file:
            file.write(settings)
        words = role["run"].split()
        self.command = [self.config if w == "/etc/savoryrouter/local.yaml" else w for w in words]
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing; run the build of the deploy file")
        self.log = os.path.join(folder, name + ".log")

    def start(self):
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=subprocess.STDOUT)
        self.record.add("process starts", name=self.name)

    def signal(self, number):
        self.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def stop(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


def machine_fields(name, zone, ip, ports, store, seeds):
    return {"nodeName": name, "region": ZONES[zone], "zone": zone, "zones": ZONES, "ip": ip,
            "internalPortRange": [ports["peer"], ports["peer"] + 1],
            "platform": {"address": store}, "seeds": seeds, "bounds": BOUNDS}


class Entry(Process):
    def __init__(self, name, zone, ip, ports, store, seeds, folder, record):
        self.zone, self.ip = zone, ip
        self.front, self.ready = f"{ip}:{ports['front']}", f"{ip}:{ports['ready']}"
        fields = {**machine_fields(name, zone, ip, ports, store, seeds),
                  "listen": {"front": self.front, "readyAddress": self.ready}}
        super().__init__("entry", name, fields, folder, record)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ready, "GET", "/-/readiness", [("Host", self.ready)]), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False


class Agent(Process):
    def __init__(self, name, zone, ip, ports, store, seeds, engine, folder, record):
        fields = {**machine_fields(name, zone, ip, ports, store, seeds), "listen": {},
                  "app": engine, "limits": {"linkMbps": 9.4}}
        super().__init__("agent", name, fields, folder, record)


# ---- clients ----

async def call(address, method, target, headers, body=b""):
    """One request on a connection of its own. Raises ConnectionError if it ends without a whole
    answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
        answer = await read_message(reader)
        if answer is None:
            raise ConnectionError("closed without a whole answer")
        return int(answer[0].split(" ")[1]), answer[1], answer[2]
    finally:
        writer.close()


def client_headers(host, attempt, left_ms=4000):
    return [("Host", host), ("Attempt-Id", attempt), ("Deadline-Remaining", str(left_ms)),
            ("Authorization", "Bearer " + API_KEY)]


def new_attempt():
    return "%016x" % random.getrandbits(64)


# ---- a run ----

class Deployment:
    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="savory-review-")
        self.store = Store(self.record)
        self.entries, self.agents, self.engines = [], [], []
        self.subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        base = random.randint(20000, 30000)
        self.ports = {"front": base, "ready": base + 1, "peer": base + 2, "store": base + 10,
                      "engine": base + 40}

    async def start_entries(self, zones):
        ips = [f"{self.subnet}.{11 + i}" for i in range(len(zones))]
        seeds = [f"{ip}:{self.ports['front'] + 5}" for ip in ips[:3]]
        for i, zone in enumerate(zones):
            store = f"{self.subnet}.2:{self.ports['store'] + i}"
            name = f"edge-{zone}-{i + 1}"
            await self.store.listen(name, store)
            self.entries.append(Entry(name, zone, ips[i], self.ports, store, seeds, self.folder,
                                      self.record))
        for entry in self.entries:
            entry.start()

    async def add_engine(self, service, zone, ident, **options):
        address = f"{self.subnet}.3:{self.ports['engine'] + len(self.engines)}"
        engine = Engine(self.record, self.store, service, zone, address, ident, **options)
        self.engines.append(engine)
        await engine.start()
        return engine

    def set_config(self, version, routes, services):
        config = {"version": version, "routes": routes,
                  "services": [s if isinstance(s, dict) else
                               {"name": s, "healthPath": "/health", "maxConnections": 110,
                                "protocol": "h1", "tls": False} for s in services],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                  "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}]}
        self.store.put("op/config", json.dumps(config).encode())

    async def wait_ready(self, entries, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await entry.is_ready() for entry in entries]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries do not become ready")

    def close(self):
        for process in self.entries + self.agents:
            process.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, **more):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": 1,
            "authExempt": False, **more}


def run(case, folder):
    """Runs `case(deployment, trouble)`, which returns the broken rule's findings; empty: it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        deployment = Deployment(folder)
    except OSError as error:
        print("cannot run:", error)
        return 2
    try:
        findings = asyncio.run(asyncio.wait_for(case(deployment, trouble), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("cannot run:", repr(error))
        deployment.record.add("cannot run", why=repr(error))
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(deployment.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        deployment.close()
    for finding in findings:
        print("broken:", finding)
        deployment.record.add("broken", finding=finding)
    if not findings:
        print("held")
        deployment.record.add("held")
    return 1 if findings else 0
