"""Steps of settings.feature."""

import os
import sys

from behave import then, use_step_matcher, when
from gevent import subprocess

from features.steps import ctl_steps

use_step_matcher("re")


@when('"(?P<program>.*)" starts with flags "(?P<flags>.*)" and environment "(?P<environment>.*)"')
def step_start(context, program, flags, environment):
    variables = dict(item.split("=", 1) for item in environment.split())
    process = subprocess.Popen(
        [sys.executable, "-m", f"bronzemux.cli_{program}", *flags.split()],
        cwd=ctl_steps.ROOT,
        env={**os.environ, **variables},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = process.communicate(timeout=ctl_steps.COMMAND_TIMEOUT_SECONDS)
    context.output = output.decode()
    context.status = process.returncode


use_step_matcher("parse")


@then('it exits with {status:d} and prints an error with "{text}"')
def step_exit(context, status, text):
    assert context.status == status, (context.status, context.output)
    assert text in context.output, context.output
    assert "error: " in context.output
