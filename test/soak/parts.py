"""Parts of prompts that end upstreams, requests with them, and what must hold of these and of sound ones."""

import asyncio
import random
import time

import callers

# So many ends are needed to know a part, so long may it take to tell all nodes, and so many may come after.
ENDS_TO_KNOW = 5
CONTACT_S = 3.0
MOST_AFTER = 3
# From then on sound requests begin at least this often, compared with before.
LEAST_SOUND_SHARE = 0.5
FEW = 20
# Requests that were sent shortly before an upstream ended may have been under way there.
CALM_BEFORE_S = 0.5
# How long an upstream that has ended is away, and how long its entry stays.
AWAY_S = (2.5, 4.0)
LAPSE_S = 2.5
BAD_PAUSE_S = 0.2
SHARED = ("f1", "f2", "f3")
RARE_PARTS = 12
MOST_BAD = 2
# Time before the first request with a part, in which it shows how sound ones are served.
SOUND_FIRST_S = 3.0


class Parts:
    """Which parts end upstreams, when requests with them came, and which upstreams have ended."""

    def __init__(self, run, seed):
        self.run = run
        # Of its own, so that earlier seeds draw what they have drawn before.
        self.random = random.Random(seed)
        self.bad = set()
        # How often the parts that requests share have been replaced by others.
        self.renewals = 0
        # Requests that reached an upstream, times of the ends and of requests sent, by bad part.
        self.arrivals = {}
        self.ends = {}
        self.sent = {}

    def renew(self):
        """From now on requests share other parts, of which no upstream has responded to any yet."""
        self.renewals += 1

    def add(self, part):
        self.bad.add(part)
        for times in (self.arrivals, self.ends, self.sent):
            times[part] = []

    def bad_part_of(self, request):
        """The part that ends the upstream, or None; the last one is the request's own."""
        listed = [each.split(":")[0].strip() for each in
                  request.headers.get("x-prefix-hash", "").split(",")]
        return next((part for part in listed[:-1] if part in self.bad), None)

    def prompt(self, attempt, bad=None):
        """The parts of a request: some that others share, and its own."""
        rare = f"e{self.random.randrange(RARE_PARTS):x}"
        middle = [self.random.choice(SHARED)] + ([bad] if bad else []) + [rare]
        # Ids are hexadecimal numbers.
        renewed = f"{self.renewals:x}" if self.renewals else ""
        shared = [part if part == bad else part + renewed for part in ["a1", *middle]]
        return ",".join(f"{part}:30" for part in [*shared, attempt[:8]])

    def summary(self):
        """How often each bad part reached an upstream, and ended one."""
        return "".join(f", {part}: {len(self.arrivals[part])} of {len(self.sent[part])} sent on, {len(ends)} ended"
                       for part, ends in self.ends.items())

    def in_touch(self, outcome):
        return not self.run.ledger.touched("trouble", outcome.node, outcome.sent - CONTACT_S, outcome.ended)

    def check(self, outcomes):
        """Every way in which a bad part was let through, or sound requests were held back."""
        return self.check_budget(outcomes) + self.check_sound(outcomes)

    def check_budget(self, outcomes):
        by_attempt = {outcome.attempt: outcome for outcome in outcomes if self.in_touch(outcome)}
        broken = []
        for part, ends in self.ends.items():
            ends.sort()
            if len(ends) < ENDS_TO_KNOW:
                continue
            late = [each for each in self.arrivals[part] if each.attempt in by_attempt and
                    each.at > ends[ENDS_TO_KNOW - 1] + CONTACT_S]
            if len(late) > MOST_AFTER:
                broken.append(f"BUDGET: {len(late)} requests with part {part} reached upstreams later than "
                              f"{CONTACT_S:.0f} s after its fifth end; {len(ends)} ended in all")
        return broken

    def check_sound(self, outcomes):
        begun = [ends for ends in self.ends.values() if ends]
        if not begun:
            return []
        first = min(ends[0] for ends in begun)
        known = max(ends[min(ENDS_TO_KNOW, len(ends)) - 1] for ends in begun)
        until = max(times[-1] for times in self.sent.values() if times)
        sound = [outcome for outcome in outcomes if outcome.kind.streams and outcome.opened and
                 not outcome.is_bad and not outcome.left and self.in_touch(outcome)]
        before = [outcome.status == 200 for outcome in sound if outcome.sent < first - CALM_BEFORE_S]
        after = [outcome.status == 200 for outcome in sound
                 if known + 2 * CONTACT_S < outcome.sent < until]
        self.run.note(f"sound requests served: {sum(before)} of {len(before)} before, "
                      f"{sum(after)} of {len(after)} once parts are known")
        if min(len(before), len(after)) < FEW or \
                sum(after) * len(before) >= LEAST_SOUND_SHARE * sum(before) * len(after):
            return []
        return [f"LOST: {sum(after)} of {len(after)} sound requests are served once a part is known, "
                f"{sum(before)} of {len(before)} before"]


async def send_bad(run, part, until):
    """Requests with the part, on both kinds of streams and at any node, no two alike."""
    asking = callers.Caller(run.nodes, run.outcomes, run.random.random(), parts=run.parts)
    while time.monotonic() < until:
        run.parts.sent[part].append(time.monotonic())
        await asking.send(run.random.choice(callers.STREAMS), part)
        asking.close()
        asking.known = []
        await asyncio.sleep(BAD_PAUSE_S * run.random.uniform(0.5, 1.5))


async def end_upstream(run, each):
    """The upstream ends as a process does: connections break, nobody listens, its entry lapses, and it starts anew."""
    gone, each.instance = each.instance, None
    if gone is None:
        return
    each.close()
    run.links[each].close()
    with run.ledger.during("trouble", each.name):
        await asyncio.sleep(LAPSE_S)
        await run.store.remove("servers", gone)
        await asyncio.sleep(max(0.0, run.random.uniform(*AWAY_S) - LAPSE_S))
        run.links[each].target_port = await each.start()
        await run.links[each].start()
    await run.announce(each)
