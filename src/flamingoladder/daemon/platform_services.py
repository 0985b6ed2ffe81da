"""The platform's services together, as one host reaches them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.platform.http_hosts import HttpHostList
from flamingoladder.platform.http_objects import HttpObjects
from flamingoladder.platform.http_table import HttpTable

if TYPE_CHECKING:
    from flamingoladder.platform.hostlist import HostList
    from flamingoladder.platform.http_transport import HttpTransport
    from flamingoladder.platform.objects import ObjectStore
    from flamingoladder.platform.table import TableService


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
        return cls(HttpTable(transport), HttpObjects(transport), HttpHostList(transport))
