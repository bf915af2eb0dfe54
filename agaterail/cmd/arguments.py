"""Check the words of a command line before fire sees them.

Fire takes what it is given: it drops the value of a flag that has none, passes
unknown flags on where a command takes any, and goes on to attributes of the
result with words that are left over. It also reads values as Python literals,
so that ``1e3`` or ``None`` would not stay texts. Here each word is checked
against the command's signature, and fire gets each value as a literal of its
text.
"""

from __future__ import annotations

import difflib
import inspect
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from agaterail.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

FLAG = "--"
SWITCH_OFF = "false"
SWITCH_ON = "true"


@attrs.frozen
class Accepted:
    """What a command takes.

    Attributes
    ----------
    values, switches
        Names of flags that need a value, and of flags that do not.
    paths
        Whether the command needs paths.
    """

    values: frozenset[str]
    switches: frozenset[str]
    paths: bool

    def has(self, name: str) -> bool:
        """Tell whether there is such a flag."""
        return name in self.values or name in self.switches


def accepted_by(command: Callable[..., int]) -> Accepted:
    """Read from the signature what a command takes.

    A parameter whose default is the text ``false`` is a switch. A command that
    takes any keyword takes the settings.
    """
    values: set[str] = set()
    switches: set[str] = set()
    paths = False
    for parameter in inspect.signature(command).parameters.values():
        if parameter.kind is parameter.VAR_POSITIONAL:
            paths = True
        elif parameter.kind is parameter.VAR_KEYWORD:
            fields = attrs.fields(Settings)
            switches |= {field.name for field in fields if field.default is False}
            values |= {field.name for field in fields if field.default is not False}
        else:
            (switches if parameter.default == SWITCH_OFF else values).add(parameter.name)
    return Accepted(frozenset(values), frozenset(switches), paths)


def check(words: Sequence[str], accepted: Accepted) -> Result[list[str], list[str]]:
    """Return the words as fire should get them, or one line for each problem."""
    problems: list[str] = []
    paths: list[str] = []
    flags: dict[str, str] = {}
    left = list(words)
    while left:
        word = left.pop(0)
        if not word.startswith("-"):
            paths.append(word)
            continue
        name, given, value = word.removeprefix(FLAG).replace("-", "_").partition("=")
        if not word.startswith(FLAG) or not accepted.has(name):
            problems.append(_unknown(word, accepted))
            if left and not given and not left[0].startswith("-"):
                left.pop(0)
            continue
        if given:
            value = word.partition("=")[2]
        elif name in accepted.switches:
            value = SWITCH_ON
            if left and left[0].lower() in (SWITCH_ON, SWITCH_OFF):
                value = left.pop(0)
        elif left and not left[0].startswith(FLAG):
            value = left.pop(0)
        else:
            problems.append(f"{described(name)}: the value is missing")
            continue
        if name in flags:
            problems.append(f"{described(name)}: given more than once")
        flags[name] = value
    problems += _path_problems(paths, accepted)
    if problems:
        return Failure(problems)
    literals = [repr(path) for path in paths]
    return Success(literals + [f"{FLAG}{name}={value!r}" for name, value in flags.items()])


def described(name: str) -> str:
    """Return a flag with its variable, if it is a setting."""
    flag = Settings.flag_of(name)
    if name in {field.name for field in attrs.fields(Settings)}:
        return f"{flag} ({Settings.variable_of(name)})"
    return flag


def _unknown(word: str, accepted: Accepted) -> str:
    flag = word.partition("=")[0]
    known = [Settings.flag_of(name) for name in accepted.values | accepted.switches]
    near = difflib.get_close_matches(flag.replace("_", "-"), sorted(known), n=1)
    if not near:
        return f"{flag}: there is no such flag"
    name = near[0].removeprefix(FLAG).replace("-", "_")
    return f"{flag}: there is no such flag; did you mean {described(name)}?"


def _path_problems(paths: list[str], accepted: Accepted) -> list[str]:
    if accepted.paths and not paths:
        return ["Name at least one table file or directory."]
    if paths and not accepted.paths:
        return [f"{word!r}: this command takes flags only" for word in paths]
    return []
