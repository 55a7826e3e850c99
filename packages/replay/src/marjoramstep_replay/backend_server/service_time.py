"""Distributions of service times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..documents import Fields


class ServiceTime(Protocol):
    """Draws service times."""

    def draw_ms(self, rng: Random) -> float:
        """Return one service time in milliseconds.

        :param rng: source of randomness
        """


SERVICE_TIMES: Registry[Callable[[Fields], ServiceTime]] = Registry("service time")


@SERVICE_TIMES.register("constant")
class ConstantTime:
    """Always the same time.

    :param fields: ``mean_ms``
    """

    def __init__(self, fields: Fields) -> None:
        self._mean_ms = fields.number("mean_ms")

    def draw_ms(self, rng: Random) -> float:
        """Return the time in milliseconds.

        :param rng: not used
        :return: milliseconds
        """
        return self._mean_ms


@SERVICE_TIMES.register("exponential")
class ExponentialTime:
    """Exponential distribution.

    :param fields: ``mean_ms``
    """

    def __init__(self, fields: Fields) -> None:
        self._mean_ms = fields.number("mean_ms")

    def draw_ms(self, rng: Random) -> float:
        """Return one service time in milliseconds.

        :param rng: source of randomness
        :return: milliseconds
        """
        return -self._mean_ms * math.log(1.0 - rng.random())


@SERVICE_TIMES.register("lognormal")
class LognormalTime:
    """Lognormal distribution, as service times of many real servers.

    :param fields: ``median_ms`` and ``sigma`` of the logarithm
    """

    def __init__(self, fields: Fields) -> None:
        self._median_ms = fields.number("median_ms")
        self._sigma = fields.number("sigma", 0.5)

    def draw_ms(self, rng: Random) -> float:
        """Return one service time in milliseconds.

        :param rng: source of randomness
        :return: milliseconds
        """
        return self._median_ms * math.exp(self._sigma * rng.gauss(0.0, 1.0))
