"""The settings of a gateway instance, independent of the file format."""

import attrs


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Addresses are HOST:PORT strings; times are in seconds.

    grant_listen is empty if the instance grants no tokens to others.
    store_writes_per_s is what the store takes from all instances together.
    upstream_drain_s is the time after which a leaving upstream may get no
    more requests.  cores is the share of processors that the instance may use.
    link_mbps is the rate of the instance's link in Mbit/s.
    memory_bytes is what the process may use before it is killed, and
    max_descriptors how many files it may have open, 0 if that is not stated.
    region is that of the instance, empty if it is not known, and
    regions_by_data_centre has those of all data centres that are known.
    evacuate_s is how long an instance that alone has lost the store may send
    requests on what it knows of evacuations, None if that is not bounded.
    key_grace_s is how long after the last response from the store API
    keys are still accepted.  stop_s is the time between SIGTERM and
    SIGKILL.
    """

    instance: str
    data_centre: str
    listen: str
    ready_listen: str
    peer_listen: str
    tunnel_listen: str
    metrics_listen: str
    store: str
    store_partitions: int
    store_record_bytes: int
    store_writes_per_s: float
    key_grace_s: float
    stop_s: float
    upstream_drain_s: float
    cores: float
    memory_bytes: int
    link_mbps: float
    turn_retention_s: float
    evacuate_s: float | None = None
    grant_listen: str = ''
    region: str = ''
    regions_by_data_centre: dict[str, str] = attrs.field(factory=dict)
    max_descriptors: int = 0


def split_address(address: str) -> tuple[str, int]:
    """Splits a HOST:PORT string."""
    host, _, port = address.rpartition(':')
    return host, int(port)
