"""Check the arguments of a command line before they are passed to fire.

Fire is lenient: it drops a value that is given to a flag that takes none, passes unknown
flags on to commands with keyword arguments, and uses leftover arguments to access
attributes of the result. It also parses values as Python literals, so ``1e3`` or ``None``
would not stay strings. Here each argument is checked against the command's signature, and
fire gets each value as a string literal.
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
class CommandSignature:
    """The flags and paths that a command accepts.

    Attributes
    ----------
    values, switches
        Names of the flags that require a value, and of the boolean flags.
    paths, optional_paths
        Whether the command accepts paths, and whether it runs without one.
    """

    values: frozenset[str]
    switches: frozenset[str]
    paths: bool
    optional_paths: bool = False

    def has_flag(self, name: str) -> bool:
        """Return whether the command accepts a flag."""
        return name in self.values or name in self.switches


def reads_standard_input(command: Callable[..., int]) -> Callable[..., int]:
    """Mark a command that reads standard input if it gets no paths (decorator)."""
    command.reads_standard_input = True  # type: ignore[attr-defined]
    return command


def signature_of(command: Callable[..., int]) -> CommandSignature:
    """Derive the accepted flags and paths from the parameters of a command.

    A parameter whose default is the string ``false`` is a switch. A command with
    arbitrary keyword parameters accepts all settings as flags.
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
    optional_paths = getattr(command, "reads_standard_input", False)
    return CommandSignature(frozenset(values), frozenset(switches), paths, optional_paths)


def check(
    arguments: Sequence[str], signature: CommandSignature
) -> Result[list[str], list[str]]:
    """Return the arguments to pass to fire, or one line for each problem."""
    problems: list[str] = []
    paths: list[str] = []
    flags: dict[str, str] = {}
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if not argument.startswith("-"):
            paths.append(argument)
            continue
        name, separator, value = argument.removeprefix(FLAG).replace("-", "_").partition("=")
        if not argument.startswith(FLAG) or not signature.has_flag(name):
            problems.append(_unknown_flag(argument, signature))
            if remaining and not separator and not remaining[0].startswith("-"):
                remaining.pop(0)
            continue
        if separator:
            value = argument.partition("=")[2]
        elif name in signature.switches:
            value = SWITCH_ON
            if remaining and remaining[0].lower() in (SWITCH_ON, SWITCH_OFF):
                value = remaining.pop(0)
        elif remaining and not remaining[0].startswith(FLAG):
            value = remaining.pop(0)
        else:
            problems.append(f"{describe_flag(name)}: the value is missing")
            continue
        if name in flags:
            problems.append(f"{describe_flag(name)}: given more than once")
        flags[name] = value
    problems += _path_problems(paths, signature)
    if problems:
        return Failure(problems)
    literals = [repr(path) for path in paths]
    return Success(literals + [f"{FLAG}{name}={value!r}" for name, value in flags.items()])


def describe_flag(name: str) -> str:
    """Return a flag, with its environment variable if it is a setting."""
    flag = Settings.flag_of(name)
    if name in {field.name for field in attrs.fields(Settings)}:
        return f"{flag} ({Settings.variable_of(name)})"
    return flag


def _unknown_flag(argument: str, signature: CommandSignature) -> str:
    flag = argument.partition("=")[0]
    known = [Settings.flag_of(name) for name in signature.values | signature.switches]
    matches = difflib.get_close_matches(flag.replace("_", "-"), sorted(known), n=1)
    if not matches:
        return f"{flag}: no such flag"
    name = matches[0].removeprefix(FLAG).replace("-", "_")
    return f"{flag}: no such flag; did you mean {describe_flag(name)}?"


def _path_problems(paths: list[str], signature: CommandSignature) -> list[str]:
    if signature.paths and not signature.optional_paths and not paths:
        return ["At least one table file or directory is required."]
    if paths and not signature.paths:
        return [f"{argument!r}: this command accepts only flags" for argument in paths]
    return []
