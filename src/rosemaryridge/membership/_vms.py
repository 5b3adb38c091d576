"""Read the platform's lagging list of VMs."""

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

_RETRY_GROWTH = 2.0
_MAX_SLOWDOWN = 32.0

Handle = t.Callable[[tuple[VmRecord, ...]], None]


class VmList:
    """Read the list seldom enough that the whole fleet keeps to its rate."""

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
        self._slowdown = 1.0
        self._next: Subscription | None = None
        self._reading: asyncio.Task[None] | None = None

    def start(self, members: t.Callable[[], int], handle: Handle) -> None:
        """Read now and again, and hand over what was read."""
        self._reading = asyncio.ensure_future(self._read(handle))
        period_s = self.period_s(members())
        self._next = self._timer.after(period_s, lambda: self.start(members, handle))

    def stop(self) -> None:
        """Stop reading."""
        for one in (self._next, self._reading):
            if one is not None:
                one.cancel()

    def period_s(self, members: int) -> float:
        """Return the time until the next read, with jitter."""
        period_s = max(self._cfg.vms_period_s, members / self._cfg.vms_calls_per_s)
        return period_s * self._slowdown * self._rng.uniform(0.75, 1.25)

    async def _read(self, handle: Handle) -> None:
        handle(await self.read())

    async def read(self) -> tuple[VmRecord, ...]:
        """Return the list; empty where the store gives no answer."""
        self.calls += 1
        try:
            records = await self._store.vms()
        except StoreError:
            self._slowdown = min(_MAX_SLOWDOWN, self._slowdown * _RETRY_GROWTH)
            return ()
        self._slowdown = 1.0
        return records

    def endpoint(self, record: VmRecord) -> Endpoint | None:
        """Return where a VM's proxy listens for peers."""
        try:
            return Endpoint.parse(record.address)
        except ValueError:
            if not record.address:
                return None
            return Endpoint(record.address, self._default_port)
