"""Back ends that are known to have had an address."""

from .backendstate import BackendIdentity, BackendRecord

__all__ = ('AddressHistory',)

# More addresses than a deployment has machines.
_MAX_ADDRESSES = 16_384
# Starts of back ends at one address, of which any second one tells that the
# address is used again.
_MAX_STARTS = 8

_Start = tuple[str, int]


class AddressHistory:
    """Remembers which back ends were registered or used at each address.

    An address goes to other back ends later, also to those of other services.
    What was known of its former user holds for none of them.
    """

    def __init__(self) -> None:
        """Create a history that reaches back to no time."""
        self._since = float('inf')
        self._records: dict[str, dict[_Start, BackendRecord]] = {}

    @property
    def since(self) -> float:
        """Monotonic seconds from which on it has all, infinite for never."""
        return self._since

    def begin(self, now: float) -> None:
        """Note that the records of all back ends were read at a time."""
        self._since = min(self._since, now)

    def add(self, record: BackendRecord, now: float) -> None:
        """Note that a back end has the address of its record."""
        starts = self._records.setdefault(record.address, {})
        start = record.name, record.boot
        starts.pop(start, None)
        starts[start] = record
        if len(starts) > _MAX_STARTS:
            starts.pop(next(iter(starts)))
        if len(self._records) > _MAX_ADDRESSES:
            self._records = {record.address: starts}
            self._since = now

    def find_start(self, address: str, boot: int) -> BackendIdentity | None:
        """Return the back end that had an address in one of its starts.

        None if none is known, or if several claim to be it.
        """
        identities = {
            record.identity
            for record in self._records.get(address, {}).values()
            if record.boot == boot
        }
        return identities.pop() if len(identities) == 1 else None

    def was_of_another(self, record: BackendRecord) -> bool:
        """Return whether another start has had the address of a record."""
        starts = self._records.get(record.address, {})
        return bool(starts.keys() - {(record.name, record.boot)})
