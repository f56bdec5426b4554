"""What a process has seen of the engines at its engine's address."""

__all__ = ('StartWitness',)

# An engine may come and go unseen in a longer time without a look.
_MAX_UNSEEN_SECONDS = 1.0


class StartWitness:
    """Tells for which engine the settings of this process were written.

    The settings name the service that has the address as this process starts.
    Later the address may go to an engine of another service, while the settings
    stay.  They hold for the first engine only, and only if this process saw it
    start: one that it finds may have come after the one that was meant.
    """

    def __init__(self) -> None:
        """Know nothing of the address yet."""
        self._began_at = float('inf')
        self._looked_at = float('inf')
        self._saw_absence = False
        self._certain = True
        self._first_boot = 0

    @property
    def began_at(self) -> float:
        """Monotonic seconds of the first look, infinite before it."""
        return self._began_at

    def record_absence(self, now: float) -> None:
        """Note that nothing listens at the address."""
        self._look(now)
        self._saw_absence = True

    def record_silence(self, now: float) -> None:
        """Note that an engine may be there, without saying which one."""
        self._look(now)
        if not self._first_boot:
            self._certain = False

    def record_start(self, boot: int, now: float) -> None:
        """Note which start of an engine has answered."""
        self._look(now)
        if not self._first_boot:
            self._first_boot = boot
            self._certain = self._certain and self._saw_absence
        if boot != self._first_boot:
            self._certain = False

    def vouches_for(self, boot: int) -> bool:
        """Return whether the settings of this process hold for an engine."""
        return self._certain and boot == self._first_boot and boot > 0

    def _look(self, now: float) -> None:
        self._began_at = min(self._began_at, now)
        unseen = now - self._looked_at
        if not self._first_boot and unseen > _MAX_UNSEEN_SECONDS:
            self._certain = False
        self._looked_at = now
