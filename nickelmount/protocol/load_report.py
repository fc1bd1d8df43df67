"""The load report that an endpoint sends with a response, or as the answer to a probe."""

from __future__ import annotations

MAX_VALUE = 1e9


def parse_load_report(text: str | None, field_names: tuple[str, ...]) -> tuple[float, ...]:
    """Read a report such as `inflight=7,queue=2,util=0.61` in the order of `field_names`.

    Fields that are not asked for are skipped. Returns () where there is no report, where a field is missing,
    and where a value is not a number in 0..MAX_VALUE: one that is negative or not finite would spoil every
    average that it enters.
    """
    if not text or not field_names:
        return ()
    try:
        values = dict(field.split("=", 1) for field in text.strip().split(","))
        report = tuple(float(values[name]) for name in field_names)
    except (KeyError, ValueError):
        return ()
    return report if all(0.0 <= value < MAX_VALUE for value in report) else ()
