"""Stand-ins for a small deployment: databases, promotion authority, operator and clients.

The programs of the deploy file run as separate processes. Everything else runs in this process, on
loopback addresses and the real clock, and follows PROTOCOL.md.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = Path(os.environ.get("PROGRAM", ROOT / "target/release/platform"))
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
MAX_RUN_S = 110
REGIONS = {"z1": "east", "z2": "east", "z3": "west"}
# One way, between zones of a region and between regions.
ZONE_S, REGION_S = 0.0005, 0.030
CONTROL_PORT, CALLER_PORT, READY_PORT, METRICS_PORT = 7001, 7002, 7003, 9464
DATABASE_PORT, AUTHORITY_PORT = 7400, 7500


class CaseError(Exception):
    """The case could not run."""


class Recorder:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def one_way(zone, other):
    """Delay of a message between two zones."""
    return ZONE_S if REGIONS.get(zone) == REGIONS.get(other) else REGION_S


class Commit:
    def __init__(self, term, number, writes):
        self.term, self.number, self.writes = term, number, writes
        self.held_by_replica = asyncio.Event()


class Database:
    """A database of a group, with its own log."""

    def __init__(self, group, name, ip, zone):
        self.group, self.id, self.ip, self.zone = group, name, ip, zone
        self.role, self.term, self.log = "replica", group.term, []
        self.up, self.receiving, self.draining = False, True, False
        self.server, self.connections, self.sequence = None, set(), 0
        self.born, self.awake = 0, asyncio.Event()
        self.awake.set()

    @property
    def address(self):
        return f"{self.ip}:{DATABASE_PORT}"

    @property
    def position(self):
        return (self.log[-1].term, self.log[-1].number) if self.log else (self.term, 0)

    def position_text(self):
        return "%d.%d" % (max(self.term, self.position[0]), self.position[1])

    def requests(self):
        """Ids of the writes in the log."""
        return {write[0] for commit in self.log for write in commit.writes}

    def value(self, item):
        for commit in reversed(self.log):
            for _id, name, data in reversed(commit.writes):
                if name == item:
                    return data
        return None

    async def start(self):
        self.born, self.sequence, self.up = int(time.time() * 1000), 0, True
        self.server = await asyncio.start_server(
            self.serve, self.ip, DATABASE_PORT, limit=1 << 20
        )
        self.beats = asyncio.create_task(self.announce())
        self.group.record(f"database {self.id} starts at {self.address} as {self.role}")
        primary = self.group.primary()
        if self.role == "replica" and primary and primary.up:
            # A new replica copies the log of the primary.
            self.term, self.log = self.group.term, list(primary.log)
            for commit in self.log:
                commit.held_by_replica.set()

    def crash(self):
        """Ends like a killed process: connections are reset and nothing is announced."""
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record(f"database {self.id} crashes at {self.position_text()}")

    async def drain(self):
        """Announces that it will stop. It serves on meanwhile, for `DrainMs` and a little longer."""
        self.draining = True
        self.group.record(f"database {self.id} is draining")
        await self.beat()

    async def announce(self):
        while True:
            await self.awake.wait()
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        self.sequence += 1
        body = {
            "Service": self.group.name, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": 2, "State": "draining" if self.draining else "ready",
            "ColdLeftMs": 0, "DbRole": self.role, "Seq": self.sequence, "born": self.born,
        }
        await self.group.world.call_control("PUT", f"/-/instances/{self.id}", json.dumps(body))

    # Replication.

    def commit(self, writes):
        commit = Commit(self.term, self.position[1] + 1, writes)
        self.log.append(commit)
        for replica in self.group.replicas_of(self):
            self.send(replica, commit)
        return commit

    def send(self, replica, commit):
        delay = one_way(self.zone, replica.zone)
        asyncio.get_running_loop().call_later(delay, replica.receive, self, commit)

    def receive(self, primary, commit):
        if not (self.up and self.awake.is_set()) or self.role != "replica" or primary is not self.group.primary():
            return
        if self.receiving and commit.number == self.position[1] + 1:
            self.log.append(commit)
            commit.held_by_replica.set()

    def freeze(self):
        """Answers, announces and receives nothing until `thaw`."""
        self.awake.clear()
        self.group.record(f"database {self.id} freezes at {self.position_text()}")

    def thaw(self):
        self.awake.set()
        self.group.record(f"database {self.id} thaws at {self.position_text()}")
        if self is not self.group.primary():
            asyncio.get_running_loop().call_later(1.0, self.group.demote, self)

    def stop_receiving(self):
        self.receiving = False
        self.group.record(f"database {self.id} receives nothing from now on, at {self.position_text()}")

    # The wire.

    async def serve(self, reader, writer):
        """Serves a connection; each direction has the delay between the two zones."""
        self.connections.add(writer)
        peer = self.group.world.zone_of(writer.get_extra_info("peername")[0])
        delay, loop = one_way(self.zone, peer), asyncio.get_running_loop()
        lines = asyncio.Queue()

        async def receive():
            line = ""
            while line is not None:
                line = await self.read_line(reader)
                await lines.put((loop.time() + delay, line))

        async def next_line():
            at, line = await lines.get()
            await asyncio.sleep(at - loop.time())
            await self.awake.wait()
            return line

        def send(text):
            loop.call_later(delay, writer.write, text.encode())

        session = {"values": {}, "prepared": {}, "open": None, "readonly": False}
        receiving = asyncio.create_task(receive())
        try:
            words = (await next_line() or "").split(" ")
            if words[0] != "CONNECT" or words[1] != self.group.name or (
                len(words) > 3 and words[3] != self.id
            ):
                send("ERROR WRONGNODE \r\n")
                return
            await asyncio.sleep(0.012)
            send(f"READY I {self.position_text()}\r\n")
            while (line := await next_line()) not in (None, "QUIT"):
                _word, request, text = line.split(" ", 2)
                rows, outcome = await self.run(session, request, text)
                await self.awake.wait()
                if not self.up:
                    return
                state = "I" if session["open"] is None else "T"
                answer = "".join(f"ROW {row}\r\n" for row in rows)
                send(f"{answer}{outcome}\r\nREADY {state} {self.position_text()}\r\n")
        finally:
            receiving.cancel()
            self.connections.discard(writer)
            loop.call_later(2 * delay, writer.close)

    @staticmethod
    async def read_line(reader):
        """Reads a line, which ends with CR LF."""
        try:
            line = await reader.readuntil(b"\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return None
        return line[:-2].decode()

    async def run(self, session, request, text):
        after, text = (0, 0), text
        if text.startswith("AFTER "):
            _after, wanted, text = text.split(" ", 2)
            after = tuple(int(part) for part in wanted.split("."))
        done = f"COMPLETE {self.id}.{request}.{zlib.crc32((request + text).encode()):08x}"
        word, _blank, rest = text.partition(" ")
        if request != "-" or word not in ("STATUS", "RESET", "SET", "ROLLBACK"):
            self.group.record(f"{self.id} runs {request} {text!r}")
        if after > self.position and word in ("FETCH", "BEGIN", "EXECUTE"):
            return [], "ERROR LAGGING behind"
        if word == "STATUS":
            return [f"{self.role} {self.term} {self.position_text()} 0 0 0 {len(self.connections)}"], "COMPLETE -"
        if word == "STEPDOWN":
            if self.role == "primary" and self.term < int(rest):
                self.group.follow(self)
            return [f"{self.role} {self.term} {self.position_text()} 0 0 0 1"], "COMPLETE -"
        if word == "SET":
            name, _blank, value = rest.partition(" ")
            session["values"][name] = value
            return [], "COMPLETE -"
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return [], "COMPLETE -"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session["prepared"][name] = (kind, shape)
            return [], "COMPLETE -"
        if word == "DEALLOC":
            session["prepared"].pop(rest, None)
            return [], "COMPLETE -"
        if word == "BEGIN":
            if rest != "FETCH" and self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            session["open"], session["readonly"] = [], rest == "FETCH"
            return [], done
        if word == "ROLLBACK":
            session["open"] = None
            return [], done
        if word == "COMMIT":
            writes, session["open"] = session["open"] or [], None
            if writes and self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            if writes:
                await self.commit(writes).held_by_replica.wait()
            return [], done
        if word == "EXECUTE":
            name, _blank, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return [], f"ERROR NOSTMT {name}"
            word = session["prepared"][name][0]
        item, _blank, data = rest.partition(" ")
        await asyncio.sleep(0.003)
        if word == "FETCH":
            value = self.value(item)
            return ([] if value is None else [value]), done
        if word == "STORE":
            if self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            write = (request, item, data)
            if session["open"] is not None:
                session["open"].append(write)
                return [], done
            commit = self.commit([write])
            self.group.written[request] = (item, data)
            await commit.held_by_replica.wait()
            return [], done
        return [], "ERROR MALFORMED text"


class Group:
    """The databases of one service."""

    def __init__(self, world, name):
        self.world, self.name, self.record = world, name, world.record
        self.term, self.leader, self.databases, self.written = 1, None, {}, {}
        self.promoted, self.at_promotion = [], None

    def primary(self):
        return self.databases.get(self.leader)

    def replicas_of(self, primary):
        if primary is not self.primary():
            return []
        return [d for d in self.databases.values() if d.up and d is not primary and d.role == "replica"]

    def add(self, name, ip, zone, primary=False):
        database = Database(self, name, ip, zone)
        self.databases[name] = database
        if primary:
            database.role, self.leader = "primary", name
        return database

    def follow(self, database):
        """Makes a database a replica of the present primary, with the primary's log."""
        primary = self.primary()
        database.role, database.term = "replica", self.term
        if not database.receiving:
            return
        database.log = list(primary.log)
        for commit in database.log:
            commit.held_by_replica.set()

    def promote(self, name):
        """Makes a database the primary of the next term, with what it has received."""
        before = self.primary()
        database = self.databases[name]
        self.term += 1
        self.leader = name
        database.role, database.term = "primary", self.term
        self.record(f"database {name} leads term {self.term} with a log of {len(database.log)} commits")
        self.promoted.append((name, database.requests()))
        if self.at_promotion:
            self.at_promotion(database)
        for other in self.databases.values():
            awake = other.up and other.awake.is_set()
            if awake and other is not database and other is not before:
                self.follow(other)
        if before and before.up and before is not database:
            asyncio.get_running_loop().call_later(1.0, self.demote, before)

    def demote(self, database):
        """A former primary that reaches the new one becomes a replica."""
        if database.up and database.awake.is_set() and database is not self.primary():
            self.follow(database)


