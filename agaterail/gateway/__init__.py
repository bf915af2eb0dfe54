"""The daemon that routes plain HTTP requests whose prompts are named by parts.

Decisions are modules without I/O (:mod:`desired`, :mod:`freshness`,
:mod:`targets`, :mod:`placement`, :mod:`retrybudget`, :mod:`attempts`,
:mod:`rollout`); :mod:`front`, :mod:`upstream` and the controllers do the I/O.
"""
