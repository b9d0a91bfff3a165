"""A client stores a text of several lines, separated by LF. Only CR LF ends a message."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import world as w

SERVICE, ROUTE = "records", "filing"


async def store(world, item, data):
    """Stores data in a session of its own and returns the answer, or None if there was none."""
    client = await w.Client.connect(world, world.entries[0][1], ROUTE)
    try:
        return await client.execute(f"STORE {item} {data}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        client.close()


async def case(world, trouble):
    await world.start()
    group = world.groups[SERVICE] = w.Group(world, SERVICE)
    for i, name in enumerate(("i-a", "i-b", "i-c"), 1):
        await group.add(name, world.ip(30 + i), f"z{i}", primary=i == 1).start()
    await world.configure(1, [w.route(ROUTE, "primary", SERVICE)], [w.service(SERVICE, 30)])
    await world.wait_served(ROUTE)
    separator = "\n" if trouble else " "
    report = separator.join(("koi pond of 3 m depth", "filter to be replaced"))
    quoted = separator.join(("mail of the estate:", "QUERY 77aa77aa77aa77aa STORE p2 9000", "regards"))
    answers = {"p1": await store(world, "p1", report), "p3": await store(world, "p3", quoted)}
    sent = {"p1": report, "p3": quoted}
    await asyncio.sleep(1)
    broken = []
    primary = group.primary()
    for item, data in sent.items():
        stored = primary.value(item)
        world.record(f"{item}: sent {data!r}, stored {stored!r}")
        if stored is not None and stored != data:
            told = "acknowledged" if answers[item] and answers[item].ok else "not acknowledged"
            broken.append(f"UNASKED: a write ran with changed text ({told}): sent {data!r}, stored {stored!r}")
    if "77aa77aa77aa77aa" in group.written:
        broken.append("UNASKED: a request ran that was smuggled inside another: "
                      f"77aa77aa77aa77aa {group.written['77aa77aa77aa77aa']}")
    return broken


w.main(Path(__file__).resolve().parent, case)
