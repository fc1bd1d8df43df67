"""A decorator for tests that are coroutines."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

Parameters = ParamSpec("Parameters")


def async_test(
    timeout_s: float = 60.0,
) -> Callable[[Callable[Parameters, Coroutine[Any, Any, None]]], Callable[Parameters, None]]:
    """Run the decorated test in a new event loop; the test fails if it takes longer than `timeout_s`."""

    def decorate(test: Callable[Parameters, Coroutine[Any, Any, None]]) -> Callable[Parameters, None]:
        @functools.wraps(test)
        def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
            asyncio.run(asyncio.wait_for(test(*args, **kwargs), timeout_s))

        return run

    return decorate
