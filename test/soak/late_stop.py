"""Requests that come late in a planned stop: they are answered, or refused as not run."""

import asyncio
import time

import callers
import fleet

# Index of the node that is stopped, and how long callers may keep its addresses.
STOPPED = 1
LIFETIME_S = 2
# Work of each request, so that some cannot end before the node does.
WORK_S = 2.5
LEARNED = 24
PAUSE_S = 0.4
# Requests are sent until so long before the node must have ended.
LAST_BEFORE_END_S = 0.4


async def send(node, outcomes, kind, seed):
    """One request on a connection of its own, to this node."""
    caller = callers.Caller([node], outcomes, seed)
    caller.known, caller.known_until = [node.served_at], time.monotonic() + 60.0
    await caller.send(kind)
    caller.close()


async def check(run):
    """Stops a node in calm while callers that still have its address send slow requests to it."""
    node = run.nodes[STOPPED]
    kinds = [kind for kind in callers.ASSURED if not kind.is_large]
    for each in run.upstreams:
        each.slow_s = WORK_S
    # The node learns how long its requests take.
    await asyncio.gather(*(send(node, run.outcomes, kinds[index % len(kinds)], run.random.random())
                           for index in range(LEARNED)))
    outcomes = []
    stopped_at = time.monotonic()
    stopping = asyncio.create_task(run.stop(node))
    sending = []
    while time.monotonic() < stopped_at + fleet.STOP_LIMIT_S - LAST_BEFORE_END_S:
        kind = kinds[len(sending) % len(kinds)]
        sending.append(asyncio.create_task(send(node, outcomes, kind, run.random.random())))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*sending)
    await stopping
    for each in run.upstreams:
        each.slow_s = 0.0
    run.outcomes += outcomes
    failed = [outcome for outcome in outcomes if outcome.attempt in run.ledger.runs and
              not (outcome.status == 200 and outcome.whole) and
              outcome.ended - outcome.sent < callers.NO_EXCUSE_S]
    ran = sum(outcome.attempt in run.ledger.runs for outcome in outcomes)
    run.note(f"late in a stop: {len(outcomes)} sent, {ran} run, {len(failed)} not answered")
    for outcome in failed:
        run.broken.append(f"{outcome.attempt}: {outcome.kind.name} sent {outcome.sent - stopped_at:.1f} s after "
                          f"a stop began has run and got {outcome.status}, whole: {outcome.whole}")
