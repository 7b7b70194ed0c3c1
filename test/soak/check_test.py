"""The checks of the soak fail when they should."""

import unittest

import callers
import upstreams

CHARGE, READ, DRAFT, _CHAT = callers.KINDS


def outcome(kind, status, instance="lm-1", body=None, whole=True, attempt="a1"):
    if body is None:
        body = callers.expected_stream(attempt) if kind.streams \
            else upstreams.plain_body(attempt, instance)
    signature = f"{instance}.{attempt}" if status == 200 else None
    return callers.Outcome(kind, attempt, "node", 0.0, 1.0, status, signature, body, whole, True)


def ledger(*instances, attempt="a1", team="team-1", has_key=False):
    made = upstreams.Ledger()
    for instance in instances:
        made.record(upstreams.Run(attempt, instance, team, 0.0, has_key))
    return made


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


if __name__ == "__main__":
    unittest.main()
