"""Steps that count the work of importing the modules of a gateway."""

import json
import os
import pathlib
import sys
import tempfile

from behave import then, when
from gevent import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
IMPORT_SECONDS = 60
# Counts the audit events of the import and prints them with the loaded modules as JSON.
SCRIPT = """
import collections, json, sys
counts = collections.Counter()
sys.addaudithook(lambda event, _: counts.update((event,)))
import bronzemux.cli_gateway
print(json.dumps({"events": counts, "modules": sorted(sys.modules)}))
"""


@when("the modules of a gateway are imported in a new process")
def import_gateway(context):
    """Import the gateway's command in a new interpreter and record its audit events.

    The first of two imports stores the compiled modules in an empty folder, as the build of a
    deployment does beside the sources; the second one is counted.
    """
    with tempfile.TemporaryDirectory() as folder:
        environment = os.environ | {"PYTHONPYCACHEPREFIX": folder}
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        for _ in range(2):
            completed = subprocess.run(
                [sys.executable, "-c", SCRIPT],
                cwd=ROOT,
                env=environment,
                stdout=subprocess.PIPE,
                check=True,
                timeout=IMPORT_SECONDS,
            )
    context.start_record = json.loads(completed.stdout)


@then("at most {limit:d} files are opened")
def files_opened(context, limit):
    """Check the number of opened files."""
    found = context.start_record["events"]["open"]
    assert found <= limit, f"{found} files were opened, at most {limit} are expected"


@then("at most {limit:d} pieces of code are compiled")
def code_compiled(context, limit):
    """Check the number of compilations, most of which generate methods of data classes."""
    found = context.start_record["events"]["compile"]
    assert found <= limit, f"{found} pieces of code were compiled, at most {limit} are expected"


@then("at most {limit:d} modules are loaded")
def modules_loaded(context, limit):
    """Check the number of loaded modules."""
    found = len(context.start_record["modules"])
    assert found <= limit, f"{found} modules are loaded, at most {limit} are expected"


@then("none of these modules is loaded")
def modules_absent(context):
    """Check that the modules of the table are not loaded."""
    modules = set(context.start_record["modules"])
    found = sorted(row["module"] for row in context.table if row["module"] in modules)
    assert not found, f"loaded although a gateway does not need them: {found}"
