"""Run all features and print one line with the numbers of passed and failed scenarios."""

from gevent import monkey

monkey.patch_all()

import logging
import pathlib
import sys

from behave import configuration, model_type, runner

ROOT = pathlib.Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_red() -> set[str]:
    """Return the names of scenarios that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    }


def main(arguments: list[str]) -> int:
    """Run features; return the exit status."""
    logging.disable(logging.INFO)
    options = ["--format=progress3", "--no-capture", "--no-timings", *arguments]
    if not any(not argument.startswith("-") for argument in arguments):
        options.append(str(ROOT))
    behaviour = runner.Runner(configuration.Configuration(options))
    has_failed = behaviour.run()
    scenarios = [s for feature in behaviour.features for s in feature.walk_scenarios()]
    executed = [s for s in scenarios if s.status not in (model_type.Status.skipped,)]
    passed = [s for s in executed if s.status == model_type.Status.passed]
    red = known_red()
    tolerated = [s for s in executed if s not in passed and s.name.strip() in red]
    failed = len(executed) - len(passed) - len(tolerated)
    for scenario in tolerated:
        print(f"known red: {scenario.name}")
    print(f"{len(passed)} passed, {failed} failed")
    is_clean = not has_failed or bool(tolerated)
    return 0 if passed and not failed and is_clean else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
