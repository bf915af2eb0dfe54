"""Command line of agaterail."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import sys
from typing import TYPE_CHECKING

import fire
from fire.decorators import SetParseFn

from agaterail import __version__
from agaterail.cmd.serve import serve
from agaterail.cmd.tables import apply, check, diff, history, show

if TYPE_CHECKING:
    from collections.abc import Sequence

USAGE_ERROR = 2


class Commands:
    """Router for language-model traffic with long shared prompts."""

    @SetParseFn(str)
    def serve(self, print_settings: str = "false", **flags: str) -> int:
        """Run the daemon.

        Each setting is a flag (--listen) or a variable (AGATERAIL_LISTEN).
        --print-settings prints all of them with their values and ends.
        """
        return serve(flags, print_only=print_settings != "false")

    @SetParseFn(str)
    def check(self, *paths: str) -> int:
        """Check table files (TOML) without the log."""
        return check(paths)

    @SetParseFn(str)
    def diff(self, *paths: str, log_service: str = "") -> int:
        """Show what applying table files would change."""
        return diff(paths, log_service)

    @SetParseFn(str)
    def apply(
        self, *paths: str, log_service: str = "", author: str = "", dry_run: str = "false"
    ) -> int:
        """Make the tables in force equal to the files, all or nothing."""
        return apply(paths, log_service, author, dry_run != "false")

    @SetParseFn(str)
    def show(self, log_service: str = "") -> int:
        """Print the tables in force."""
        return show(log_service)

    @SetParseFn(str)
    def history(self, log_service: str = "") -> int:
        """Print the judged edits that the log still keeps."""
        return history(log_service)

    def version(self) -> int:
        """Print the version."""
        print(f"agaterail {__version__}")
        return 0


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its status."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    status = fire.Fire(Commands(), command=given, name="agaterail", serialize=lambda _: "")
    sys.exit(status if isinstance(status, int) else USAGE_ERROR)
