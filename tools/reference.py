"""Generate docs/reference from the code; the tests fail when the pages are stale."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import inspect
import pathlib
import re
from collections.abc import Iterable

import attrs

from agaterail.metrics import METRICS, PREFIX
from agaterail.settings import Settings
from agaterail.tables import Pool, Route

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "reference"
TYPE_NAMES = {
    "str": "string",
    "int": "integer",
    "float": "number",
    "bool": "true or false",
    "tuple[str, ...]": "list of strings",
    "tuple[TargetEntry, ...]": "list of {address, domain}",
    "PoolKind": "engine or service",
}
GENERATED_NOTE = "Generated from the code by `make reference`; do not edit."


def main() -> None:
    """Write all pages."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, text in pages().items():
        (FOLDER / name).write_text(text, encoding="utf-8")


def pages() -> dict[str, str]:
    """Return the text of each page by file name."""
    return {"settings.md": settings(), "tables.md": tables(), "metrics.md": metrics()}


def settings() -> str:
    """Return the page with the daemon's settings."""
    rows = []
    for field in attrs.fields(Settings):
        default = "none" if field.default in (None, "", ()) else str(field.default)
        flag, variable = Settings.flag_of(field.name), Settings.variable_of(field.name)
        rows.append((f"`{flag}`", f"`{variable}`", default, field.metadata["description"]))
    head = ("flag", "variable", "default", "description")
    return _page(
        "Settings of `agaterail serve`",
        "A flag takes precedence over its variable.",
        head,
        rows,
    )


def tables() -> str:
    """Return the page with the fields of both tables."""
    parts = []
    for kind, section in ((Pool, "pools"), (Route, "routes")):
        descriptions = _documented_attributes(kind)
        rows = [
            (
                f"`{field.name}`",
                _type_of(kind, field.name),
                _default_of(field),
                descriptions[field.name],
            )
            for field in attrs.fields(kind)
            if field.name != "name"
        ]
        head = ("field", "type", "default", "description")
        text = f"Section `[{section}.NAME]` of a table file (TOML)."
        parts.append(_page(f"Fields of `{section}`", text, head, rows))
    return "\n".join(parts)


def metrics() -> str:
    """Return the page with the metrics."""
    rows = []
    for metric in METRICS:
        members = "" if metric.members is None else ", ".join(_member_values(metric.members))
        name = metric.name.replace("{}", "*")
        rows.append((f"`{name}`", metric.kind.value, metric.unit, metric.description, members))
    head = ("name", "kind", "unit", "description", "values of *")
    return _page("Metrics (statsd)", f"Each name starts with `{PREFIX}.`.", head, rows)


def _member_values(members: Iterable) -> list[str]:
    return [member.value for member in members]


def _page(
    title: str, text: str, head: tuple[str, ...], rows: Iterable[tuple[str, ...]]
) -> str:
    lines = [
        f"# {title}",
        "",
        f"{text} {GENERATED_NOTE}",
        "",
        _row(head),
        _row(["---"] * len(head)),
    ]
    return "\n".join([*lines, *map(_row, rows), ""])


def _row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _type_of(kind: type, name: str) -> str:
    # Uses the annotation as written in the source, because libraries replace the
    # type in the attrs field by the resolved type.
    written = str(inspect.get_annotations(kind)[name])
    return TYPE_NAMES.get(written, written)


def _default_of(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if field.default in ("", ()):
        return "empty"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return str(field.default)


def _documented_attributes(kind: type) -> dict[str, str]:
    """Return the description of each field from the Attributes section of a class.

    Fields that the section does not list get an empty description.
    """
    descriptions = dict.fromkeys((field.name for field in attrs.fields(kind)), "")
    _, _, section = inspect.cleandoc(kind.__doc__ or "").partition("Attributes\n----------\n")
    for names, text in re.findall(r"^(\S.*)\n((?:    .*\n?)+)", section, re.MULTILINE):
        for name in names.split(", "):
            descriptions[name] = " ".join(text.split())
    return descriptions


if __name__ == "__main__":
    main()
