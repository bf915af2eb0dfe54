"""Start agaterail from its single file; becomes ``__main__.py`` of the binary.

Python imports from a ZIP file, but extension modules have to be files for the
dynamic loader. Each one that is imported is copied to an anonymous file in
memory, so nothing is unpacked and no directory has to be writable.
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
    """Finds the extension modules of a ZIP file."""

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
        """Copy a module to memory and return where it is."""
        member = self.members.get(fullname)
        if member is None:
            return None
        # The descriptor stays open: the dynamic loader knows libraries by
        # their path, and a number that is used again would give the old one.
        descriptor = os.memfd_create(fullname)
        with os.fdopen(descriptor, "wb", closefd=False) as file:
            file.write(self.archive.read(member))
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


def start() -> None:
    """Find extension modules in this file and run the command line."""
    sys.meta_path.insert(0, ExtensionFinder(zipfile.ZipFile(sys.path[0])))
    from agaterail.cmd.main import main

    main()


if __name__ == "__main__":
    start()
