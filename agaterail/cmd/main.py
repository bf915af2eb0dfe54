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
    "quarantine",
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

    serve runs the daemon; check, diff, apply, show and history work on the
    tables; status queries a running daemon. Each command has its own --help.
    """

    def serve(self, print_settings: str = "false", **flags: str) -> int:
        """Run the daemon until SIGTERM, then drain and exit.

        Each setting can be given as a flag (--listen) or an environment variable
        (AGATERAIL_LISTEN). A flag overrides the variable, which overrides the default.

        Parameters
        ----------
        print_settings
            Print all settings with their values and exit.
        """
        return serve(flags, print_only=print_settings != "false")

    def gateway(self, settings_file: str = "") -> int:
        """Run the daemon on the hosts' platform until SIGTERM.

        Parameters
        ----------
        settings_file
            Settings file that the platform provides; by default the file named in
            AGATERAIL_NODE_FILE.
        """
        from agaterail.cmd.gateway import gateway

        return gateway(settings_file)

    def story(self, request_id: str, *paths: str, around: str = "2") -> int:
        """Print the log lines of one request across hosts, in order of time.

        Reads log files, or standard input. The output includes changes of state on the
        request's hosts, from shortly before the request until its end.

        Parameters
        ----------
        around
            Seconds before the request for which changes of state are included.
        """
        from agaterail.cmd.story import print_trace

        try:
            seconds = float(around)
        except ValueError:
            return _usage_error(f"--around: {around!r} is not a number of seconds.")
        return print_trace(request_id, paths, seconds)

    @arguments.reads_standard_input
    def losses(self, *paths: str, slot: str = "2") -> int:
        """Group requests that got no complete answer in time by cause and route.

        Reads the gateway's log files, or standard input. For each group, prints the time
        slots with the most requests, and example request ids for ``story``.

        Parameters
        ----------
        slot
            Length of a time slot in whole seconds.
        """
        from agaterail.cmd.losses import print_losses

        if not slot.isdigit():
            return _usage_error(f"--slot: {slot!r} is not a whole number of seconds.")
        return print_losses(paths, int(slot))

    def quarantine(self, store: str = "", lift: str = "", request: str = "") -> int:
        """List the requests and parts of prompts that are kept from targets, or lift one.

        Parameters
        ----------
        store
            Address of the platform's store, IP:port; required.
        lift
            Request or part, as listed, whose quarantine ends on all hosts, once its
            targets bear it again.
        request
            Id of a request; only what was quarantined after it ended a target is listed.
        """
        from agaterail.cmd.quarantine import quarantine

        if not store:
            return _usage_error("--store: no address of the platform's store given.")
        return quarantine(store, lift, request)

    def check(self, *paths: str) -> int:
        """Check table files (TOML) without reading the log.

        Reports every problem with its file, row and field. Exits with 0 if there is
        none, else with 2.
        """
        return check(paths)

    def diff(self, *paths: str, log_service: str = "", against: str = "") -> int:
        """Show what applying table files would change.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        against
            Directory or file to compare with instead of the tables in force.
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
        """Change the tables in force to match the files, atomically.

        Exits with 0 only after the edit was read back as accepted, with 1 if it was
        refused, and with 3 if it was sent but could not be read back.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        author
            Name recorded with the edit (AGATERAIL_AUTHOR); required.
        dry_run
            Print the plan and exit.
        allow_empty
            Allow files without any row, which deletes all rows.
        in_parts
            Split an edit that is larger than a record of the log into several.
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
        """Print the edits that the log still retains, with the verdict on each.

        Parameters
        ----------
        log_service
            Address of the platform's log, IP:port (AGATERAIL_LOG_SERVICE).
        json
            Print one JSON object per line.
        """
        return _with_log_address(
            log_service, lambda address: history(address, json != "false")
        )

    def status(self, peer: str = "", json: str = "false", **flags: str) -> int:
        """Print a daemon's tables version, members, engines and limits.

        The daemons' shared secret is read from AGATERAIL_PEER_SECRET.

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
    except Exception as error:  # report every failure as one line, not as a traceback
        print(f"{PROGRAM}: {type(error).__name__}: {error}", file=sys.stderr)
        code = EXIT_FAILED
    sys.exit(code)


def run(argv: list[str]) -> int:
    """Run one command and return its exit status."""
    if not argv:
        return _usage_error(f"A command is required: {', '.join(COMMANDS)}.")
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
    # Fire would start a pager process, so the text is printed here. The short flags that
    # fire derives are removed, because new flags would change their meaning.
    text = HelpText(component, FireTrace(component, name=name))
    print(HELP_FLAG.sub(lambda match: match[1].replace("_", "-"), text))
    if name.endswith(" serve"):
        print("\nSETTINGS")
        for field in attrs.fields(settings.Settings):
            print(f"    {settings.describe_setting(field)}")
    return 0


def _unknown_command(name: str) -> str:
    matches = difflib.get_close_matches(name, COMMANDS, n=1)
    hint = (
        f"did you mean {matches[0]}?"
        if matches
        else f"the commands are {', '.join(COMMANDS)}."
    )
    return f"{name!r}: no such command; {hint}"


def _usage_error(*lines: str) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return EXIT_USAGE
