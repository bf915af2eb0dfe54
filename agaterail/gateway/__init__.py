"""The daemon that routes plain HTTP requests whose callers name the prompt's parts.

Decisions are made by modules without I/O (:mod:`desired`, :mod:`freshness`,
:mod:`targets`, :mod:`placement`, :mod:`retrybudget`, :mod:`retrystate`,
:mod:`weightsplan`). The I/O is in :mod:`httpserver`, :mod:`targetconnection` and the
controllers.
"""
