"""Command bronzemux-load: load, replay and measurements."""

from gevent import monkey

monkey.patch_all()

import pathlib
import sys

from absl import flags

from bronzemux import (
    clock,
    config,
    config_edit,
    development,
    errors,
    load,
    replay,
    reports,
    settings,
    slopes,
    traffic,
)

FLAGS = flags.FLAGS
flags.DEFINE_string("examples", "examples", "Folder of configurations and traffic files.")
flags.DEFINE_enum("deployment", "centre", ["centre", "plinth"], "Deployment to load.")
flags.DEFINE_list("policies", list(replay.POLICIES), "Policies to replay.")
flags.DEFINE_list("routers", ["127.0.0.1:8080", "127.0.0.1:8081"], "Routers to load.")
flags.DEFINE_float("rate", 0.0, "Requests a second; 0 takes the traffic file's.", lower_bound=0.0)
flags.DEFINE_float("seconds", 0.0, "Length of the run; 0 takes the traffic file's.", lower_bound=0)
flags.DEFINE_integer("requests", 200, "Requests of each kind for `overhead`.", lower_bound=1)
flags.DEFINE_integer("parts", 200, "Words of each answer for `overhead`.", lower_bound=2)
flags.DEFINE_boolean("events", True, "Whether replayed endpoints publish cache events.")
flags.DEFINE_float("report_seconds", 0.25, "Time between replayed load reports.", lower_bound=0.01)
flags.DEFINE_string("json", "", "File for the figures as JSON.")
flags.DEFINE_string("plot", "", "File for a plot; needs the plot extra.")
flags.DEFINE_string("key", development.DEMONSTRATION_KEY, "Pattern of the teams' keys.")

USAGE = """\
usage: bronzemux-load [flags] COMMAND
  replay    seeded traffic through the decision modules on a fake clock, for each policy
  run       seeded traffic over real sockets to running routers
  overhead  time and processor time that a router adds, against the same engine directly
  restart   time from a router's restart to its first answer, with the platform up, slow and down
  slopes    how state, messages and processor time grow, for docs/CAPACITY.md
"""
FAST = 1000.0
PACE_SECONDS = 0.001
SLOW_SECONDS = 1.0
UNLIMITED = config.Limits(requests_per_second=1e9, tokens_per_second=1e12, concurrency=10**6)


def main() -> None:
    """Carry out one command."""
    words = settings.parse(sys.argv)
    commands = {
        "replay": run_replay,
        "run": run_load,
        "overhead": run_overhead,
        "slopes": run_slopes,
        "restart": run_restart,
    }
    if len(words) != 1 or words[0] not in commands:
        print(USAGE, file=sys.stderr)
        settings.fail(f"no command {' '.join(words)!r}")
    try:
        commands[words[0]]()
    except errors.ConfigError as error:
        settings.fail("\n".join([error.message, *map(str, error.exceptions)]), 1)
    except (OSError, errors.BronzemuxError) as error:
        settings.fail(str(error), 1)


def plan_and_document() -> tuple[traffic.Traffic, config.Config]:
    """Return the traffic and the configuration that the flags name."""
    folder = pathlib.Path(FLAGS.examples)
    plan = traffic.loads((folder / f"{FLAGS.deployment}-traffic.toml").read_text("utf-8"))
    document = config.loads((folder / f"{FLAGS.deployment}.toml").read_text("utf-8"))
    return traffic.scaled(plan, FLAGS.rate, FLAGS.seconds), document


def run_replay() -> None:
    """Replay the traffic under each policy and report."""
    plan, document = plan_and_document()
    unknown = sorted(set(FLAGS.policies) - set(replay.POLICIES))
    if unknown:
        known = ", ".join(replay.POLICIES)
        settings.fail(f"--policies={','.join(unknown)}: unknown; use some of {known}")
    report_settings = replay.ReportSettings(FLAGS.report_seconds, FLAGS.events)
    runs = [
        replay.Replay(plan, document, replay.POLICIES[name], report_settings)
        for name in FLAGS.policies
    ]
    summaries = [run.run() for run in runs]
    print(f"{plan.deployment}: {plan.requests_per_second:g}/s for {plan.duration_seconds:g} s")
    print(reports.table(summaries))
    print("\nfirst token p99 by phase, s\n" + reports.phase_table(runs))
    print("\nfirst token p99 by team, s\n" + reports.team_table(runs))
    if FLAGS.json:
        pathlib.Path(FLAGS.json).write_text(reports.to_json(runs), "utf-8")
    if FLAGS.plot:
        reports.plot(runs, pathlib.Path(FLAGS.plot))


def run_load() -> None:
    """Load running routers and report."""
    plan, document = plan_and_document()

    def key_of(team: str) -> str:
        return FLAGS.key.format(deployment=plan.deployment, team=team)

    print(load.send_traffic(plan, FLAGS.routers, key_of, document).text())


def run_overhead() -> None:
    """Measure a router's overhead and report."""
    text = (pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.toml").read_text("utf-8")
    team = config.loads(text).teams[0].name
    text = config_edit.edit(text, config_edit.set_limits(team, UNLIMITED))
    deployment = development.DevelopmentDeployment(
        development.DevelopmentSettings(
            text=text, routers=1, token_seconds=PACE_SECONDS, speed=FAST
        ),
        clock.SystemClock(),
    )
    deployment.start()
    print(load.measure_overhead(deployment, FLAGS.requests, FLAGS.parts).text())
    deployment.stop()


def run_restart() -> None:
    """Measure restarts and report."""
    text = (pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.toml").read_text("utf-8")
    deployment = development.DevelopmentDeployment(
        development.DevelopmentSettings(text=text, routers=8), clock.SystemClock()
    )
    deployment.start()
    faults = deployment.platform.faults
    for state in ("up", "slow", "down"):
        faults.is_down = state == "down"
        faults.delay_seconds = SLOW_SECONDS if state == "slow" else 0.0
        for positions in ([7], list(range(1, 8))):
            times = load.measure_restart_times(deployment, positions)
            print(f"platform {state}, {len(positions)} of 8 routers: slowest {max(times):.3f} s")
    deployment.stop()


def run_slopes() -> None:
    """Measure slopes and print them as a table."""
    print("\n".join(slopes.table_lines(list(slopes.measure()))))


if __name__ == "__main__":
    main()
