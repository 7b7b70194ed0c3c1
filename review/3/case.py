"""A server's entry goes from the store while the store cuts off watches that wait."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (PORTS, TROUBLE, ZONES, Machine, Server, Store, call, make_config, make_route,
                     play)

HOST = "ficu95.example"
DRAIN_S = 2.0
CUT_WATCHES_AFTER_S = 2.0
# How much longer than `drain_ms` the server that leaves goes on serving.
SERVES_ON_S = 8.0
REQUESTS_PER_S = 75


async def send(machine, sent, answers, record):
    attempt = f"{random.getrandbits(64):016x}"
    sent[attempt] = record.now()
    record.write(f"sent {attempt} to {machine.name}")
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": 1500,
               "Authorization": "Bearer key-of-one"}
    try:
        status, _, _ = await call(machine.host, PORTS["front"], "POST", "/charge/1", headers,
                                  b"pay", limit=3.0)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    answers[attempt] = status
    record.write(f"answered {attempt} {status}")


async def case(record, prefix, work, machines):
    store = Store()
    await store.start(f"{prefix}.100", 8225)
    at = f"{prefix}.100:8225"
    store.put("config", "main", make_config(
        3, "access-core", [{"name": "one", "api_keys": ["key-of-one"], "prio": 0}],
        [make_route("charge", "access-core", kind="nonidempotent", attempts=1)]))
    servers = []
    for index in range(3):
        server = Server(f"i-{index:08x}", "access-core", ZONES[index], store, record, work_s=0.12)
        await server.start(f"{prefix}.{101 + index}", 9000)
        servers.append(server)
    seeds = [f"{prefix}.{index}:{PORTS['control']}" for index in (1, 2, 3)]
    for index in range(3):
        machines.append(Machine(f"edge-{ZONES[index]}-1", f"{prefix}.{index + 1}", ZONES[index],
                                seeds, at, work))
    for each in machines:
        await each.start()
    for each in machines:
        await each.wait_ready()
    if TROUBLE:
        store.cut_watches_after_s = CUT_WATCHES_AFTER_S
        record.write(f"disruption: watches that hear nothing for {CUT_WATCHES_AFTER_S} s are cut off")
    await asyncio.sleep(12)

    sent, answers, tasks = {}, {}, []
    begins, count = record.now(), 0
    gone_at = exited_at = None
    gone = servers[0]
    while record.now() - begins < 18.0:
        if gone_at is None and record.now() - begins > 4.0:
            gone.leave_unannounced()
            gone_at = record.now()
            record.write(f"the store has removed the entry of {gone.name}")
        if gone_at is not None and exited_at is None and \
                record.now() > gone_at + DRAIN_S + SERVES_ON_S:
            gone.exit()
            exited_at = record.now()
            record.write(f"{gone.name} has exited")
        tasks.append(asyncio.create_task(send(random.choice(machines), sent, answers, record)))
        count += 1
        await asyncio.sleep(max(0.0, begins + count / REQUESTS_PER_S - record.now()))
    await asyncio.gather(*tasks)

    late = [run for run in gone.runs if run["at"] > gone_at + DRAIN_S
            and sent[run["attempt"]] > gone_at + DRAIN_S]
    last = max((run["at"] - gone_at for run in late), default=0.0)
    lost = [run["attempt"] for run in late if answers.get(run["attempt"]) != 200]
    ended = [each.name for each in machines if not each.runs()]
    text = (f"DRAIN: {len(late)} requests reached {gone.name} more than {DRAIN_S} s after the store "
            f"had removed its entry, the last {last:.2f} s after; {len(lost)} of them got no answer "
            f"of the server; sent {len(sent)}, watches cut {store.cuts}, ended processes: {ended}")
    record.write(text)
    print(text)
    return len(late) > 0


play(FOLDER / "record.txt", case)
