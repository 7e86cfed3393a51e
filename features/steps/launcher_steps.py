"""Steps about what a gateway does before it ignores SIGHUP, with the command of the deploy file."""

import pathlib
import sys
import tomllib

from behave import given, then, when
from gevent import subprocess

from features import soak

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
START_SECONDS = 60
# Runs a script and prints the modules that were imported before SIGHUP was ignored.
HARNESS = """
import _signal, sys
imported = []
def watch(event, arguments):
    if event == "import" and _signal.getsignal(_signal.SIGHUP) != _signal.SIG_IGN:
        imported.append(arguments[0])
path = sys.argv[1]
with open(path) as script:
    code = compile(script.read(), path, "exec")
sys.path[0] = path.rpartition("/")[0]
sys.addaudithook(watch)
exec(code, {"__name__": "launched", "__file__": path})
print(imported, _signal.getsignal(_signal.SIGHUP) == _signal.SIG_IGN)
"""


@given("the command of the deploy file that starts a gateway")
def step_command(context):
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    context.command = document["roles"]["gateway"]["run"].split()


@then("it runs a script, without a search for packages or for a module")
def step_is_script(context):
    _, *flags, script = context.command
    assert flags == ["-S"], context.command
    assert (ROOT / script).is_file(), context.command


@when("its script runs to the end of its imports")
def step_run_script(context):
    completed = subprocess.run(
        [sys.executable, "-S", "-c", HARNESS, str(ROOT / context.command[-1])],
        cwd=ROOT,
        env=soak.environment(),
        stdout=subprocess.PIPE,
        check=True,
        timeout=START_SECONDS,
    )
    context.printed = completed.stdout.decode().splitlines()[-1]


@then("it imported no module before it ignored SIGHUP")
def step_nothing_imported(context):
    assert context.printed == "[] True", context.printed
