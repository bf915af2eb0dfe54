"""Digest of the package's source files, which tells which build is running."""

from __future__ import annotations

import hashlib
import importlib.resources
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from importlib.resources.abc import Traversable

PACKAGE = "agaterail"
DIGEST_BYTES = 6


def source_digest(pause: Callable[[], object] = lambda: None) -> str:
    """Return a digest that is equal for equal sources, wherever they are installed.

    Parameters
    ----------
    pause
        Called after each file, so that others can run.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name, file in sorted(_files(importlib.resources.files(PACKAGE), "")):
        digest.update(name.encode())
        digest.update(file.read_bytes())
        pause()
    return digest.hexdigest()


def _files(folder: Traversable, prefix: str) -> Iterator[tuple[str, Traversable]]:
    for item in folder.iterdir():
        name = f"{prefix}/{item.name}"
        if item.is_dir():
            yield from _files(item, name)
        elif item.name.endswith(".py"):
            yield name, item
