"""Which prompts of a service are refused when a part of its load must be."""

from __future__ import annotations

import enum

import attrs

from agaterail.decisions.decayedsums import DecayedSums
from agaterail.decisions.returningcallers import ReturningCallers, prefer_returned
from agaterail.decisions.urgency import UrgencyLoad, divide_refusals
from agaterail.decisions.workspaceshares import WorkspaceDemand, share_refusals

# The composition of the load is known from this many prompts. With fewer, the order is
# mixed with one probability for all.
ENOUGH_PROMPTS = 8.0
LOAD_SPAN_S = 3.0
LOAD_MAX_SPAN_S = 30.0
# More prompts are needed to tell a workspace's load from chance.
WORKSPACE_SPAN_S = 6.0
WORKSPACE_PROMPTS = 16.0
WORKSPACE_MAX_SPAN_S = 15.0
MAX_WORKSPACES = 64
# Callers see how often they are served over some seconds.
ADMISSION_SPAN_S = 8.0
ADMISSION_PROMPTS = 16.0
ADMISSION_MAX_SPAN_S = 30.0
# How often an urgency or a workspace is admitted over time, relative to all prompts of
# the service. What is admitted can still fail, and the less urgent fail more often.
GUARANTEED_ADMISSION = 0.4
# For a moment, one that was admitted more often lately may be admitted more rarely.
MIN_ADMISSION = 0.05
# Least admission of callers that have not returned, relative to all of their workspace.
FIRST_TRY_ADMISSION = 0.7
SHARES_PERIOD_S = 0.1
# Ranks of which a daemon keeps the load; a service rarely has more than a few.
MAX_RANKS = 32

# Urgency and priority of the route.
Rank = tuple[int, int]


@attrs.frozen(kw_only=True)
class OfferedPrompt:
    """What the order of refusals needs to know of a request.

    Attributes
    ----------
    urgency
        Priority of the workspace, or else of the route: from 0, the most urgent, to 9.
    route_priority
        Decides between prompts of the same urgency.
    tokens
        Tokens of the prompt and of the expected output.
    time_limit_s
        Seconds that the caller waits; None if not given.
    """

    urgency: int
    route_priority: int
    route: str
    workspace: str
    tokens: int
    time_limit_s: float | None = None

    @property
    def rank(self) -> Rank:
        """Return the place in the order; the prompts of the highest are refused first."""
        return self.urgency, self.route_priority


@attrs.define(eq=False)
class Offer:
    """A prompt that was recorded as offered.

    Attributes
    ----------
    has_returned
        Whether its caller has come back after a refusal or a failure.
    is_decided
        Whether its first decision was recorded. A prompt whose target could not be
        reached is decided on again.
    """

    prompt: OfferedPrompt
    has_returned: bool
    is_decided: bool = False


class RefusalReason(enum.Enum):
    """What most decided on the refusal probability of a prompt."""

    OVERLOAD = "overload"
    URGENCY = "urgency"
    WORKSPACE_SHARE = "workspace_share"


@attrs.frozen(kw_only=True)
class RefusalChance:
    """Probability that a prompt is refused, and what it follows from.

    Attributes
    ----------
    part
        Part of the service's load that is refused.
    of_urgency
        Mean probability of its urgency and its route's priority.
    of_workspace
        Mean probability of its workspace within the urgency.
    prompts
        Number of recent prompts by which the load is known.
    age_s
        Mean age of these prompts in seconds.
    """

    offer: Offer
    probability: float
    part: float
    of_urgency: float
    of_workspace: float
    prompts: float
    age_s: float

    @property
    def reason(self) -> RefusalReason:
        """Return what most raised the probability above the part that is refused."""
        if self.of_workspace - self.of_urgency > max(0.0, self.of_urgency - self.part):
            return RefusalReason.WORKSPACE_SHARE
        if self.of_urgency != self.part:
            return RefusalReason.URGENCY
        return RefusalReason.OVERLOAD

    def describe(self) -> str:
        """Return the probability and its inputs as text for the log."""
        prompt = self.offer.prompt
        return (
            f"{self.probability:.2f} of urgency {prompt.urgency},"
            f" route {prompt.route_priority}"
            f"{', returned' if self.offer.has_returned else ''}"
            f" ({self.of_urgency:.2f}, workspace {self.of_workspace:.2f}),"
            f" by {self.prompts:.0f} prompts of {self.age_s:.1f} s"
        )


@attrs.define
class _Shares:
    """Refusal probabilities by workspace, and when they were computed."""

    computed_at: float
    refused: dict[str, float]


