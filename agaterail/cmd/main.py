"""Command line of agaterail."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import difflib
import os
import re
import sys
from typing import TYPE_CHECKING

import attrs
import fire
from fire.helptext import HelpText
from fire.trace import FireTrace
from returns.result import Success

from agaterail import __version__, settings
from agaterail.cmd import arguments
from agaterail.cmd.serve import serve
from agaterail.cmd.status import status
from agaterail.cmd.tables import apply, check, diff, history, show

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PROGRAM = "agaterail"
HELP_FLAG = re.compile(r"(?:-\w, )?(--\w+)")
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130
HELP_ARGUMENTS = ("--help", "-h", "help")
COMMANDS = (
    "serve",
    "gateway",
    "story",
    "losses",
    "check",
    "diff",
    "apply",
    "show",
    "history",
    "status",
    "version",
)


class Commands:
    """Router for language-model traffic with long shared prompts.

    serve runs the daemon; check, diff, apply, show and history are for the
    tables; status asks a running daemon. Each command has its own --help.
    """

    def serve(self, print_settings: str = "false", **flags: str) -> int:
        """Run the daemon until SIGTERM, then drain and exit.

        Each setting is a flag (--listen) or a variable (AGATERAIL_LISTEN); a
        flag goes before its variable, which goes before the default.

        Parameters
        ----------
        print_settings
            Print all settings with their values and end.
        """
        return serve(flags, print_only=print_settings != "false")

    def gateway(self, settings_file: str = "") -> int:
        """Run the daemon on the hosts' platform until SIGTERM.

        Parameters
        ----------
        settings_file
            File that the platform gives to each process; its variable names it.
        """
        from agaterail.cmd.gateway import gateway

        return gateway(settings_file)

    def story(self, request_id: str, *paths: str, around: str = "2") -> int:
        """Print one request's log lines over several hosts, in order of time.

        Reads files, or standard input. Lines of its hosts that changed what
        they believe, shortly before and meanwhile, stand among them.

        Parameters
        ----------
        around
            Seconds before the request whose changes of belief are shown.
        """
        from agaterail.cmd.story import print_trace

        try:
            seconds = float(around)
        except ValueError:
            return _usage_error(f"--around: {around!r} is no number of seconds.")
        return print_trace(request_id, paths, seconds)

    def losses(self, *paths: str, slot: str = "2") -> int:
        """Group the requests that got no whole answer in time by cause and route.

        Reads the gateway's log files, or standard input; names the spans of time
        with the most, and ids for ``story``.

        Parameters
        ----------
        slot
            Length of a span of time in whole seconds.
        """
        from agaterail.cmd.losses import print_losses

        if not slot.isdigit():
            return _usage_error(f"--slot: {slot!r} is no whole number of seconds.")
        return print_losses(paths, int(slot))

    def check(self, *paths: str) -> int:
        """Check table files (TOML) by themselves; the log is not asked.

        Names every problem with its file, row and field. Exits 0 if there is
        none, else 2.
        """
        return check(paths)

    def diff(self, *paths: str, log_service: str = "", against: str = "") -> int:
        """Show what applying table files would change.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        against
            Directory or file to compare with instead of what is in force.
        """
        return _with_log_address(log_service, lambda address: diff(paths, address, against))

    def apply(
        self,
        *paths: str,
        log_service: str = "",
        author: str = "",
        dry_run: str = "false",
        allow_empty: str = "false",
        in_parts: str = "false",
    ) -> int:
        """Make the tables in force equal to the files, all or nothing.

        Exits 0 only after the edit was read back as accepted, 1 if it was
        refused, 3 if it was sent and could not be read back.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        author
            Name kept with the edit (AGATERAIL_AUTHOR); needed.
        dry_run
            Print the plan and end.
        allow_empty
            Apply files without any row, which deletes all rows.
        in_parts
            Split an edit that is larger than a record of the log.
        """
        return _with_log_address(
            log_service,
            lambda address: apply(
                paths,
                address,
                author,
                dry_run != "false",
                allow_empty != "false",
                in_parts != "false",
            ),
        )

    def show(self, log_service: str = "", json: str = "false") -> int:
        """Print the tables in force with each row's version and author.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        json
            Print JSON instead of a table file.
        """
        return _with_log_address(log_service, lambda address: show(address, json != "false"))

    def history(self, log_service: str = "", json: str = "false") -> int:
        """Print the edits that the log still keeps and how each was judged.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        json
            Print one JSON object a line.
        """
        return _with_log_address(
            log_service, lambda address: history(address, json != "false")
        )

    def status(self, peer: str = "", json: str = "false", **flags: str) -> int:
        """Ask a daemon for its tables version, members, engines and limits.

        The daemons' shared secret comes from AGATERAIL_PEER_SECRET.

        Parameters
        ----------
        peer
            The daemon's --peer-listen address, IP:port.
        json
            Print one JSON object.
        """
        return status(peer, json != "false", flags)

    def version(self) -> int:
        """Print the version."""
        print(f"{PROGRAM} {__version__}")
        return 0


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its status."""
    try:
        code = run(list(sys.argv[1:] if argv is None else argv))
    except KeyboardInterrupt:
        code = EXIT_INTERRUPTED
    except Exception as error:  # the operator gets one line in any case
        print(f"{PROGRAM}: {type(error).__name__}: {error}", file=sys.stderr)
        code = EXIT_FAILED
    sys.exit(code)


def run(argv: list[str]) -> int:
    """Run one command and return its exit status."""
    if not argv:
        return _usage_error(f"Name a command: {', '.join(COMMANDS)}.")
    name, *rest = argv
    if name in HELP_ARGUMENTS:
        return _print_help(Commands(), PROGRAM)
    if name not in COMMANDS:
        return _usage_error(_unknown_command(name))
    command = getattr(Commands(), name)
    if any(argument in HELP_ARGUMENTS[:2] for argument in rest):
        return _print_help(command, f"{PROGRAM} {name}")
    checked = arguments.check(rest, arguments.signature_of(command))
    if not isinstance(checked, Success):
        return _usage_error(*checked.failure())
    code = fire.Fire(
        Commands(), command=[name, *checked.unwrap()], name=PROGRAM, serialize=lambda _: None
    )
    return code if isinstance(code, int) else EXIT_USAGE


def _with_log_address(log_service: str, command: Callable[[str], int]) -> int:
    flags = {"log_service": log_service} if log_service else {}
    loaded = settings.load_one("log_service", flags, os.environ)
    if not isinstance(loaded, Success):
        return _usage_error(str(loaded.failure()))
    return command(str(loaded.unwrap()))


def _print_help(component: object, name: str) -> int:
    # Printed here and not by fire, whose pager would start a process. Short
    # flags are left out: they would change their meaning with each new flag.
    text = HelpText(component, FireTrace(component, name=name))
    print(HELP_FLAG.sub(lambda match: match[1].replace("_", "-"), text))
    if name.endswith(" serve"):
        print("\nSETTINGS")
        for field in attrs.fields(settings.Settings):
            print(f"    {settings.describe_setting(field)}")
    return 0


def _unknown_command(name: str) -> str:
    matches = difflib.get_close_matches(name, COMMANDS, n=1)
    hint = f"did you mean {matches[0]}?" if matches else f"there are {', '.join(COMMANDS)}."
    return f"{name!r}: there is no such command; {hint}"


def _usage_error(*lines: str) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return EXIT_USAGE
