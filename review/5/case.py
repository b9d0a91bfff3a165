"""A client runs a prepared write whose data ends with blanks."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import world as w

SERVICE, ROUTE = "records", "filing"


async def case(world, trouble):
    await world.start()
    group = world.groups[SERVICE] = w.Group(world, SERVICE)
    for i, name in enumerate(("i-a", "i-b", "i-c"), 1):
        await group.add(name, world.ip(30 + i), f"z{i}", primary=i == 1).start()
    await world.configure(1, [w.route(ROUTE, "primary", SERVICE)], [w.service(SERVICE, 30)])
    await world.wait_served(ROUTE)
    client = await w.Client.connect(world, world.entries[0][1], ROUTE)
    data = "9000 EUR" + ("  " if trouble else "")
    await client.execute(f"STORE plain {data}")
    await client.execute("PREPARE s1 STORE q2c")
    answer = await client.execute(f"EXECUTE s1 prepared {data}")
    read = await client.execute("FETCH prepared")
    stored = group.primary().value("prepared")
    world.record(f"plain statement stored {group.primary().value('plain')!r}, prepared one {stored!r}")
    if answer.ok and stored != data:
        return [f"UNASKED: an acknowledged write ran with changed text: sent {data!r}, stored {stored!r}, "
                f"read back {read.rows}"]
    return []


w.main(Path(__file__).resolve().parent, case)
