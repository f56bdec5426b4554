"""The whole path, each part its own process."""

import unittest

from .callers import call_service, complete
from .harness import Cluster


class PathTest(unittest.IsolatedAsyncioTestCase):
    """A system of two entries, two engines and a plain service."""

    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe', 'e2': 'caerdydd'},
            entries=2,
            services={'s1': 'abertawe'},
        )
        self.http = self.cluster.http
        self.entries = [self.cluster.url(f'entry-{n}') for n in (1, 2)]

    async def test_streamed_and_whole_answers(self):
        streamed = await complete(self.http, self.entries[0], 60)
        whole = await complete(self.http, self.entries[1], 25, stream=False)
        for answer, length in ((streamed, 60), (whole, 25)):
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.done)
            self.assertEqual('stop', answer.finish_reason)
            tags = {token.partition('.')[0] for token in answer.tokens}
            self.assertEqual(1, len(tags))
            numbers = [token.partition('.')[2] for token in answer.tokens]
            self.assertEqual([str(n) for n in range(length)], numbers)
        self.assertEqual(25, whole.usage['completion_tokens'])

    async def test_reorder_twice_through_two_entries_runs_once(self):
        """A counter's till retries a reorder by another entry.

        The shop sees the same serial number twice; one crate order stands.
        """
        answers = [
            await call_service(
                self.http,
                entry,
                'POST',
                'reorders/reorders',
                {'crates': 3},
                idempotency_key='reorder-1',
            )
            for entry in self.entries
        ]
        self.assertEqual([201, 201], [answer.status for answer in answers])
        self.assertEqual(answers[0].text, answers[1].text)
        self.assertEqual(
            1, len((await self.cluster.history('s1-engine'))['runs'])
        )


class LateBackEndsTest(unittest.IsolatedAsyncioTestCase):
    """Back ends that listen after their endpoints are known."""

    async def test_cluster_waits_for_back_ends(self):
        """A busy machine starts the stand-ins last.

        Requests of tests that began before were refused with 503.
        """
        cluster = Cluster()
        self.addAsyncCleanup(cluster.stop)
        late = ('--late=4',)
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=late,
            service_flags=late,
        )
        url = cluster.url('entry-1')
        generated = await complete(cluster.http, url, 5)
        ordered = await call_service(
            cluster.http, url, 'POST', 'reorders/reorders', {'crates': 1}
        )
        self.assertEqual((200, 201), (generated.status, ordered.status))
