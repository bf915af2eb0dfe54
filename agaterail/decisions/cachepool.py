"""Pool of cached prompt parts that workspaces share, over successive desired states.

Engines find cached parts only under the scope they were made under. Workspaces that are not
isolated share one scope, the pool. Cached parts outlive the desired state under which they
were made, so a pool ends once one of the workspaces that made parts in it is isolated: the
others go on in a new pool.

A pool is identified by its epoch, the version of the desired state it began with. Two rules
keep the parts of an isolated workspace out of every pool in use:

- At a desired state, the pool with its version as epoch may always be used: only workspaces
  that share at this version make parts in it.
- A record in the platform's store lets a pool go on at a later version. Records form a chain
  of increasing versions, and each one is derived from all workspaces that shared at a
  recorded version of the epoch.
"""

from __future__ import annotations

import hashlib
import struct
from typing import TYPE_CHECKING
from urllib.parse import quote

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

ID_BYTES = 8
# Bound of a record's size. With more removed workspaces, the pool is renewed.
MAX_FORMER = 256


@attrs.frozen
class Sharing:
    """Workspaces of one desired state, by their ids.

    Attributes
    ----------
    version
        Version of the desired state.
    shared
        Workspaces that share the pool.
    isolated
        Workspaces that share with no other one.
    """

    version: int
    shared: frozenset[int]
    isolated: frozenset[int]


@attrs.frozen
class PoolRecord:
    """Pool that is in use at a version of the desired state.

    Attributes
    ----------
    version
        Version of the desired state.
    epoch
        Version of the desired state that the pool began with.
    checksum
        Checksum of the workspaces that share at the version.
    former
        Workspaces that shared at an earlier version of the epoch and were removed.
    """

    version: int
    epoch: int
    checksum: str
    former: frozenset[int] = frozenset()


def workspace_id(name: str) -> int:
    """Return the id of a workspace, which takes few bytes in a record.

    If two names had the same id, isolating one of them would renew the pool for the other.
    """
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=ID_BYTES)
    return int.from_bytes(digest.digest(), "big")


def checksum(members: Collection[int]) -> str:
    """Return a checksum of the ids of workspaces."""
    packed = struct.pack(f">{len(members)}Q", *sorted(members))
    return hashlib.blake2b(packed, digest_size=ID_BYTES).hexdigest()


def next_record(
    known: PoolRecord | None, members: frozenset[int] | None, sharing: Sharing
) -> PoolRecord:
    """Return the record for a newer desired state.

    The pool goes on unless a workspace that has shared it is isolated now.

    Parameters
    ----------
    known
        The newest record; None if there is none.
    members
        Workspaces that share at the version of the newest record; None if unknown.
    sharing
        Workspaces of the newer desired state.
    """
    digest = checksum(sharing.shared)
    if known is not None and members is not None:
        ever_shared = members | known.former
        former = ever_shared - sharing.shared
        if ever_shared.isdisjoint(sharing.isolated) and len(former) <= MAX_FORMER:
            return PoolRecord(sharing.version, known.epoch, digest, former)
    return PoolRecord(sharing.version, sharing.version, digest)


def pool_scope(weights_version: int | None, epoch: int) -> str:
    """Return the cache scope of a pool."""
    return f"{_weights_prefix(weights_version)}:{epoch}"


def private_scope(weights_version: int | None, workspace: str) -> str:
    """Return the cache scope of a workspace that shares with no other one.

    The name is quoted: engines may trim blanks, and a header holds no other characters.
    """
    name = quote(workspace, safe="", errors="surrogatepass")
    return f"{_weights_prefix(weights_version)}/{name}"


def _weights_prefix(weights_version: int | None) -> str:
    return "" if weights_version is None else f"v{weights_version}"
