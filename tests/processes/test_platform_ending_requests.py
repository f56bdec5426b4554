"""One request that ends back ends of real processes."""

import tempfile
import unittest
from pathlib import Path

from .endingrequests import FORMS, EndingRun

_FORMS = ('look_up', 'started_at_once')


class EndingRequestProcessesTest(unittest.IsolatedAsyncioTestCase):
    """5 entries before 14 engines and 4 plain services."""

    async def test_forms(self):
        """Guards against one request that ends server after server."""
        for name in _FORMS:
            with (
                self.subTest(name),
                tempfile.TemporaryDirectory() as folder,
            ):
                run = EndingRun(FORMS[name], Path(folder))
                result = await run.play()
                self.assertGreaterEqual(len(result.ends), 3, result.describe())
                self.assertEqual([], result.late_ends, result.describe())


if __name__ == '__main__':
    unittest.main()
