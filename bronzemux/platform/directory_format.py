"""Wire format of the platform's directory, and the paths of the directory and readiness check."""

import json
import urllib.parse

from bronzemux.gateway import directory


class PlatformDirectory(directory.DirectoryFormat):
    """Directory format that the platform's callers use."""

    path = "/-/resolve"
    ready_path = "/-/ready"

    def decode_query(self, query: str) -> str:
        """Return the data centre of the caller."""
        return urllib.parse.parse_qs(query).get("zone", [""])[0]

    def encode(self, addresses: list[str], ttl_seconds: float) -> bytes:
        """Encode the body of a response."""
        return json.dumps({"addresses": addresses, "ttl_s": ttl_seconds}).encode()
