"""The checks of the soak fail when they should."""

import math
import unittest

import callers
import crowd
import paged_store
import recovery
import rollouts
import upstreams
import versions
import vms

CHARGE, READ, DRAFT, CHAT, EXPORT = callers.ASSURED


def outcome(kind, status, instance="lm-1", body=None, whole=True, attempt="a1"):
    if body is None:
        body = callers.expected_stream(attempt) if kind.streams \
            else upstreams.plain_body(attempt, instance)
    signature = f"{instance}.{attempt}" if status == 200 else None
    return callers.Outcome(kind, attempt, "node", 10.0, 11.0, status, signature, body, whole, True)


def cut(kind, took=1.0, **what):
    """A request that was sent at 10 s and whose connection ended before its answer did."""
    seen = outcome(kind, None, body=b"", whole=False, **what)
    seen.cut, seen.ended = True, seen.sent + took
    return seen


def spans(made, *entries):
    made.spans = [upstreams.Span(*entry) for entry in entries]
    return made


def ledger(*instances, attempt="a1", team="team-1", has_key=False):
    made = upstreams.Ledger()
    for instance in instances:
        made.record(upstreams.Run(attempt, instance, team, 10.1, has_key))
    return made


def probe(version, at, in_force, run=1):
    return versions.Probe("node", run, version, at, at + 0.01, in_force)


class PagedStore(unittest.TestCase):
    def test_a_target_is_read_as_http_libraries_do(self):
        for text, after in (("a00%2520", "a00%20"), ("a00%20", "a00 "), ("a02&b=", "a02"), ("a03+", "a03 "),
                            ("a03%2B", "a03+"), ("a01#x", "a01"), ("a04%C3%A9", "a04é")):
            target = paged_store.read_target(f"/objects/things?after={text}")
            self.assertEqual(target.query.get("after"), after, text)
            self.assertTrue(target.is_list)
        self.assertEqual(paged_store.read_target("/objects/things/a%2Fb?revision=4").segments,
                         ["objects", "things", "a/b"])
        self.assertFalse(paged_store.read_target("/objects/things?watch=4").is_list)

    def test_a_page_ends_at_its_entries_or_its_bytes(self):
        entries = [paged_store.Entry(name.encode(), b"." * 100) for name in "abc"]
        self.assertEqual(paged_store.cut_page(entries, "", 2, 1000), (entries[:2], True))
        self.assertEqual(paged_store.cut_page(entries, "b", 2, 1000), (entries[2:], False))
        self.assertEqual(paged_store.cut_page(entries, "", 500, 150), (entries[:1], True))
        self.assertEqual(paged_store.cut_page(entries, "", 500, 50), (entries[:1], True))


class Versions(unittest.TestCase):
    def broken(self, *probes, **trouble):
        runs = spans(upstreams.Ledger(), *trouble.get("spans", ()))
        return versions.check(probes, {4: 10.0}, runs)

    def test_a_version_that_is_in_force_in_time(self):
        self.assertEqual(self.broken(probe(4, 11.0, False), probe(4, 12.1, True)), [])

    def test_a_version_that_is_late(self):
        self.assertTrue(self.broken(probe(4, 12.1, False)))

    def test_a_late_version_soon_after_trouble_is_excused(self):
        for name in ("store", "node"):
            self.assertEqual(self.broken(probe(4, 12.1, False),
                                         spans=[("trouble", name, 9.0, 9.5)]), [])
            self.assertTrue(self.broken(probe(4, 12.6, False),
                                        spans=[("trouble", name, 9.0, 9.5)]))

    def test_an_older_version_comes_back(self):
        self.assertTrue(self.broken(probe(5, 10.0, True), probe(5, 10.5, False),
                                    spans=[("trouble", "store", 9.0, 11.0)]))

    def test_a_new_process_may_begin_with_an_older_version(self):
        self.assertEqual(self.broken(probe(5, 10.0, True), probe(5, 10.5, False, run=2)), [])


class Recovery(unittest.TestCase):
    """All VMs are back at 100 s; a request is sent every 0.1 s."""

    def sent(self, served):
        return [crowd.Sent("read", 90.0 + number / 10, served(90.0 + number / 10)) for number in range(400)]

    def test_service_that_is_back(self):
        sent = self.sent(lambda at: at < 99.0 or at > 103.0)
        self.assertAlmostEqual(recovery.back_after(sent, 100.0), 3.1, delta=0.2)
        self.assertEqual(recovery.served_share(sent, 112.0), 1.0)

    def test_service_that_is_not_back(self):
        sent = self.sent(lambda at: at < 99.0)
        self.assertIsNone(recovery.back_after(sent, 100.0))
        self.assertEqual(recovery.served_share(sent, 112.0), 0.0)

    def test_less_than_a_quarter_is_broken(self):
        self.assertEqual(recovery.check_recovery(0.98, 0.25), [])
        self.assertTrue(recovery.check_recovery(0.98, 0.24))

    def test_a_play_that_served_nothing_before_proves_nothing(self):
        self.assertTrue(recovery.check_recovery(0.1, 0.9))

    def test_the_template_is_filled_in(self):
        self.assertEqual(vms.render("a = {{b.c}}\nd = {{e}}", {"b.c": 1}), "a = 1\nd = ")


