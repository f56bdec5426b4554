"""Each check of the invariant checker detects its breach."""

import unittest

from primrosewood.invariants import (
    AnswerRecord,
    History,
    OutOfServicePeriod,
    RunRecord,
    SettingRecord,
    check_history,
)


def _run(request='r', endpoint='e1', domain='d1', at=10.0, key=''):
    return RunRecord(request, endpoint, domain, at, key)


class InvariantsTest(unittest.TestCase):
    """Histories with one breach each, and one without."""

    def assert_one_breach(self, text, **records):
        breaches = check_history(History(**records))
        self.assertEqual(1, len(breaches), breaches)
        self.assertIn(text, breaches[0])

    def test_history_without_breaches(self):
        history = History(
            answers=[
                AnswerRecord('r', ('a.0', 'a.1'), complete=True),
                AnswerRecord('q', kind='overloaded', ran='no'),
            ],
            runs=[_run(key='k'), _run(at=21.0, domain='d2')],
            out_of_service=[OutOfServicePeriod('d1', 10.5, 30.0, 1.0)],
            settings=[SettingRecord('p', 't', 1), SettingRecord('p', 't', 2)],
        )
        self.assertEqual([], check_history(history))

    def test_lost_doubled_and_mixed_tokens(self):
        for tokens in (('a.0', 'a.2'), ('a.0', 'a.0'), ('a.1', 'a.0')):
            answer = AnswerRecord('r', tokens, complete=True)
            self.assert_one_breach('lost, doubled', answers=[answer])

    def test_two_generations(self):
        answer = AnswerRecord('r', ('a.0', 'b.1'), complete=True)
        self.assert_one_breach('2 generations', answers=[answer])

    def test_answer_neither_complete_nor_failed(self):
        self.assert_one_breach('neither', answers=[AnswerRecord('r', ('a.0',))])

    def test_second_run_of_an_idempotency_key(self):
        runs = [_run(key='k'), _run(request='q', key='k')]
        self.assert_one_breach('ran 2 times', runs=runs)

    def test_request_ran_despite_its_refusal(self):
        answer = AnswerRecord('r', kind='overloaded', ran='no')
        self.assert_one_breach('but it ran', answers=[answer], runs=[_run()])

    def test_new_work_while_out(self):
        for name in ('d1', 'e1'):
            period = OutOfServicePeriod(name, 5.0, 20.0, 1.0)
            self.assert_one_breach(
                '5.00 s out', runs=[_run()], out_of_service=[period]
            )

    def test_settings_went_back(self):
        revisions = [SettingRecord('p', 't', 2), SettingRecord('p', 't', 1)]
        self.assert_one_breach('went back', settings=revisions)
