"""Build ``dist/agaterail``, a single executable file that runs as one process."""

from __future__ import annotations

import hashlib
import importlib.metadata
import pathlib
import py_compile
import sys
import tempfile
import tomllib
import zipfile
from collections.abc import Iterator

from pip._vendor.packaging.requirements import Requirement

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "agaterail"
PACKAGE = ROOT / "agaterail"
ENTRY_POINT = ROOT / "tools" / "binary_main.py"
LOCK = ROOT / "requirements.lock"
MEMBER_DATE = (2020, 1, 1, 0, 0, 0)
EXECUTABLE_MODE = 0o755
DIGEST_BYTES = 12
EXCLUDED_DIRECTORIES = ("tests", "testing", "__pycache__")
# Files that pip writes about the environment; they differ between environments.
EXCLUDED_NAMES = ("RECORD", "INSTALLER", "REQUESTED", "direct_url.json")
EXCLUDED_SUFFIXES = (".pyc", ".pyi", ".c", ".h", ".pyx", ".pxd", ".pth")


def main() -> None:
    """Build the binary and print its path and size."""
    build(BINARY)
    print(f"{BINARY.relative_to(ROOT)}: {BINARY.stat().st_size / 1e6:.1f} MB")


def build(target: pathlib.Path) -> None:
    """Write the binary; the same sources, lock and interpreter path give the same bytes."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as file:
        file.write(f"#!{sys._base_executable}\n".encode())  # type: ignore[attr-defined]
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            members = _members()
            # Packages without __init__.py are found only if their directory has an entry.
            for folder in sorted(
                {parent for name in members for parent in _parent_directories(name)}
            ):
                archive.writestr(zipfile.ZipInfo(f"{folder}/", MEMBER_DATE), b"")
            for name, path in sorted(members.items()):
                _add_member(archive, name, path)
    target.chmod(EXECUTABLE_MODE)


def build_cached() -> pathlib.Path:
    """Return the cached binary of the same sources and lock, or build it."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for path in (*sorted(PACKAGE.rglob("*.py")), ENTRY_POINT, LOCK, pathlib.Path(__file__)):
        digest.update(path.read_bytes())
    target = ROOT / "build" / f"agaterail-{digest.hexdigest()}"
    if not target.exists():
        unfinished = target.with_suffix(".unfinished")
        build(unfinished)
        unfinished.rename(target)
    return target


def runtime_packages() -> dict[str, str]:
    """Return the locked versions of the runtime packages and their dependencies.

    Raises
    ------
    RuntimeError
        If an installed version differs from the locked one.
    """
    locked = dict(line.split("==") for line in LOCK.read_text().split())
    locked = {_normalize_name(name): version for name, version in locked.items()}
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    versions: dict[str, str] = {}
    pending = [Requirement(text) for text in project["dependencies"]]
    while pending:
        requirement = pending.pop()
        name = _normalize_name(requirement.name)
        marker = requirement.marker
        if name in versions or (marker is not None and not marker.evaluate({"extra": ""})):
            continue
        installed = importlib.metadata.version(name)
        if installed != locked.get(name):
            raise RuntimeError(
                f"{name} {installed} is installed, but the lock has {locked.get(name)}"
            )
        versions[name] = installed
        pending += [Requirement(text) for text in importlib.metadata.requires(name) or ()]
    return versions


def _normalize_name(name: str) -> str:
    return name.lower().replace("_", "-").replace(".", "-")


def _members() -> dict[str, pathlib.Path]:
    members = {"__main__.py": ENTRY_POINT}
    for path in PACKAGE.rglob("*.py"):
        members[str(path.relative_to(ROOT))] = path
    for package in runtime_packages():
        for file in importlib.metadata.files(package) or ():
            if _is_included(file):
                members[str(file)] = pathlib.Path(str(file.locate()))
    return members


def _parent_directories(name: str) -> list[str]:
    return [str(parent) for parent in pathlib.PurePosixPath(name).parents][:-1]


def _is_included(file: pathlib.PurePath) -> bool:
    parts = file.parts
    return not (
        parts[0] == ".."
        or any(part in EXCLUDED_DIRECTORIES for part in parts)
        or file.name in EXCLUDED_NAMES
        or file.suffix in EXCLUDED_SUFFIXES
    )


def _add_member(archive: zipfile.ZipFile, name: str, path: pathlib.Path) -> None:
    for member, data in _source_and_bytecode(name, path):
        info = zipfile.ZipInfo(member, MEMBER_DATE)
        info.compress_type = zipfile.ZIP_DEFLATED
        archive.writestr(info, data)


def _source_and_bytecode(name: str, path: pathlib.Path) -> Iterator[tuple[str, bytes]]:
    yield name, path.read_bytes()
    if path.suffix != ".py":
        return
    with tempfile.TemporaryDirectory() as folder:
        compiled = pathlib.Path(folder) / "compiled.pyc"
        py_compile.compile(
            str(path),
            str(compiled),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        yield f"{name}c", compiled.read_bytes()


if __name__ == "__main__":
    main()
