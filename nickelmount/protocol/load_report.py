"""The load report that an endpoint sends with a response, or as the answer to a probe."""

from __future__ import annotations

MAX_VALUE = 1e9  # Values in a load report must be below this.


def parse_load_report(text: str | None, field_names: tuple[str, ...]) -> tuple[float, ...]:
    """Parse a report such as `inflight=7,queue=2,util=0.61`; return its values in the order of `field_names`.

    Other fields are ignored. Returns () if there is no report, if one of `field_names` is missing, or if its
    value is not a number of at least 0 and below MAX_VALUE: a value that is negative or not finite would
    corrupt every average that includes it.
    """
    if not text or not field_names:
        return ()
    try:
        values = dict(field.split("=", 1) for field in text.strip().split(","))
        report = tuple(float(values[name]) for name in field_names)
    except (KeyError, ValueError):
        return ()
    return report if all(0.0 <= value < MAX_VALUE for value in report) else ()
