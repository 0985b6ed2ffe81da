"""The store's services together, as one host reaches them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreHosts
from flamingoladder.platform.services import StoreObjects
from flamingoladder.platform.services import StoreTable

if TYPE_CHECKING:
    from flamingoladder.platform.http_transport import HttpTransport
    from flamingoladder.storage.hostlist import HostList
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.storage.table import TableService


class PlatformServices:
    """Table, object store and host list; another platform is put in place here."""

    __slots__ = ("host_list", "objects", "table")

    def __init__(self, table: TableService, objects: ObjectStore, host_list: HostList) -> None:
        self.table = table
        self.objects = objects
        self.host_list = host_list

    @classmethod
    def over_http(cls, transport: HttpTransport) -> PlatformServices:
        """Return the services behind one base URL."""
        store = RowStore(transport)
        return cls(StoreTable(store), StoreObjects(transport), StoreHosts(store))
