"""Converts ``result.Result`` values to exceptions at the edges of the program."""

from typing import TypeVar

from result import Err, Result

from poplarfold._internal.exceptions import PoplarfoldError

__all__ = ["value_or_raise"]

T = TypeVar("T")
E = TypeVar("E", bound=PoplarfoldError)


def value_or_raise(outcome: Result[T, E]) -> T:
    """Return the value of ``Ok`` or raise the error of ``Err``."""
    if isinstance(outcome, Err):
        raise outcome.err_value
    return outcome.ok_value
