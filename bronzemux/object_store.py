"""Object store: byte strings under names."""

import urllib.parse

from bronzemux import errors, http_client

HTTP_NOT_FOUND = 404


class ObjectStore:
    """Interface of the platform's object store; a write replaces the whole object."""

    def put(self, name: str, content: bytes) -> None:
        """Store an object.

        Raises:
          errors.PlatformUnavailableError: When nothing was written.
          errors.AmbiguousWriteError: When it is not known whether the object was written.
        """
        raise NotImplementedError

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, None when it does not exist.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        raise NotImplementedError

    def delete(self, name: str) -> None:
        """Remove an object if it exists.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        raise NotImplementedError


class MemoryObjectStore(ObjectStore):
    """Object store in memory."""

    def __init__(self):
        self.contents: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        self.contents[name] = content

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, None when it does not exist."""
        return self.contents.get(name)

    def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        self.contents.pop(name, None)


class HttpObjectStore(ObjectStore):
    """Object store over HTTP.

    Args:
      settings: Address and timeout.
    """

    def __init__(self, settings: http_client.PlatformServiceSettings):
        self.client = http_client.PlatformServiceClient(settings)

    def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        self.client.exchange("PUT", _path(name), content, is_write=True)

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, None when it does not exist."""
        response = self.client.exchange("GET", _path(name), b"", is_write=False)
        if response.status == HTTP_NOT_FOUND:
            return None
        return response.body

    def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        try:
            self.client.exchange("DELETE", _path(name), b"", is_write=True)
        except errors.AmbiguousWriteError as error:
            raise errors.PlatformUnavailableError(error.message, error.remedy) from error


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")
