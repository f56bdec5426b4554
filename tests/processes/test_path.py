"""Requests through entry, endpoint and back end, all real processes."""

import unittest

from .callers import call_service, complete
from .harness import Cluster


class PathTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of two entries, two engines and one plain service."""

    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe', 'e2': 'caerdydd'},
            entries=2,
            services={'s1': 'abertawe'},
        )
        self.http = self.cluster.http
        self.entry_urls = [self.cluster.url(f'entry-{n}') for n in (1, 2)]

    async def test_streamed_and_unstreamed_answers(self):
        streamed = await complete(self.http, self.entry_urls[0], 60)
        unstreamed = await complete(
            self.http, self.entry_urls[1], 25, stream=False
        )
        for answer, length in ((streamed, 60), (unstreamed, 25)):
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.done)
            self.assertEqual('stop', answer.finish_reason)
            generations = {token.partition('.')[0] for token in answer.tokens}
            self.assertEqual(1, len(generations))
            numbers = [token.partition('.')[2] for token in answer.tokens]
            self.assertEqual([str(n) for n in range(length)], numbers)
        self.assertEqual(25, unstreamed.usage['completion_tokens'])

    async def test_reorder_twice_through_two_entries_runs_once(self):
        """A caller repeats a reorder with the same key at another entry.

        Both answers have the same serial number, from a single run.
        """
        answers = [
            await call_service(
                self.http,
                entry_url,
                'POST',
                'reorders/reorders',
                {'crates': 3},
                idempotency_key='reorder-1',
            )
            for entry_url in self.entry_urls
        ]
        self.assertEqual([201, 201], [answer.status for answer in answers])
        self.assertEqual(answers[0].text, answers[1].text)
        self.assertEqual(
            1, len((await self.cluster.fetch_history('s1-engine'))['runs'])
        )


class LateBackEndsTest(unittest.IsolatedAsyncioTestCase):
    """Back ends that start to listen after their endpoints are known."""

    async def test_cluster_waits_for_back_ends(self):
        """On a busy machine the stand-ins may be the last to start.

        Requests that tests sent before that were refused with 503.
        """
        cluster = Cluster()
        self.addAsyncCleanup(cluster.stop)
        late_flags = ('--late=4',)
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=late_flags,
            service_flags=late_flags,
        )
        url = cluster.url('entry-1')
        generated = await complete(cluster.http, url, 5)
        ordered = await call_service(
            cluster.http, url, 'POST', 'reorders/reorders', {'crates': 1}
        )
        self.assertEqual((200, 201), (generated.status, ordered.status))
