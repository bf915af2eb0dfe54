"""Kept connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.channel import Channel

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.targets import Target

# A kept connection that its target is about to close may break while a request
# is on its way, and nobody knows then whether it ran. For requests that must
# not run twice only the first part of the announced time is used.
MARGIN_REPEATABLE = 0.8
MARGIN_ONCE = 0.5
# Targets that announce no time close idle connections after seconds as a rule.
UNANNOUNCED_IDLE_S = 2.0
# A target without power answers nothing, and a request on a kept connection to
# it waits in vain; one that must not run twice is lost with that. So a kept
# connection is used only if the target was heard of lately. A new one proves
# by its handshake, a millisecond, that somebody is there.
HEARD_REPEATABLE_S = 1.0
HEARD_ONCE_S = 0.25


class ChannelPool:
    """Idle connections by target, the last used first."""

    def __init__(self, decode: Callable[..., AnswerHead], now: Callable[[], float]) -> None:
        self.decode = decode
        self.now = now
        self.idle: dict[str, list[Channel]] = {}
        self.opened = 0

    def take(self, target: Target, idempotent: bool, connect_timeout_s: float) -> Channel:
        """Return a kept connection that still looks sound, or a new one.

        Raises
        ------
        OSError
            If no connection was made; nothing was sent then.
        """
        margin = MARGIN_REPEATABLE if idempotent else MARGIN_ONCE
        heard_s = HEARD_REPEATABLE_S if idempotent else HEARD_ONCE_S
        heard = self.now() - target.heard_at < heard_s
        kept = self.idle.get(target.instance, [])
        while kept and heard:
            channel = kept.pop()
            if self._is_young(channel, margin) and not channel.is_stale(margin):
                return channel
            channel.close()
        self.opened += 1
        channel = Channel.connect(target.address, connect_timeout_s, self.decode, self.now)
        channel.on_data = lambda: self._note_heard(target)
        self._note_heard(target)
        return channel

    def give_back(self, target: Target, channel: Channel) -> None:
        """Keep a connection whose answer was read whole."""
        if channel.finish():
            if target.gone:
                channel.close()
                return
            self.idle.setdefault(target.instance, []).append(channel)

    def give_back_unused(self, target: Target, channel: Channel) -> None:
        """Keep a connection on which nothing was sent since it was taken."""
        channel.idle_since = self.now()
        self.idle.setdefault(target.instance, []).append(channel)

    def drop(self, target: Target) -> None:
        """Close the idle connections to a target that is gone."""
        for channel in self.idle.pop(target.instance, []):
            channel.close()

    def close_stale(self) -> None:
        """Close idle connections that will not be used again."""
        for instance, kept in list(self.idle.items()):
            sound = []
            for channel in kept:
                if self._is_young(channel, MARGIN_REPEATABLE) and not channel.is_stale(
                    MARGIN_REPEATABLE
                ):
                    sound.append(channel)
                else:
                    channel.close()
            self.idle[instance] = sound
            if not sound:
                del self.idle[instance]

    def _note_heard(self, target: Target) -> None:
        target.heard_at = self.now()

    def _is_young(self, channel: Channel, margin: float) -> bool:
        if channel.keep_alive_s is not None:
            return True
        return self.now() - channel.idle_since < UNANNOUNCED_IDLE_S * margin
