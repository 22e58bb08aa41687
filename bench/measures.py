"""Measures with bounds, as printed by ``make bench``.

Each module named ``*_bench.py`` in this folder defines ``MEASURES``, the names of its measures, and
``run()``, which returns them.  Bounds come from the users' stated targets.
"""

import attrs


@attrs.frozen
class Measure:
    """One measured value.

    Attributes:
      name: Name of the measure.
      value: The measured value.
      unit: Unit of the value and the bound.
      at_most: Upper bound, None for no bound.
      at_least: Lower bound, None for no bound.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    @property
    def within_bound(self) -> bool:
        """Whether the value is within its bounds."""
        above = self.at_most is not None and self.value > self.at_most
        below = self.at_least is not None and self.value < self.at_least
        return not above and not below

    def format_line(self) -> str:
        """Formats the measure as ``name value unit bound ok|OVER``."""
        bound = "-"
        if self.at_most is not None:
            bound = f"<={self.at_most:g}"
        elif self.at_least is not None:
            bound = f">={self.at_least:g}"
        result = "ok" if self.within_bound else "OVER"
        return f"{self.name} {self.value:.6g} {self.unit} {bound} {result}"
