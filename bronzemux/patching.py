"""Cooperative standard library: replaces blocking calls by those of gevent."""

from gevent import events, monkey


def patch_all() -> None:
    """Patch the standard library for gevent, without a search for plugins of gevent.

    For each patched module, gevent would read the metadata of all installed packages in search of
    entry points of plugins. That takes longer than all imports of a router, and none of the
    dependencies has such a plugin.
    """
    events.notify_and_call_entry_points = events.notify
    monkey.patch_all()
