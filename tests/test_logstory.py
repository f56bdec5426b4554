"""Traces of requests (`requesttrace`), and the commands that read log files."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from primrosewood.ctl import Ctl
from primrosewood.loglines import count_outcomes, parse_lines
from primrosewood.requesttrace import trace_request


def line(process, second, event, **fields):
    text = ' '.join(f'{key}={value}' for key, value in fields.items())
    return (
        f'ts=2026-01-01T00:00:{second:06.3f}+00:00 level=info '
        f'process={process} event={event} {text}'
    )


# A stream moves to another engine. The clock of the endpoint process ('side')
# is 20 s ahead of the entry's.
MOVED = [
    line('entry', 1, 'table_in_force', version=7),
    line('entry', 1.1, 'endpoint_in', endpoint='i-1', address='10.0.0.1:80'),
    line('entry', 2, 'sent', request='ab12', endpoint='i-1', version=7),
    line('entry', 2, 'sent', request='other', endpoint='i-1'),
    line(
        'entry', 5, 'resumed', request='ab12', endpoint='10.0.0.2:80', why='cut'
    ),
    line('entry', 9, 'answered', request='ab12', status=200),
    line('side', 21, 'engine_found', address='10.0.0.1:80'),
    line('side', 24, 'engine_leaves', leaves_in=1.9, runs=2),
    line('side', 24.5, 'move_failed', request='ab12', target='10.0.0.3:80'),
    line('side', 25, 'moved', request='ab12', target='10.0.0.2:80'),
]


class RequestTraceTest(unittest.TestCase):
    """Order of lines, state lines and verdict."""

    def trace(self, texts, request='ab12'):
        return trace_request(parse_lines(texts), request)

    def events(self, texts):
        return [each.event for each in self.trace(texts).lines]

    def test_lines_are_ordered_by_cause(self):
        """The clock of an endpoint process is ahead, as after a clock step.

        Ordered by timestamp the stream would resume before it was moved, and an
        operator would look for the cause in the wrong process.
        """
        self.assertEqual(
            ['sent', 'move_failed', 'moved', 'resumed', 'answered'],
            self.events(MOVED),
        )
        trace = self.trace(MOVED)
        self.assertEqual('answered with status 200', trace.verdict)
        self.assertEqual(
            ['table_in_force', 'endpoint_in', 'engine_found', 'engine_leaves'],
            [each.event for each in trace.state_lines],
        )

    def test_refused_as_it_ends_back_ends(self):
        """Guards against a refusal that names no cause."""
        texts = [
            line(
                'entry',
                2,
                'call_would_crash',
                request='ab12',
                crashes='i-1@7+i-2@8+i-3@9',
                reporters='e-1',
            ),
            line(
                'entry',
                3,
                'call_failed',
                request='ab12',
                kind='crashes_endpoints',
            ),
        ]
        self.assertEqual(
            'refused as crashes_endpoints: back ends ended under it: '
            'i-1@7+i-2@8+i-3@9, as seen by e-1',
            self.trace(texts).verdict,
        )

    def test_files_in_any_order(self):
        endpoint = [each for each in MOVED if 'process=side' in each]
        entry = [each for each in MOVED if 'process=entry' in each]
        self.assertEqual(self.events(MOVED), self.events(endpoint + entry))

    def test_second_move_is_logged_by_another_process(self):
        texts = [
            *MOVED[:5],
            line('entry', 7, 'resumed', request='ab12', endpoint='10.0.0.4:80'),
            line('side-2', 1, 'moved', request='ab12', target='10.0.0.4:80'),
            MOVED[-1],
        ]
        processes = [each.process for each in self.trace(texts).lines]
        self.assertEqual(
            ['entry', 'side', 'entry', 'side-2', 'entry'],
            processes,
        )

    def test_engine_left_before_the_move(self):
        texts = [
            *MOVED[:4],
            *MOVED[6:8],
            line('side', 24, 'move_failed', request='ab12', target='x'),
            line('side', 25, 'not_moved', request='ab12'),
            line(
                'entry',
                5,
                'call_failed',
                request='ab12',
                kind='generation_lost',
            ),
        ]
        self.assertEqual(
            'broken off: its engine left before it was moved, '
            'copies that failed: 1',
            self.trace(texts).verdict,
        )

    def test_engine_crashed(self):
        texts = [
            *MOVED[:4],
            MOVED[6],
            line('side', 23, 'engine_lost', why='reset'),
            line('side', 23, 'not_moved', request='ab12'),
            line(
                'entry',
                5,
                'call_failed',
                request='ab12',
                kind='generation_lost',
            ),
        ]
        self.assertEqual(
            'broken off: its engine ended without notice',
            self.trace(texts).verdict,
        )

    def test_refused_without_an_available_back_end(self):
        refused = line(
            'entry', 9, 'refused', request='cd34', kind='no_endpoint', version=7
        )
        removed = line(
            'entry', 8, 'endpoint_out', endpoint='i-1', why='removed'
        )
        domain_out = line('entry', 8, 'failure_domain_out', failure_domain='d1')
        domain_in = line('entry', 8, 'failure_domain_back', failure_domain='d1')
        cases = {
            (removed,): 'the last back end, i-1, was gone',
            (removed, domain_out): 'failure domain d1 was out',
            (
                removed,
                domain_out,
                domain_in,
            ): 'the last back end, i-1, was gone',
            (): 'by the routes of version 7',
        }
        for lines_before, why in cases.items():
            with self.subTest(why=why, lines=len(lines_before)):
                trace = self.trace([*lines_before, refused], 'cd34')
                self.assertEqual(
                    f'refused as no_endpoint: {why}', trace.verdict
                )

    def test_unknown_outcome(self):
        texts = [
            line('entry', 1, 'sent', request='ab12', endpoint='i-9'),
            line(
                'entry',
                2,
                'send_failed',
                request='ab12',
                endpoint='i-9',
                why='"an answer to another call"',
                doubtful=True,
            ),
            line(
                'entry',
                2,
                'call_failed',
                request='ab12',
                kind='outcome_unknown',
            ),
            line('entry', 2, 'refused', request='ab12', kind='outcome_unknown'),
        ]
        trace = self.trace(texts)
        self.assertEqual(
            'refused as outcome_unknown: i-9 gave no answer, it may have run',
            trace.verdict,
        )
        self.assertEqual('an answer to another call', trace.lines[1].get('why'))

    def test_process_ended_without_a_log_line(self):
        """A VM loses power with a stream in progress.

        The process logs nothing when it ends; its next line is that of its
        start.
        """
        self.assertEqual(
            'entry has not logged its end', self.trace(MOVED[:4]).verdict
        )
        restarted = [*MOVED[:4], line('entry', 6, 'started')]
        self.assertEqual(
            'entry ended with it in progress and started again',
            self.trace(restarted).verdict,
        )

    def test_planned_stop_of_the_entry(self):
        """A stream is cut off by its entry's stop; another one is refused.

        The verdict must name the stop as the cause, and for a refusal the time
        that was left and the reason of the admission check.
        """
        texts = [
            line('entry', 1, 'draining', active=2),
            line('entry', 2, 'judged_while_stopping', request='ab12', left=5.2),
            line('entry', 2, 'sent', request='ab12', endpoint='i-1'),
            line(
                'entry',
                3,
                'judged_while_stopping',
                request='cd34',
                why='too_long',
                left=2.2,
            ),
            line('entry', 3, 'refused', request='cd34', kind='leaving'),
            line(
                'entry',
                8,
                'call_failed',
                request='ab12',
                kind='generation_lost',
                why='"this process stopped"',
            ),
        ]
        self.assertEqual(
            'broken off: entry ended its planned stop before the answer',
            self.trace(texts).verdict,
        )
        self.assertEqual('draining', self.trace(texts).state_lines[0].event)
        unanswered = [
            *texts[:3],
            texts[-1].replace('generation_lost', 'outcome_unknown'),
            line('entry', 8, 'refused', request='ab12', kind='outcome_unknown'),
        ]
        self.assertEqual(
            'refused as outcome_unknown: entry ended its planned stop, '
            'it may have run',
            self.trace(unanswered).verdict,
        )
        self.assertEqual(
            'refused as leaving: entry was being stopped '
            '(too_long, 2.2 s left)',
            self.trace(texts, 'cd34').verdict,
        )

    def test_no_line_has_the_id(self):
        texts = ['no line at all', 'ts=never event=sent request=ab12', 'ts=']
        self.assertEqual('no line has this id', self.trace(texts).verdict)

    def test_prefix_added_by_a_log_collector(self):
        texts = [f'  12.3 vm-7 | {each}' for each in MOVED]
        self.assertEqual(5, len(self.trace(texts).lines))

    def test_outcomes_by_interval(self):
        counts = count_outcomes(
            parse_lines(
                [
                    *MOVED,
                    line('entry', 1.5, 'refused', request='x', kind='leaving'),
                    line('entry', 1.6, 'caller_left', request='y'),
                ]
            ),
            2,
        )
        self.assertEqual(
            {
                0: {'refused:leaving': 1, 'caller_left': 1},
                4: {'answered:200': 1},
            },
            counts,
        )


class CommandTest(unittest.TestCase):
    """The commands of `primrosewood-ctl` that read log files."""

    def run_command(self, command, *arguments):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            try:
                getattr(Ctl(), command)(*arguments)
            except SystemExit as error:
                return error.code, output.getvalue()
        return 0, output.getvalue()

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'lines'
        self.file.write_text('\n'.join(MOVED))

    def test_rollout(self):
        """An operator asks why a roll-out stands where it stands."""
        lines = [
            line('b', 2, 'rollout_fault', service='s1', why='"3 of 5 failed"'),
            line('a', 1, 'rollout_ordered', service='s1', version='v2'),
            line('a', 1, 'rollout_ordered', service='s2', version='v9'),
        ]
        self.file.write_text('\n'.join(lines))
        code, output = self.run_command('rollout', 's1', str(self.file))
        self.assertEqual(0, code)
        self.assertRegex(output, r'(?s)a .*rollout_ordered.*b .*3 of 5 failed')
        self.assertNotIn('v9', output)
        code, _output = self.run_command('rollout', 's3', str(self.file))
        self.assertEqual(1, code)

    def test_explain(self):
        code, output = self.run_command('explain', 'ab12', str(self.file))
        self.assertEqual(0, code)
        self.assertIn('verdict: answered with status 200\n', output)
        self.assertIn('  side +4.000 event=moved target=10.0.0.2:80\n', output)
        code, output = self.run_command('explain', 'zz', str(self.file))
        self.assertEqual(1, code)

    def test_outcomes(self):
        code, output = self.run_command('outcomes', str(self.file))
        self.assertEqual((0, 'second\tanswered:200\n8\t1\n'), (code, output))
