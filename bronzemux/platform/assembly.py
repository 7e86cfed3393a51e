"""Builds the platform interfaces of a gateway from the parts of the platform adapter."""

from bronzemux.gateway import gateway, settings
from bronzemux.platform import directory_format, documents, engines, headers, store

# A long poll that reaches the store while it is down may never be answered. It times out after this
# wait plus `store.FEED_MARGIN_SECONDS`, 3 s in all, which is when the store counts as stable again.
LONG_POLL_SECONDS = 2.0


def build_platform(config: settings.GatewaySettings) -> gateway.Platform:
    """Return the interfaces to the platform that the settings describe."""
    decoders = documents.PlatformDocuments()
    names = (decoders.operator_table, decoders.endpoint_table)
    era = store.StoreEra()
    return gateway.Platform(
        protocol=headers.PlatformProtocol(),
        documents=decoders,
        directory=directory_format.PlatformDirectory(),
        feeds={
            name: store.StoreRows(config.store_address, LONG_POLL_SECONDS, era) for name in names
        },
        table=store.StoreTable(config.store_address, era),
        endpoint_control=engines.EngineClient(),
        cache_store_client=engines.HttpCacheStoreClient(),
    )
