"""A replica is being replaced; both old replicas receive nothing, and the primary crashes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import world as w

SERVICE, ROUTE = "records", "filing"
# The writers make 40 to 60 commits a second.
PAUSE_S = 0.1


async def case(world, trouble):
    await world.start()
    # One database in each zone, the primary in the region where the leader is not.
    leader = world.processes[await world.leader()]["zone"]
    zones, writers = (("z1", "z2", "z3"), 6) if leader == "z3" else (("z3", "z1", "z2"), 7)
    near = [entry for entry in world.entries if world.zone_of(entry[1]) == zones[0]]
    group = world.groups[SERVICE] = w.Group(world, SERVICE)
    a = group.add("i-a", world.ip(31), zones[0], primary=True)
    b = group.add("i-b", world.ip(32), zones[1])
    c = group.add("i-c", world.ip(33), zones[2])
    for database in (a, b, c):
        await database.start()
    await world.configure(1, [w.route(ROUTE, "primary", SERVICE)], [w.service(SERVICE, 30)])
    await world.wait_served(ROUTE)
    load = w.Load(world, ROUTE, writers, PAUSE_S, near)
    await asyncio.sleep(2)

    world.record("the replica i-c is replaced: i-n starts first, then i-c drains")
    n = group.add("i-n", world.ip(34), zones[2])
    await n.start()
    await c.drain()
    await asyncio.sleep(1)
    if trouble:
        b.stop_receiving()
        c.stop_receiving()
    await asyncio.sleep(1.5)
    before = dict(load.acked)
    if trouble:
        a.crash()
    world.record(f"{len(before)} writes are acknowledged")
    for _ in range(150 if trouble else 20):
        if group.promoted:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    load.stop()
    return await w.lost_commits(world, group, load, before)


w.main(Path(__file__).resolve().parent, case)
