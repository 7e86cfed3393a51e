"""Rule for the engine processes that may go on with a response that another process began.

What two versions of an engine's software write does not fit together. Versions have no order: they
are equal or different. Engines that state none count as one version of their own.
"""


def may_resume(incarnation: str, found_incarnation: str) -> bool:
    """Return whether a process has the job whose response is to be resumed.

    Args:
      incarnation: Incarnation of the engine that runs the job.
      found_incarnation: Incarnation that the response states.
    """
    return found_incarnation == incarnation


def may_continue(software: str, found_software: str | None) -> bool:
    """Return whether an engine may generate the rest of a response.

    Args:
      software: Software version that began the response, empty if that engine stated none.
      found_software: Software version of the engine, empty if it states none, None when it is not
        known for its present incarnation.
    """
    return found_software == software
