"""Units of time in microseconds, which the balancer uses for all its integer times."""

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
