"""Entry point of the binary, in which it is ``__main__.py``.

Python can import modules from a ZIP file, but the dynamic loader needs extension
modules as files. Each imported extension module is copied to an anonymous file
in memory, so nothing is unpacked and no writable directory is needed.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile

EXTENSION_SUFFIXES = tuple(
    sorted(importlib.machinery.EXTENSION_SUFFIXES, key=len, reverse=True)
)


class ExtensionFinder(importlib.abc.MetaPathFinder):
    """Finder for the extension modules in a ZIP file."""

    def __init__(self, archive: zipfile.ZipFile) -> None:
        self.archive = archive
        self.members: dict[str, str] = {}
        for member in archive.namelist():
            suffix = next((item for item in EXTENSION_SUFFIXES if member.endswith(item)), None)
            if suffix is not None:
                self.members[member.removesuffix(suffix).replace("/", ".")] = member

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Copy a module to an anonymous file and return the spec to load it from there."""
        member = self.members.get(fullname)
        if member is None:
            return None
        # The descriptor stays open because the dynamic loader identifies libraries
        # by path: a reused descriptor number would give the earlier library.
        descriptor = os.memfd_create(fullname)
        with os.fdopen(descriptor, "wb", closefd=False) as file:
            file.write(self.archive.read(member))
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


def start() -> None:
    """Install the finder for this file and run the command line."""
    sys.meta_path.insert(0, ExtensionFinder(zipfile.ZipFile(sys.path[0])))
    from agaterail.cmd.main import main

    main()


if __name__ == "__main__":
    start()
