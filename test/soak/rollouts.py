"""Roll-outs of a new version of a service, ordered while callers ask, and what must hold of them."""

import asyncio
import time

import callers
import upstreams

OVER_S = 12.0
POLL_S = 0.1
# Of a version that is slow, and of one that fails.
SLOW_FACTOR = 4.0
FAILING_SHARE = 0.4
DRAIN_S = 2.0
# A bad version may have this share of the requests and so many more, and none that is sent later
# than so long after so many bad answers.
MOST_SHARE = 0.1
MOST_BEYOND = 50
BAD_ANSWERS = 50
TAKEN_BACK_S = 5.0


def check_exposure(outcomes, ledger, target, version, ordered, deadline):
    """Every way in which a bad version got too many requests, as text."""
    runs = [run for each in ledger.runs.values() for run in each if run.target == target]
    asked = {run.attempt for run in runs if ordered <= run.began <= deadline}
    exposed = {run.attempt for run in runs if run.version == version and run.attempt in asked}
    broken = []
    if len(exposed) > MOST_SHARE * len(asked) + MOST_BEYOND:
        broken.append(f"EXPOSURE: {len(exposed)} of {len(asked)} requests at {target} {version}")
    bad = sorted(ledger.bad_answers)
    if len(bad) >= BAD_ANSWERS:
        until = bad[BAD_ANSWERS - 1] + TAKEN_BACK_S
        sent = {outcome.attempt: outcome.sent for outcome in outcomes}
        late = [sent[run.attempt] - until for run in runs
                if run.version == version and sent.get(run.attempt, 0.0) > until]
        if late:
            broken.append(f"EXPOSURE: {len(late)} requests at {target} {version}, the last sent "
                          f"{max(late) + TAKEN_BACK_S:.1f} s after its {BAD_ANSWERS}th bad answer")
    return broken


async def wait_for_end(run, until):
    """The state in which the store's document ends, or the last one seen."""
    state = None
    while time.monotonic() < until:
        state = await run.store.read_state("rollouts", "lm")
        if state in ("complete", "reverted"):
            break
        await asyncio.sleep(POLL_S)
    return state


async def play(run, how):
    """One roll-out of `lm` to v2, which is good, slow or failing."""
    old = [each for each in run.upstreams if each.target == "lm"]
    new = [upstreams.Upstream(f"new-{index}", "lm", each.slots, run.ledger, run.store, run.random,
                              "v2") for index, each in enumerate(old)]
    for each in new:
        each.pace = SLOW_FACTOR if how == "slow" else 1.0
        each.failing = FAILING_SHARE if how == "failing" else 0.0
        await run.add(each)
    asking = [callers.Caller(run.nodes, run.outcomes, run.random.random()) for _ in range(24)]
    tasks = [asyncio.create_task(caller.run(0.06)) for caller in asking]
    await run.store.put("rollouts", "lm", {"service": "lm", "target": "v2", "over_s": OVER_S})
    ordered = time.monotonic()
    state = await wait_for_end(run, ordered + OVER_S)
    run.note(f"{how} roll-out: {state} after {time.monotonic() - ordered:.1f} s")
    expected = "complete" if how == "good" else "reverted"
    if state != expected:
        run.broken.append(f"a {how} roll-out is {state} {OVER_S:.0f} s after its order")
    leaving = old if state == "complete" else new
    if state != "complete":
        await asyncio.sleep(TAKEN_BACK_S)
        for each in leaving:
            each.state = "draining"
            await run.announce(each)
        await asyncio.sleep(DRAIN_S)
    for each in leaving:
        with run.ledger.during("trouble", each.name):
            await each.crash()
    await asyncio.sleep(max(0.0, ordered + OVER_S + 1.0 - time.monotonic()))
    for caller in asking:
        caller.stopping = True
    await asyncio.gather(*tasks)
    if how != "good":
        run.broken += check_exposure(run.outcomes, run.ledger, "lm", "v2", ordered,
                                     ordered + OVER_S)
