"""An engine beside a process of ours, and what it tells there."""

from dataclasses import dataclass
from typing import Protocol

from .backendset import EngineState
from .moves import EngineRun

__all__ = ('EngineLocation', 'EngineReading', 'MovableEngine')


@dataclass(frozen=True, slots=True)
class EngineReading:
    """An engine's report and what runs there.

    Attributes
    ----------
    leaves_in
        Seconds until it goes, None when it does not say.
    """

    state: EngineState
    runs: tuple[EngineRun, ...] = ()
    leaves_in: float | None = None


class MovableEngine(Protocol):
    """The engine beside this process."""

    @property
    def address(self) -> str:
        """Address as ``host:port``."""

    async def read(self) -> EngineReading:
        """Return the report.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        """

    async def identify(self) -> str:
        """Return the engine's name for this start of it.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        """

    async def copy(self, run: EngineRun, target: str, last: bool) -> str:
        """Copy a generation to another engine and return the handle.

        Parameters
        ----------
        last
            Whether to stop it here, so that it goes on there.

        Raises
        ------
        NotRunError
            It does not run here any more, or the target has no room.
        BackendCutError
            The engine does not answer.
        """


@dataclass(frozen=True, slots=True)
class EngineLocation:
    """Where the engine stands."""

    service: str
    failure_domain: str
