"""Results of benchmark cases, printed as one line of key=value pairs."""

import sys
from dataclasses import dataclass, field


@dataclass(slots=True)
class CaseResult:
    """Figures of one benchmark case, and its regression bound.

    Attributes
    ----------
    case
        Name of the case.
    figures
        Measured figures by name, in the order in which they are printed.
    bound
        Regression bound as text; empty if the figures are only informative.
    ok
        Whether the figures meet the bound.
    """

    case: str
    figures: dict[str, object] = field(default_factory=dict)
    bound: str = ''
    ok: bool = True

    def write(self) -> None:
        """Write the case, its figures and its bound to standard output."""
        fields = {'case': self.case, **self.figures}
        if self.bound:
            fields['bound'] = f'"{self.bound}"'
            fields['ok'] = 'yes' if self.ok else 'NO'
        text = ' '.join(
            f'{name}={_format(field_value)}'
            for name, field_value in fields.items()
        )
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


def _format(field_value: object) -> str:
    if isinstance(field_value, float):
        return f'{field_value:.4g}'
    return str(field_value)
