"""A gateway's view of the platform, put together from the parts of the adapter."""

from bronzemux.gateway import gateway, settings
from bronzemux.platform import documents, engines, headers, pages, store

# A call that the store never answers, as it was down when the call came, is given up after this and
# `store.FEED_MARGIN_SECONDS`: together the 3 s after which the store counts as stable again.
FEED_WAIT_SECONDS = 2.0


def build_platform(config: settings.GatewaySettings) -> gateway.Platform:
    """Return the platform that the settings name."""
    found = documents.PlatformDocuments()
    names = (found.operator_table, found.endpoint_table)
    return gateway.Platform(
        protocol=headers.PlatformProtocol(),
        documents=found,
        directory=pages.PlatformDirectory(),
        feeds={name: store.StoreRows(config.store_address, FEED_WAIT_SECONDS) for name in names},
        table=store.StoreTable(config.store_address),
        calls=engines.EngineCalls(),
        caches=engines.CacheStoreCalls(),
    )