class Checks(unittest.TestCase):
    def broken(self, seen, runs):
        return callers.check([seen], runs)

    def test_what_is_right_breaks_nothing(self):
        self.assertEqual(self.broken(outcome(CHARGE, 200), ledger("lm-1")), [])
        self.assertEqual(self.broken(outcome(DRAFT, 200), ledger("lm-1")), [])
        self.assertEqual(self.broken(outcome(READ, 200), ledger("lm-2", "lm-1")), [])
        self.assertEqual(self.broken(outcome(CHARGE, 503, body=b""), ledger()), [])
        cut = callers.expected_stream("a1")[:50]
        self.assertEqual(self.broken(outcome(DRAFT, 200, body=cut, whole=False),
                                     ledger("lm-1")), [])

    def leaving(self, later, *entries):
        """An answer says at 11 s that its upstream leaves; `later` is a request sent after it."""
        seen = outcome(READ, 200)
        seen.says_leaving = True
        runs = spans(ledger("lm-1"), *entries)
        runs.record(upstreams.Run("a2", "lm-1", "team-1", later, False))
        again = outcome(READ, 200, attempt="a2")
        again.sent, again.ended = later, later + 0.1
        return callers.check([seen, again], runs)

    def test_a_request_long_after_an_answer_said_that_its_upstream_leaves(self):
        self.assertEqual(self.leaving(12.9), [])
        self.assertTrue(self.leaving(13.1))
        self.assertEqual(self.leaving(13.1, ("trouble", "node", 12.0, 12.1)), [])

    def paused(self, *later):
        """An upstream asks at 10 s for a pause of 3 s; later arrivals at the given times."""
        seen = [outcome(READ, 503, body=b"")]
        runs = upstreams.Ledger()
        runs.arrivals.append(upstreams.Arrival("a1", "lm-1", 10.0, 3.0))
        for number, at in enumerate(later):
            seen.append(outcome(READ, 503, body=b"", attempt=f"b{number}"))
            runs.arrivals.append(upstreams.Arrival(f"b{number}", "lm-1", at))
        return callers.check(seen, runs)

    def test_requests_in_a_pause_that_an_upstream_has_asked_for(self):
        self.assertEqual(self.paused(10.1, 10.4, 10.6, 12.9, 13.1), [])
        self.assertTrue(self.paused(10.6, 11.0, 12.9))

    def test_a_request_that_ran_twice(self):
        self.assertTrue(self.broken(outcome(CHARGE, 200), ledger("lm-1", "lm-2")))

    def test_a_refusal_of_what_has_run(self):
        self.assertTrue(self.broken(outcome(CHARGE, 503, body=b""), ledger("lm-1")))

    def test_an_answer_that_is_not_its_own(self):
        self.assertTrue(self.broken(outcome(READ, 200, body=b"answer a2 of lm-1"),
                                    ledger("lm-1")))
        self.assertTrue(self.broken(outcome(READ, 200), ledger("lm-2")))

    def test_a_stream_with_a_gap(self):
        events = [upstreams.event_text(number, "a1") for number in (1, 2, 4)]
        self.assertTrue(self.broken(outcome(DRAFT, 200, body=b"".join(events)), ledger("lm-1")))
        self.assertTrue(self.broken(outcome(DRAFT, 200, body=b"".join(events), whole=False),
                                    ledger("lm-1")))

    def test_a_run_that_nobody_asked_for(self):
        self.assertTrue(self.broken(outcome(READ, 200), ledger("lm-1", attempt="a2")))

    def test_a_key_or_another_team_at_an_upstream(self):
        self.assertTrue(self.broken(outcome(READ, 200), ledger("lm-1", has_key=True)))
        self.assertTrue(self.broken(outcome(READ, 200), ledger("lm-1", team="team-2")))

    def test_a_proper_request_that_is_denied(self):
        self.assertTrue(self.broken(outcome(READ, 404, body=b""), ledger()))
        self.assertEqual(self.broken(outcome(callers.EXTRA, 404, body=b""), ledger()), [])
        self.assertTrue(self.broken(outcome(callers.EXTRA, 400, body=b""), ledger()))

    def test_a_large_answer_that_is_not_its_own(self):
        def body(attempt):
            return callers.kept(upstreams.plain_body(attempt, "desk-1", True))
        for attempt, count in (("a1", 0), ("a2", 1)):
            seen = outcome(EXPORT, 200, "desk-1", body(attempt))
            self.assertEqual(len(self.broken(seen, ledger("desk-1"))), count)

    def test_a_cut_answer_of_a_sound_upstream(self):
        for kind in (READ, CHARGE, DRAFT, CHAT):
            self.assertTrue(self.broken(cut(kind), ledger("lm-0-1")))
        self.assertTrue(self.broken(cut(READ), ledger("lm-0-1", "lm-1-1")))
        begun = outcome(CHAT, 200, "lm-0-1", callers.expected_stream("a1")[:50], False)
        begun.cut = True
        self.assertTrue(self.broken(begun, ledger("lm-0-1")))
        for elsewhere in (("trouble", "lm-0", 5.0, 10.0), ("trouble", "lm-1", 10.0, 11.0),
                          ("trouble", "other-node", 10.0, 11.0), ("planned", "any", 9.0, 12.0)):
            self.assertTrue(self.broken(cut(READ), spans(ledger("lm-0-1"), elsewhere)))

    def test_a_cut_answer_with_an_excuse(self):
        for excuse in (("trouble", "lm-0", 10.5, 10.6), ("trouble", "lm-0", 9.0, 10.2),
                       ("trouble", "node", 10.5, 10.6), ("trouble", "node", 9.0)):
            self.assertEqual(self.broken(cut(READ), spans(ledger("lm-0-1"), excuse)), [])
        self.assertEqual(self.broken(cut(READ, took=callers.NO_EXCUSE_S + 0.1),
                                     ledger("lm-0-1")), [])
        one_is_sound = spans(ledger("lm-0-1", "lm-1-1"), ("trouble", "lm-0", 9.0, 12.0))
        self.assertTrue(self.broken(cut(READ), one_is_sound))

    def test_a_request_that_is_dropped_beside_planned_work(self):
        for name in ("node", "any"):
            planned = spans(ledger(), ("planned", name, 9.0, 10.2))
            self.assertTrue(self.broken(cut(CHARGE), planned))
            # Closed before it was read: it crossed the close.
            self.assertEqual(self.broken(cut(CHARGE, took=0.1), planned), [])
        for other in (("planned", "other-node", 9.0, 10.2), ("planned", "node", 9.0, 9.9)):
            self.assertEqual(self.broken(cut(CHARGE), spans(ledger(), other)), [])
        killed = spans(ledger(), ("planned", "node", 9.0, 12.0), ("trouble", "node", 9.5, 10.5))
        self.assertEqual(self.broken(cut(CHARGE), killed), [])

    def exposure(self, of_new, bad_answers=0, sent_at=10.0):
        """What a roll-out of 100 requests breaks when so many of them reach the new version."""
        made = upstreams.Ledger(bad_answers=[0.01 * number for number in range(bad_answers)])
        outcomes = []
        for number in range(100):
            attempt, version = f"a{number}", "v2" if number < of_new else "v1"
            made.record(upstreams.Run(attempt, "lm-0-1", "team-1", sent_at, False, "lm", version))
            outcomes.append(outcome(DRAFT, 200, attempt=attempt))
            outcomes[-1].sent = sent_at
        return rollouts.check_exposure(outcomes, made, "lm", "v2", 1.0, 12.0)

    def test_a_bad_version_that_gets_too_many_requests(self):
        self.assertEqual(self.exposure(60), [])
        self.assertTrue(self.exposure(61))

    def test_a_bad_version_that_is_taken_back_too_late(self):
        self.assertEqual(self.exposure(1, bad_answers=49), [])
        self.assertTrue(self.exposure(1, bad_answers=50))
        self.assertEqual(self.exposure(1, bad_answers=50, sent_at=5.4), [])
        self.assertEqual(self.exposure(0, bad_answers=50), [])

    def test_the_ledger_keeps_spans_with_what_follows_them(self):
        made = ledger()
        with made.during("trouble", "lm-0", 100.0):
            self.assertTrue(made.touched("trouble", "lm-0", 0.0, math.inf))
        end = made.spans[0].ends
        self.assertTrue(made.touched("trouble", "lm-0", end - 1.0, end + 1.0))
        self.assertFalse(made.touched("trouble", "lm-0", end + 1.0, end + 2.0))


if __name__ == "__main__":
    unittest.main()