class RefusalOrder:
    """Order in which one daemon refuses the prompts of one service.

    Answers a load of several urgencies that the engines cannot bear, while one workspace
    may ask for much more than the others. The least urgent prompts are refused first,
    and of one urgency those of the routes with the least priority; within these, those of
    workspaces that ask for more than an equal share; within all, callers that have
    returned are refused last. With one urgency and one route's priority, all prompts have
    the same probability.
    """

    def __init__(self) -> None:
        self.loads: DecayedSums[tuple[Rank, bool]] = DecayedSums(
            LOAD_SPAN_S, ENOUGH_PROMPTS, LOAD_MAX_SPAN_S, 2 * MAX_RANKS
        )
        self.workspaces: DecayedSums[tuple[Rank, str]] = DecayedSums(
            WORKSPACE_SPAN_S, WORKSPACE_PROMPTS, WORKSPACE_MAX_SPAN_S, MAX_WORKSPACES
        )
        self.admissions: DecayedSums[Rank] = DecayedSums(
            ADMISSION_SPAN_S, ADMISSION_PROMPTS, ADMISSION_MAX_SPAN_S, MAX_RANKS
        )
        self.workspace_admissions: DecayedSums[tuple[Rank, str]] = DecayedSums(
            ADMISSION_SPAN_S, ADMISSION_PROMPTS, ADMISSION_MAX_SPAN_S, MAX_WORKSPACES
        )
        self.callers = ReturningCallers()
        self.shares: dict[Rank, _Shares] = {}

    def offer(self, prompt: OfferedPrompt, now: float) -> Offer:
        """Record a prompt that arrived."""
        tokens = max(1, prompt.tokens)
        has_returned = self.callers.record(prompt.route, prompt.time_limit_s)
        self.loads.record((prompt.rank, has_returned), tokens, now)
        return Offer(prompt, has_returned)

    def chance(self, offer: Offer, part: float, now: float) -> RefusalChance:
        """Return the refusal probability of a prompt if a part of the load is refused."""
        prompt = offer.prompt
        loads = self._loads_by_rank() if part > 0.0 else {}
        if len(loads) < 2 or prompt.rank not in loads:
            return self._chance(offer, part, part, part, part)
        admitted, of_urgency = self._divide(loads, prompt.rank, part)
        of_workspace = self._share(prompt, of_urgency, admitted, now)
        probability = prefer_returned(
            of_workspace,
            self._returned_part(prompt.rank),
            offer.has_returned,
            1.0 - FIRST_TRY_ADMISSION * (1.0 - of_workspace),
        )
        return self._chance(offer, part, probability, of_urgency, of_workspace)

    def record_chance(self, chance: RefusalChance, now: float) -> None:
        """Record how likely a prompt was to be admitted, and the load of its workspace.

        The load comes after the decision: a large prompt that raised its workspace's sum
        before would be refused more often than a small one.
        """
        offer, admission = chance.offer, 1.0 - chance.probability
        if offer.is_decided:
            return
        offer.is_decided = True
        prompt = offer.prompt
        workspace = (prompt.rank, prompt.workspace)
        self.workspaces.record(workspace, max(1, prompt.tokens), now)
        self.admissions.record(prompt.rank, admission, now)
        self.workspace_admissions.record(workspace, admission, now)

    def _chance(
        self,
        offer: Offer,
        part: float,
        probability: float,
        of_urgency: float,
        of_workspace: float,
    ) -> RefusalChance:
        return RefusalChance(
            offer=offer,
            part=part,
            probability=probability,
            of_urgency=of_urgency,
            of_workspace=of_workspace,
            prompts=self.loads.prompts,
            age_s=self.loads.mean_age_s,
        )

    def _loads_by_rank(self) -> dict[Rank, UrgencyLoad]:
        sums: dict[Rank, tuple[float, float]] = {}
        for (rank, _), load in self.loads.kinds.items():
            prompts, tokens = sums.get(rank, (0.0, 0.0))
            sums[rank] = (prompts + load.prompts, tokens + load.amount)
        total = self.loads.total
        return {
            rank: UrgencyLoad(prompts / total.prompts, tokens / total.amount)
            for rank, (prompts, tokens) in sorted(sums.items())
        }

    def _divide(
        self, loads: dict[Rank, UrgencyLoad], rank: Rank, part: float
    ) -> tuple[float, float]:
        """Return how often prompts are admitted, and the probability of one rank."""
        known = min(1.0, self.loads.prompts / ENOUGH_PROMPTS)
        rarest = min(self.admissions.mean(name, 1.0) for name in loads)
        ordered = divide_refusals(part, list(loads.values()), self._lowest(rarest))
        refused = {
            name: part + known * (item - part)
            for name, item in zip(loads, ordered, strict=True)
        }
        admitted = sum(load.prompts * (1.0 - refused[name]) for name, load in loads.items())
        return admitted, refused[rank]

    def _lowest(self, admission: float) -> float:
        """Return the least admission, relative to all, by how often it was so far.

        What was admitted more often than guaranteed may be admitted more rarely for a
        moment, so that a short overload does not reach the more urgent prompts.
        """
        total = self.admissions.total
        of_all = total.amount / total.prompts if total.prompts else 1.0
        lowest = 2.0 * GUARANTEED_ADMISSION - admission / max(1e-3, of_all)
        return min(GUARANTEED_ADMISSION, max(MIN_ADMISSION, lowest))

    def _returned_part(self, rank: Rank) -> float:
        kinds = self.loads.kinds
        returned, first = kinds.get((rank, True)), kinds.get((rank, False))
        if returned is None:
            return 0.0
        return returned.amount / (returned.amount + (first.amount if first else 0.0))

    def _share(
        self, prompt: OfferedPrompt, of_urgency: float, admitted: float, now: float
    ) -> float:
        shares = self.shares.get(prompt.rank)
        if shares is None or not 0.0 <= now - shares.computed_at < SHARES_PERIOD_S:
            refused = self._share_refusals(prompt.rank, of_urgency, admitted)
            shares = self.shares[prompt.rank] = _Shares(now, refused)
        found = shares.refused.get(prompt.workspace)
        if found is not None:
            return found
        # No prompt of this workspace was seen lately, so it asks for little.
        return min(shares.refused.values(), default=of_urgency)

    def _share_refusals(
        self, rank: Rank, of_urgency: float, admitted: float
    ) -> dict[str, float]:
        demands = {}
        for kind, sums in self.workspaces.kinds.items():
            if kind[0] == rank:
                lowest = admitted * self._lowest(self.workspace_admissions.mean(kind, 1.0))
                lowest = min(lowest, 1.0 - of_urgency)
                demands[kind[1]] = WorkspaceDemand.from_sums(sums, lowest)
        if len(demands) < 2 or of_urgency <= 0.0:
            return {}
        return share_refusals(of_urgency, demands)
