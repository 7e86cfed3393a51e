"""Hooks of behave."""

import pathlib

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def after_scenario(context, scenario):
    """End what a scenario started."""
    for stop in reversed(getattr(context, "cleanups", [])):
        stop()
    context.cleanups = []


def before_scenario(context, scenario):
    """Prepare a scenario."""
    context.cleanups = []
