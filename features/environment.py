"""Hooks that behave calls around each scenario."""

import pathlib

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def after_scenario(context, scenario):
    """Run the cleanups that the steps of a scenario registered, in reverse order."""
    for cleanup in reversed(getattr(context, "cleanups", [])):
        cleanup()
    context.cleanups = []


def before_scenario(context, scenario):
    """Start a scenario with no cleanups."""
    context.cleanups = []
