"""Poll the platform's VM list, which lags behind the actual VMs."""

import asyncio
import random
import typing as t

from rosemaryridge.config import MembershipSettings
from rosemaryridge.exceptions import StoreError
from rosemaryridge.model import Endpoint
from rosemaryridge.objects import ObjectStore
from rosemaryridge.objects import VmRecord
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_BACKOFF_GROWTH = 2.0
_MAX_BACKOFF_FACTOR = 32.0

OnRecords = t.Callable[[tuple[VmRecord, ...]], None]


class VmList:
    """Poll the VM list, within the rate limit that the whole fleet shares."""

    def __init__(
        self,
        cfg: MembershipSettings,
        timer: TimerService,
        rng: random.Random,
        store: ObjectStore,
        default_port: int,
    ):
        self.calls = 0
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._store = store
        self._default_port = default_port
        self._backoff_factor = 1.0
        self._next_poll: Subscription | None = None
        self._read_task: asyncio.Task[None] | None = None

    def start(self, member_count: t.Callable[[], int], on_records: OnRecords) -> None:
        """Read the list now and periodically; call back with the records read."""
        self._read_task = asyncio.ensure_future(self._poll(on_records))
        period_s = self.period_s(member_count())
        self._next_poll = self._timer.after(
            period_s, lambda: self.start(member_count, on_records)
        )

    def stop(self) -> None:
        """Cancel the next poll and a read in progress."""
        for pending in (self._next_poll, self._read_task):
            if pending is not None:
                pending.cancel()

    def period_s(self, members: int) -> float:
        """Return the seconds until the next read, with jitter.

        The period grows with the number of members, as the rate limit is shared.
        """
        period_s = max(self._cfg.vms_period_s, members / self._cfg.vms_calls_per_s)
        return period_s * self._backoff_factor * self._rng.uniform(0.75, 1.25)

    async def _poll(self, on_records: OnRecords) -> None:
        on_records(await self.read())

    async def read(self) -> tuple[VmRecord, ...]:
        """Return the VM records; if the store fails, back off and return none."""
        self.calls += 1
        try:
            records = await self._store.vms()
        except StoreError:
            self._backoff_factor = min(
                _MAX_BACKOFF_FACTOR, self._backoff_factor * _BACKOFF_GROWTH
            )
            return ()
        self._backoff_factor = 1.0
        return records

    def endpoint(self, record: VmRecord) -> Endpoint | None:
        """Return the peer endpoint of a VM's proxy, None without an address.

        An address without a port gets the default port.
        """
        try:
            return Endpoint.parse(record.address)
        except ValueError:
            if not record.address:
                return None
            return Endpoint(record.address, self._default_port)