class World:
    """The deployment: processes of the system, and the stand-ins around them."""

    def __init__(self, folder):
        self.record = Recorder(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = self.free_net()
        self.control = [f"127.{self.net}.{i}" for i in (2, 3, 4)]
        self.entries, self.processes, self.groups, self.promotes = [], {}, {}, []
        self.turn, self.authority = 0, None

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"{random.randint(10, 250)}.{random.randint(0, 250)}"
            try:
                for host, port in ((2, CONTROL_PORT), (2, 7100), (11, CALLER_PORT), (31, DATABASE_PORT)):
                    with socket.socket() as test:
                        test.bind((f"127.{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CaseError("no free loopback addresses")

    def ip(self, host):
        return f"127.{self.net}.{host}"

    def zone_of(self, ip):
        """Zone of the process that has an address."""
        zones = [p["zone"] for p in self.processes.values() if p["ip"] == ip]
        return zones[0] if zones else None

    # Processes of the system.

    def write_settings(self, name, role, zone, ip, own, bootstrap):
        seeds = ", ".join(f'"{control}:{CONTROL_PORT}"' for control in self.control)
        (self.folder / f"{name}.toml").write_text(
            f'name = "{name}"\nzone = "{zone}"\nregion = "{REGIONS[zone]}"\nhost = "{ip}"\n{own}'
            f"seeds = [{seeds}]\nports = [7100, 7110]\nmetrics = {METRICS_PORT}\n"
            f"bootstrap = {str(bootstrap).lower()}\nlosses = 1\n"
            f'authority = "{self.ip(1)}:{AUTHORITY_PORT}"\ngrace_s = 6\n\n'
            + "[zones]\n" + "".join(f'"{z}" = "{r}"\n' for z, r in REGIONS.items())
        )
        self.processes[name] = {"role": role, "zone": zone, "ip": ip, "own": own, "child": None}

    def add_control(self, name, ip, zone, bootstrap=True):
        own = f'control = "{ip}:{CONTROL_PORT}"\ndata = "{self.folder}/data-{name}"\n'
        self.write_settings(name, "control", zone, ip, own, bootstrap)
        self.spawn(name)

    def add_entry(self, name, ip, zone):
        own = f'callers = "{ip}:{CALLER_PORT}"\nready = "{ip}:{READY_PORT}"\n'
        self.write_settings(name, "entry", zone, ip, own, True)
        self.entries.append((name, ip))
        self.spawn(name)

    def spawn(self, name):
        process = self.processes[name]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["GOLDCRESTRAIL_NODE_FILE"] = str(self.folder / f"{name}.toml")
        with open(self.folder / f"{name}.log", "a", encoding="utf-8") as log:
            process["child"] = subprocess.Popen(
                [PROGRAM, process["role"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"process {name} starts")

    def control_process(self, host):
        """Name of the process of a control host, which are numbered by address."""
        address = self.control[int(host.rpartition("-")[2]) - 1]
        return next(name for name, process in self.processes.items() if process["ip"] == address)

    def signal(self, name, number):
        self.processes[name]["child"].send_signal(number)
        self.record(f"process {name} gets {signal.Signals(number).name}")

    def log_lines(self, words):
        """Log lines of the control processes that contain one of the words."""
        for name, process in self.processes.items():
            if process["role"] == "control":
                for line in (self.folder / f"{name}.log").read_text(encoding="utf-8").splitlines():
                    if any(word in line for word in words):
                        yield f"{name} {line}"

    def end(self):
        for process in self.processes.values():
            child = process["child"]
            if child and child.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                child.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # HTTP.

    async def http(self, ip, port, method, path, body="", limit=1.0):
        async def exchange():
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                data = body.encode()
                head = f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
                head, _blank, rest = answer.partition(b"\r\n\r\n")
                return int(head.split(b" ")[1]), rest.decode()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), limit)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return 0, ""

    async def call_control(self, method, path, body):
        """Sends a call to one control host after the other until one answers with success."""
        self.turn += 1
        for i in range(len(self.control)):
            ip = self.control[(self.turn + i) % len(self.control)]
            status, _body = await self.http(ip, CONTROL_PORT, method, path, body)
            if 200 <= status < 300:
                return status
        return 0

    async def configure(self, version, routes, services, limits=None):
        body = json.dumps({
            "Version": version, "Routes": routes, "Services": services,
            "Limits": limits or {"TxIdleMs": 3000},
        })
        for _ in range(60):
            if await self.call_control("PUT", "/-/config", body):
                self.record(f"config version {version} acked")
                return
            await asyncio.sleep(0.25)
        raise CaseError(f"config version {version} was not accepted")

    async def start_authority(self):
        async def serve(reader, writer):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = {}
                for line in head.decode().split("\r\n")[1:]:
                    name, _colon, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
                status = self.accept_promotion(headers, body)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()

        self.authority = await asyncio.start_server(serve, self.ip(1), AUTHORITY_PORT)

    def accept_promotion(self, headers, body):
        group = self.groups.get(body["Service"])
        database = group and group.databases.get(body["Id"])
        self.record(f"platform gets promote {body} by {headers.get('duty-holder')} "
                    f"token {headers.get('fence-token')}")
        self.promotes.append((body, headers.get("duty-holder"), int(headers.get("fence-token", 0))))
        if not database or not database.up:
            return 409
        if group.leader != database.id:
            asyncio.get_running_loop().call_later(PROMOTE_S, group.promote, database.id)
        return 200

    async def leader(self):
        """Name of the control process that leads."""
        for _ in range(200):
            for name, process in self.processes.items():
                if process["role"] == "control":
                    status, body = await self.http(process["ip"], METRICS_PORT, "GET", "/dump")
                    if status == 200 and json.loads(body).get("leader"):
                        return name
            await asyncio.sleep(0.1)
        raise CaseError("no control process leads")

    # Start of the whole deployment.

    async def start(self, entries=3):
        if not PROGRAM.exists():
            raise CaseError(f"{PROGRAM} is missing; build it first")
        await (self.authority.start() if self.authority else self.start_authority())
        for i, ip in enumerate(self.control, 1):
            self.add_control(f"core-{i}", ip, f"z{i}")
        for i in range(1, entries + 1):
            self.add_entry(f"front-{i}", self.ip(10 + i), f"z{(i - 1) % 3 + 1}")

    async def wait_served(self, route):
        """Waits until every entry process is ready and serves a write."""
        for name, ip in self.entries:
            for attempt in range(200):
                status, _body = await self.http(ip, READY_PORT, "GET", "/-/ready")
                if status == 200:
                    with contextlib.suppress(Exception):
                        client = await Client.connect(self, ip, route)
                        answer = await client.execute(f"STORE warm-{name} {attempt}")
                        client.close()
                        if answer.ok:
                            break
                await asyncio.sleep(0.1)
            else:
                raise CaseError(f"{name} does not serve")


class Load:
    """Clients that write without end, each item once. `acked` holds item by request id."""

    def __init__(self, world, route, writers, pause_s, entries):
        self.world, self.route, self.pause_s = world, route, pause_s
        self.acked, self.acked_at, self.errors, self.stopped = {}, [], {}, False
        self.tasks = [
            asyncio.create_task(self.write(entries[i % len(entries)][1])) for i in range(writers)
        ]

    async def write(self, ip):
        client = None
        while not self.stopped:
            try:
                client = client or await Client.connect(self.world, ip, self.route)
                item = f"i{random.getrandbits(48):012x}"
                answer = await client.execute(f"STORE {item} {item[::-1]}")
                if answer.ok:
                    self.acked[client.request] = item
                    self.acked_at.append(time.monotonic())
                else:
                    self.errors[answer.outcome] = self.errors.get(answer.outcome, 0) + 1
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if client:
                    client.close()
                client = None
                await asyncio.sleep(0.1)
            await asyncio.sleep(random.uniform(0.5, 1.5) * self.pause_s)

    def longest_gap(self):
        """Longest time without an acknowledgement since the first one, in seconds."""
        later = [*self.acked_at[1:], time.monotonic()]
        return max((b - a for a, b in zip(self.acked_at, later)), default=0.0)

    def stop(self):
        self.stopped = True
        for task in self.tasks:
            task.cancel()


class PromotionCheck:
    """Compares the log of each promoted database with the commits acknowledged so far."""

    def __init__(self, group, load):
        self.group, self.load, self.rolled_back, self.broken = group, load, set(), []
        group.at_promotion = self.check

    def check(self, database):
        lost = set(self.load.acked) - database.requests() - self.rolled_back
        self.rolled_back |= lost
        if lost:
            held = {d.id: len(lost & d.requests()) for d in self.group.databases.values()}
            self.broken.append(
                f"LOST: {database.id} was promoted to term {self.group.term} without {len(lost)} of "
                f"{len(self.load.acked)} acknowledged commits; databases that hold them: {held}"
            )
            self.group.record(self.broken[-1])


async def lost_commits(world, group, load, before):
    """Checks that the promoted database holds the commits that were acknowledged before."""
    if not group.promoted:
        world.record("no database was promoted; nothing is lost")
        return []
    name, held = group.promoted[0]
    lost = {request: item for request, item in before.items() if request not in held}
    if not lost:
        return []
    broken = [f"LOST: {name} was promoted without {len(lost)} of {len(before)} acknowledged commits"]
    client = await Client.connect(world, world.entries[0][1], load.route)
    for request, item in list(lost.items())[-5:]:
        answer = await client.execute(f"FETCH {item}")
        if answer.ok and not answer.rows:
            broken.append(f"the item {item} of the acknowledged write {request} is gone")
    return broken


class Answer:
    def __init__(self, rows, outcome, state):
        self.rows, self.outcome, self.state = rows, outcome, state
        self.ok = outcome.startswith("COMPLETE")


class Client:
    """A session of a client."""

    count = 0

    @classmethod
    async def connect(cls, world, ip, route):
        client = cls()
        client.world, client.route, client.ip = world, route, ip
        client.reader, client.writer = await asyncio.open_connection(ip, CALLER_PORT, limit=1 << 20)
        client.writer.write(f"CONNECT {route} u1\r\n".encode())
        line = await client.line(2)
        if not line.startswith("READY"):
            client.close()
            raise ConnectionError(line)
        return client

    async def line(self, limit):
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)
        return line[:-2].decode()

    async def execute(self, text, request=None, limit=5):
        """Runs a statement. Raises an error if the connection ends or no answer comes."""
        if request is None:
            Client.count += 1
            request = f"{random.getrandbits(32):08x}{Client.count:08x}"
        self.request = request
        self.world.record(f"client -> {self.ip} {self.route}: {request} {text!r}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        rows = []
        while True:
            line = await self.line(limit)
            if line.startswith("ROW"):
                rows.append(line[4:])
                continue
            state = await self.line(limit)
            self.world.record(f"client <- {request} rows {rows} {line} / {state}")
            return Answer(rows, line, state)

    def close(self):
        self.writer.close()


def route(name, kind, service, timeout_ms=800, stale_ms=None):
    found = {"Name": f"r-{name}", "Host": name, "PathPrefix": "/", "Type": kind, "TimeoutMs": timeout_ms,
             "SloMs": 800, "Priority": 1, "Service": service, "Attempts": 2}
    if stale_ms:
        found["MaxStalenessMs"] = stale_ms
    return found


def service(name, connections=16):
    return {"Name": name, "HealthPath": "/health", "MaxConns": connections, "Protocol": "h1",
            "Tls": False, "SyncReplicas": 1}


def main(folder, case):
    """Runs `case(world, trouble)`, which returns the broken rules, and exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(folder)

        def leave(code):
            """Ends all processes and this one. Open connections need no orderly end."""
            world.end()
            sys.stdout.flush()
            os._exit(code)

        # Ends a run that does not end by itself, or that is told to end.
        watchdog = threading.Timer(MAX_RUN_S + 3, leave, [2])
        watchdog.daemon = True
        watchdog.start()
        signal.signal(signal.SIGTERM, lambda *_: leave(2))
        try:
            broken = await asyncio.wait_for(case(world, trouble), MAX_RUN_S)
        except (CaseError, asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as cause:
            world.record(f"the case could not run: {cause!r}")
            print(f"the case could not run: {cause!r}")
            leave(2)
        except BaseException:
            traceback.print_exc()
            leave(2)
        for line in broken:
            world.record(f"BROKEN {line}")
            print(line)
        print("broken" if broken else "held")
        leave(1 if broken else 0)

    asyncio.run(play())
