"""Run features in parallel processes and print the numbers of passed and failed scenarios."""

from gevent import monkey

monkey.patch_all()

import itertools
import logging
import pathlib
import re
import sys

import gevent.pool
from behave import configuration, model, model_type, runner
from gevent import subprocess

ROOT = pathlib.Path(__file__).resolve().parent
KNOWN_RED_PATH = ROOT.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
# Makes the runner print its counts in the form of `COUNTS_PATTERN`, for the process that started
# it.
SINGLE_FLAG = "--single"
# Half of the cores of a six-core machine; the other half is for the processes that scenarios start.
MAX_PROCESSES = 3
# The longest features start first, so that none of them runs alone at the end.
SLOWEST_FEATURES = (
    "soak",
    "gateway_software_versions",
    "replay",
    "processes",
    "fault_run",
    "callers",
    "mesh",
    "rollout",
)
# Run one by one after all others: they check the memory of processes under a load of their own.
EXCLUSIVE_FEATURES = ("misbehaving_callers",)
FAILED_STATUSES = frozenset(
    {model_type.Status.failed, model_type.Status.error, model_type.Status.undefined}
)
COUNTS_PATTERN = re.compile(r"^counts: (\d+) passed, (\d+) failed$", re.MULTILINE)
# Lines that are printed again after the output of all features.
SUMMARY_PATTERN = re.compile(r"^(?:known red|failed): .*$", re.MULTILINE)


def known_red_scenarios() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists as known failures."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    }


def failure_line(scenario: model.Scenario) -> str:
    """Return one line that names a failed scenario, its failed step and the reason."""
    line = f"failed: {scenario.location} {scenario.name}"
    for step in scenario.all_steps:
        if step.status in FAILED_STATUSES:
            reason = (step.error_message or "").strip().splitlines() or ["no message"]
            is_traceback = reason[0].startswith("Traceback")
            return f"{line}: {step.keyword} {step.name}: {reason[-1 if is_traceback else 0]}"
    return line


def run_in_process(arguments: list[str]) -> tuple[int, int]:
    """Run features in this process.

    A scenario that KNOWN-RED.txt lists is not counted when it fails. An error outside a scenario
    counts as one failure.

    Args:
      arguments: Command-line arguments for behave; all features run when no file is among them.

    Returns:
      The numbers of scenarios that passed and failed.
    """
    logging.disable(logging.INFO)
    options = ["--format=progress3", "--no-capture", "--no-timings", *arguments]
    if not any(not argument.startswith("-") for argument in arguments):
        options.append(str(ROOT))
    behave_runner = runner.Runner(configuration.Configuration(options))
    has_failed = behave_runner.run()
    scenarios = [s for feature in behave_runner.features for s in feature.walk_scenarios()]
    executed = [s for s in scenarios if s.status not in (model_type.Status.skipped,)]
    passed = [s for s in executed if s.status == model_type.Status.passed]
    known_red = known_red_scenarios()
    tolerated = [s for s in executed if s not in passed and s.name.strip() in known_red]
    unexpected = [s for s in executed if s not in passed and s not in tolerated]
    for scenario in tolerated:
        print(f"known red: {scenario.name}")
    for scenario in unexpected:
        print(failure_line(scenario))
    failed = len(unexpected)
    if has_failed and not failed and not tolerated:
        print("failed: an error outside the scenarios")
        failed = 1
    return len(passed), failed


def run_in_subprocess(feature: pathlib.Path) -> tuple[str, int, int]:
    """Run one feature in a subprocess; return its output and the numbers of passed and failed."""
    command = [sys.executable, "-m", "features.runner", SINGLE_FLAG, str(feature)]
    completed = subprocess.run(
        command, cwd=ROOT.parent, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False
    )
    output = completed.stdout.decode(errors="replace")
    counts_match = COUNTS_PATTERN.search(output)
    if counts_match is None:
        output += f"\nfailed: {feature.name} ended with status {completed.returncode} and no counts"
        return output, 0, 1
    return output, int(counts_match.group(1)), int(counts_match.group(2))


def run_all() -> tuple[int, int]:
    """Run all features, at most MAX_PROCESSES at a time, and print their output.

    `EXCLUSIVE_FEATURES` run one by one after the others.

    Returns:
      The numbers of scenarios that passed and failed.
    """

    def sort_key(feature: pathlib.Path) -> tuple[int, str]:
        is_slow = feature.stem in SLOWEST_FEATURES
        return (
            SLOWEST_FEATURES.index(feature.stem) if is_slow else len(SLOWEST_FEATURES),
            feature.stem,
        )

    features = sorted(ROOT.glob("*.feature"), key=sort_key)
    shared = [feature for feature in features if feature.stem not in EXCLUSIVE_FEATURES]
    exclusive = [feature for feature in features if feature.stem in EXCLUSIVE_FEATURES]
    passed, failed, summary = 0, 0, []
    results = itertools.chain(
        gevent.pool.Pool(MAX_PROCESSES).imap_unordered(run_in_subprocess, shared),
        map(run_in_subprocess, exclusive),
    )
    for output, feature_passed, feature_failed in results:
        print(output, flush=True)
        passed, failed = passed + feature_passed, failed + feature_failed
        summary += SUMMARY_PATTERN.findall(output)
    for line in summary:
        print(line)
    return passed, failed


def main(arguments: list[str]) -> int:
    """Run the features named in the arguments, or all; return the exit status."""
    if arguments:
        is_single = arguments[0] == SINGLE_FLAG
        passed, failed = run_in_process(arguments[1:] if is_single else arguments)
        print(f"{'counts: ' if is_single else ''}{passed} passed, {failed} failed")
    else:
        passed, failed = run_all()
        print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":

    sys.exit(main(sys.argv[1:]))
