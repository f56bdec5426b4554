"""Requests that failed or were late, summarised from log lines."""

import unittest

from primrosewood.loglines import parse_lines
from primrosewood.losses import find_losses

LINES = """
ts=2026-01-01T00:00:00+00:00 process=e1 event=sent request=a tokens=4000 endpoint=x
ts=2026-01-01T00:00:01+00:00 process=e1 event=answered request=a status=200
ts=2026-01-01T00:00:02+00:00 process=e1 event=sent request=b tokens=4000 endpoint=x
ts=2026-01-01T00:00:03+00:00 process=e2 event=sent request=c tokens=3000 endpoint=y
ts=2026-01-01T00:00:04+00:00 process=e2 event=answered request=c status=200 late=pause
ts=2026-01-01T00:00:05+00:00 process=e2 event=sent request=d endpoint=z
ts=2026-01-01T00:00:06+00:00 process=e2 event=answered request=d status=500
ts=2026-01-01T00:00:07+00:00 process=e2 event=sent request=f tokens=2500 endpoint=y
ts=2026-01-01T00:00:09+00:00 process=e1 event=started
"""


class LossesTest(unittest.TestCase):
    """Reasons, examples, token counts and order of losses."""

    def setUp(self):
        lines = parse_lines(LINES.strip().splitlines())
        self.losses = {loss.reason: loss for loss in find_losses(lines)}

    def test_request_answered_on_time_is_no_loss(self):
        examples = [
            request
            for loss in self.losses.values()
            for request in loss.examples
        ]
        self.assertNotIn('a', examples)
        self.assertEqual(4, len(examples))

    def test_reason_does_not_name_the_process(self):
        reason = 'an entry ended with it in progress and started again'
        self.assertEqual(['b'], self.losses[reason].examples)
        self.assertEqual(4000, self.losses[reason].tokens)

    def test_late_and_failed_answers_differ(self):
        self.assertEqual(['c'], self.losses['late: pause'].examples)
        failed = 'its back end answered with status 500'
        self.assertEqual(['d'], self.losses[failed].examples)

    def test_most_tokens_first(self):
        self.assertEqual(
            [4000, 3000, 2500, 0],
            [loss.tokens for loss in self.losses.values()],
        )
