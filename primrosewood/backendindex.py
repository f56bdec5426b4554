"""Back ends by name, by service and by address."""

from .backendstate import Backend, BackendRecord

__all__ = ('BackendIndex',)

_Bucket = dict[str, Backend]


class BackendIndex:
    """Finds back ends without a scan of all of them.

    A service may have thousands of back ends, and each request and each report
    of an engine looks some of them up.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._by_name: _Bucket = {}
        self._by_service: dict[str, _Bucket] = {}
        self._by_address: dict[str, _Bucket] = {}

    @property
    def backends(self) -> list[Backend]:
        """All back ends, in the order in which they were added."""
        return list(self._by_name.values())

    def find(self, name: str) -> Backend | None:
        """Return the back end with a name, None if unknown."""
        return self._by_name.get(name)

    def list_address(self, address: str) -> list[Backend]:
        """Return the back ends at an address, of which one runs at most."""
        return list(self._by_address.get(address, {}).values())

    def list_service(self, service: str) -> list[Backend]:
        """Return the back ends of a service."""
        return list(self._by_service.get(service, {}).values())

    def is_superseded(self, backend: Backend) -> bool:
        """Return whether a later back end of its service has its address."""
        bucket = self._by_address[backend.record.address]
        if len(bucket) == 1:
            return False
        order = _registration_order(backend)
        return any(
            other.record.service == backend.record.service
            and _registration_order(other) > order
            for other in bucket.values()
        )

    def add(self, backend: Backend) -> None:
        """Add a back end in place of the one with the same name, if any."""
        if backend.name in self._by_name:
            self.remove(backend.name)
        record = backend.record
        self._by_name[record.name] = backend
        self._by_service.setdefault(record.service, {})[record.name] = backend
        self._by_address.setdefault(record.address, {})[record.name] = backend

    def update(self, backend: Backend, record: BackendRecord) -> None:
        """Replace the record of an indexed back end."""
        known = backend.record
        moved = (known.service, known.address) != (
            record.service,
            record.address,
        )
        if moved:
            self.remove(backend.name)
        backend.record = record
        if moved:
            self.add(backend)

    def remove(self, name: str) -> Backend:
        """Remove a back end and return it."""
        backend = self._by_name.pop(name)
        record = backend.record
        _remove_from(self._by_service, record.service, name)
        _remove_from(self._by_address, record.address, name)
        return backend


def _registration_order(backend: Backend) -> tuple[bool, int, int]:
    """Return a sort key that is higher for the later back end at an address.

    Revisions come first, as boots are told by the clocks of different VMs. An
    announced back end runs now and has no revision yet.
    """
    announced = backend.announced_at is not None
    return announced, backend.record.revision, backend.record.boot


def _remove_from(buckets: dict[str, _Bucket], key: str, name: str) -> None:
    bucket = buckets[key]
    bucket.pop(name)
    if not bucket:
        buckets.pop(key)
