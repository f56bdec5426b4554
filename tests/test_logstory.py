"""What the lines of several processes say about a request."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from primrosewood.ctl import Ctl
from primrosewood.loglines import count_outcomes, parse_lines
from primrosewood.requesttrace import tell_story


def line(process, second, event, **pairs):
    shown = ' '.join(f'{name}={text}' for name, text in pairs.items())
    return (
        f'ts=2026-01-01T00:00:{second:06.3f}+00:00 level=info '
        f'process={process} event={event} {shown}'
    )


# The clock of the VM beside the engine is twenty seconds ahead.
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


class StoryTest(unittest.TestCase):
    """Order, beliefs and verdict."""

    def tell(self, texts, request='ab12'):
        return tell_story(parse_lines(texts), request)

    def events(self, texts):
        return [each.event for each in self.tell(texts).lines]

    def test_lines_come_by_cause_and_not_by_clock(self):
        """The clock beside an engine is ahead, as after a step of the time.

        By time the stream would seem to go on before it was moved, and a
        reader would look for the cause at the wrong process.
        """
        self.assertEqual(
            ['sent', 'move_failed', 'moved', 'resumed', 'answered'],
            self.events(MOVED),
        )
        story = self.tell(MOVED)
        self.assertEqual('answered with status 200', story.verdict)
        self.assertEqual(
            ['table_in_force', 'endpoint_in', 'engine_found', 'engine_leaves'],
            [each.event for each in story.beliefs],
        )

    def test_files_in_any_order(self):
        beside = [each for each in MOVED if 'process=side' in each]
        entry = [each for each in MOVED if 'process=entry' in each]
        self.assertEqual(self.events(MOVED), self.events(beside + entry))

    def test_second_move_is_told_by_another_process(self):
        texts = [
            *MOVED[:5],
            line('entry', 7, 'resumed', request='ab12', endpoint='10.0.0.4:80'),
            line('side-2', 1, 'moved', request='ab12', target='10.0.0.4:80'),
            MOVED[-1],
        ]
        told = [each.process for each in self.tell(texts).lines]
        self.assertEqual(
            ['entry', 'side', 'entry', 'side-2', 'entry'],
            told,
        )

    def test_engine_that_left_too_early(self):
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
            self.tell(texts).verdict,
        )

    def test_engine_that_crashed(self):
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
            self.tell(texts).verdict,
        )

    def test_refused_with_nowhere_to_go(self):
        refused = line(
            'entry', 9, 'refused', request='cd34', kind='no_endpoint', version=7
        )
        gone = line('entry', 8, 'endpoint_out', endpoint='i-1', why='removed')
        out = line('entry', 8, 'failure_domain_out', failure_domain='d1')
        back = line('entry', 8, 'failure_domain_back', failure_domain='d1')
        cases = {
            (gone,): 'the last back end, i-1, was gone',
            (gone, out): 'failure domain d1 was out',
            (gone, out, back): 'the last back end, i-1, was gone',
            (): 'by the routes of version 7',
        }
        for before, why in cases.items():
            with self.subTest(why=why, lines=len(before)):
                story = self.tell([*before, refused], 'cd34')
                self.assertEqual(
                    f'refused as no_endpoint: {why}', story.verdict
                )

    def test_outcome_that_nobody_knows(self):
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
        story = self.tell(texts)
        self.assertEqual(
            'refused as outcome_unknown: i-9 gave no answer, it may have run',
            story.verdict,
        )
        self.assertEqual(
            'an answer to another call', story.lines[1].read('why')
        )

    def test_process_that_ended(self):
        """A VM loses power with a stream in progress.

        Nothing is logged at the end; the next line of that process is its
        start.
        """
        self.assertEqual(
            'entry has not logged its end', self.tell(MOVED[:4]).verdict
        )
        restarted = [*MOVED[:4], line('entry', 6, 'started')]
        self.assertEqual(
            'entry ended with it in progress and started again',
            self.tell(restarted).verdict,
        )

    def test_entry_that_was_stopped(self):
        """A stream outlives its entry's stop, and another one is refused.

        On-call must see at once that it was the stop, how much time was left
        when it was let in, and why it was.
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
            self.tell(texts).verdict,
        )
        self.assertEqual('draining', self.tell(texts).beliefs[0].event)
        untold = [
            *texts[:3],
            texts[-1].replace('generation_lost', 'outcome_unknown'),
            line('entry', 8, 'refused', request='ab12', kind='outcome_unknown'),
        ]
        self.assertEqual(
            'refused as outcome_unknown: entry ended its planned stop, '
            'it may have run',
            self.tell(untold).verdict,
        )
        self.assertEqual(
            'refused as leaving: entry was being stopped '
            '(too_long, 2.2 s left)',
            self.tell(texts, 'cd34').verdict,
        )

    def test_nothing_is_known(self):
        texts = ['no line at all', 'ts=never event=sent request=ab12', 'ts=']
        self.assertEqual('no line has this id', self.tell(texts).verdict)

    def test_what_a_collector_puts_in_front(self):
        texts = [f'  12.3 vm-7 | {each}' for each in MOVED]
        self.assertEqual(5, len(self.tell(texts).lines))

    def test_outcomes_by_time(self):
        counted = count_outcomes(
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
            counted,
        )


class CommandTest(unittest.TestCase):
    """The operators' commands on files."""

    def run_command(self, command, *arguments):
        shown = io.StringIO()
        with contextlib.redirect_stdout(shown):
            try:
                getattr(Ctl(), command)(*arguments)
            except SystemExit as ended:
                return ended.code, shown.getvalue()
        return 0, shown.getvalue()

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'lines'
        self.file.write_text('\n'.join(MOVED))

    def test_explain(self):
        code, shown = self.run_command('explain', 'ab12', str(self.file))
        self.assertEqual(0, code)
        self.assertIn('verdict: answered with status 200\n', shown)
        self.assertIn('  side +4.000 event=moved target=10.0.0.2:80\n', shown)
        code, shown = self.run_command('explain', 'zz', str(self.file))
        self.assertEqual(1, code)

    def test_outcomes(self):
        code, shown = self.run_command('outcomes', str(self.file))
        self.assertEqual((0, 'second\tanswered:200\n8\t1\n'), (code, shown))
