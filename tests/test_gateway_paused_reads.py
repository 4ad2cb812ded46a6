"""An instance out of step while a new software version joins."""

import asyncio

import pytest

from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import stream_origins
from tests import gateway_support
from tests import gateway_versions


class HeldLog(gateway_support.MemoryLog):
    """A log whose list is answered once, and arrives after a pause."""

    held = False
    answered: asyncio.Event

    def hold(self) -> None:
        """Has the next list wait, answered as of now, for the gate."""
        self.held = True
        self.answered = asyncio.Event()

    async def newest(self, topic: str) -> ports.KeyedRecords:
        """Returns the newest record of each key, as of the call."""
        found = await super().newest(topic)
        if topic == records.ORIGIN_TOPIC and self.held:
            self.held = False
            self.answered.set()
            await self.gate.wait()
        return found


async def list_elsewhere(log: gateway_support.MemoryLog) -> None:
    """Another instance lists a new version and begins a stream there."""
    origin = gateway_versions.V2
    value = records.encode_origin(origin.service, origin.version)
    await log.put(records.ORIGIN_TOPIC, 'v2', value)
    begun = records.StreamsBegun(
        service=origin.service,
        version=origin.version,
        streams=[stream_origins.stream_key('q9')],
    )
    await log.append(records.STREAM_TOPIC, 0, [records.encode(begun)])


@pytest.mark.parametrize('requests', [1, 3])
def test_list_answered_before_a_pause_decides_no_later_request(
    requests: int,
) -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            origins = harness.forwarder.origins
            log = HeldLog(data=harness.log.data, keyed=harness.log.keyed)
            origins.log = origins.appends.log = log
            log.hold()
            before = asyncio.create_task(origins.find('q0'))
            await log.answered.wait()
            await list_elsewhere(log)
            later = [
                asyncio.create_task(origins.find('q9'))
                for _ in range(requests)
            ]
            await asyncio.sleep(0)
            log.gate.set()
            assert await before == gateway_versions.V1
            assert set(await asyncio.gather(*later)) == {gateway_versions.V2}

    asyncio.run(scenario())
