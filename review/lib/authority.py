"""Promotion authority with a delay between call and effect, and a relay that can hold calls to it."""

import asyncio
import json
import time

from world import AUTHORITY_PORT

EFFECT_S = 1.0
RELAYED_PORT = AUTHORITY_PORT + 1


class Call:
    """A promotion call as the authority saw it. Times are in seconds of the monotonic clock."""

    def __init__(self, holder, token, service, target):
        self.holder, self.token, self.service, self.target = holder, token, service, target
        self.arrived, self.answered, self.effect = time.monotonic(), None, None

    def __str__(self):
        return f"promote {self.target} by {self.holder} token {self.token}"


class Reply:
    """What the authority does with a call. `delay` None: the answer is lost."""

    def __init__(self, status=200, delay=0.0):
        self.status, self.delay = status, delay


class Authority:
    """Accepts each valid call and checks no fence. `decide(call)` returns the `Reply` to a call."""

    def __init__(self, world, decide=lambda call: Reply()):
        self.world, self.decide, self.calls = world, decide, []
        self.relay = Relay(world)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.world.ip(1), RELAYED_PORT)
        await self.relay.start()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = [line.partition(":") for line in head.decode().split("\r\n")[1:]]
            headers = {name.lower(): value.strip() for name, _colon, value in lines}
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            call = Call(headers["duty-holder"], int(headers["fence-token"]), body["Service"], body["Id"])
            reply = self.accept(call)
            if reply.delay is None:
                await reader.read()
                return
            await asyncio.sleep(reply.delay)
            writer.write(f"HTTP/1.1 {reply.status} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            call.answered = time.monotonic()
            self.world.record(f"authority answers {reply.status} to {call}")
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    def accept(self, call):
        group = self.world.groups[call.service]
        database = group.databases.get(call.target)
        self.calls.append(call)
        self.world.record(f"authority gets {call}")
        reply = self.decide(call)
        if reply.status == 200 and not (database and database.up):
            reply = Reply(409, reply.delay)
        if reply.status == 200 and group.leader != call.target:
            asyncio.get_running_loop().call_later(EFFECT_S, self.take_effect, group, call)
        return reply

    def take_effect(self, group, call):
        call.effect = time.monotonic()
        self.world.record(f"takes effect {call.effect - call.arrived:.3f} s after arrival: {call}")
        group.promote(call.target)

    def summary(self):
        """A line for each call; `-` stands for what did not happen."""
        def since(call, moment):
            return "-" if moment is None else f"{moment - call.arrived:.3f}"

        start = self.world.record.start
        return [f"{call.arrived - start:8.3f} {call} answered {since(call, call.answered)} "
                f"effect {since(call, call.effect)}" for call in self.calls]


class Relay:
    """Path from the control processes to the authority.

    Calls that arrive while `holding` stay in the relay until `deliver`, also if the sender has closed
    its connection. Those whose sender has reset it are dropped, as on a real path.
    """

    def __init__(self, world):
        self.world, self.holding, self.delivered = world, False, asyncio.Event()
        self.held = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.world.ip(1), AUTHORITY_PORT)

    def deliver(self):
        self.holding = False
        self.delivered.set()

    async def serve(self, reader, writer):
        held = self.holding
        backward = None
        try:
            data = await reader.read(65536)
            if held and data:
                self.held.append(json.loads(data.partition(b"\r\n\r\n")[2])["Id"])
                self.world.record(f"relay holds a call for {self.held[-1]}")
                await self.delivered.wait()
            if reader.exception() or not data:
                self.world.record(f"relay drops a call: {reader.exception()!r}")
                return
            if held:
                self.world.record("relay delivers a held call")
            onward, target = await asyncio.open_connection(self.world.ip(1), RELAYED_PORT)
            target.write(data)
            backward = asyncio.create_task(self.copy(onward, writer))
            await self.copy(reader, target)
            await asyncio.wait([backward], timeout=10)
            target.close()
        except OSError as cause:
            self.world.record(f"relay drops a call: {cause!r}")
        finally:
            if backward:
                backward.cancel()
            writer.close()

    @staticmethod
    async def copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
