"""Waits until each of the given entries can send new work to all endpoints.

Arguments: the base URLs of the entries' administration.
"""

import json
import os
import sys
import time
import urllib.request

_ENDPOINT_COUNT = 4
_TIMEOUT_SECONDS = 20


def _count_usable(url: str) -> int:
    key = os.environ['PRIMROSEWOOD_KEY']
    request = urllib.request.Request(
        f'{url}/status', headers={'Authorization': f'Bearer {key}'}
    )
    with urllib.request.urlopen(request, timeout=2) as response:
        endpoints = json.load(response)['endpoints']
    return sum(not endpoint['veto'] for endpoint in endpoints)


deadline = time.monotonic() + _TIMEOUT_SECONDS
for url in sys.argv[1:]:
    while _count_usable(url) < _ENDPOINT_COUNT:
        if time.monotonic() > deadline:
            sys.exit(f'{url}: not all endpoints became usable in time')
        time.sleep(0.05)
