"""Carry peers' streams over gRPC."""

import contextlib
import typing as t

import grpc

from rosemaryridge.model import Endpoint
from rosemaryridge.peer.peer_pb2 import Batch

_SERVICE = "rosemaryridge.peer.Peer"
_METHOD = "Exchange"
_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
)


class CallStream:
    """Adapt one end of a gRPC stream."""

    def __init__(self, call: t.Any):
        self._call = call

    async def read(self) -> Batch | None:
        """Return the next batch; None where the stream has ended."""
        batch = await self._call.read()
        return None if batch is grpc.aio.EOF else batch

    async def write(self, batch: Batch) -> None:
        """Send a batch."""
        await self._call.write(batch)


Accept = t.Callable[[CallStream], t.Awaitable[None]]


class PeerServer:
    """Accept streams from other proxies."""

    def __init__(self, accept: Accept):
        self._accept = accept
        self._server = grpc.aio.server(options=_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(
            self._exchange, Batch.FromString, Batch.SerializeToString
        )
        generic = grpc.method_handlers_generic_handler(_SERVICE, {_METHOD: handler})
        self._server.add_generic_rpc_handlers((generic,))

    async def start(self, listen: Endpoint) -> int:
        """Listen; return the port that was bound."""
        port = self._server.add_insecure_port(str(listen))
        await self._server.start()
        return port

    async def stop(self) -> None:
        """End every stream at once."""
        await self._server.stop(None)

    async def _exchange(self, _: t.Any, context: t.Any) -> None:
        await self._accept(CallStream(context))


@contextlib.asynccontextmanager
async def dial(endpoint: Endpoint) -> t.AsyncIterator[CallStream]:
    """Open a stream to another proxy."""
    async with grpc.aio.insecure_channel(str(endpoint), options=_OPTIONS) as channel:
        method = channel.stream_stream(
            f"/{_SERVICE}/{_METHOD}",
            request_serializer=Batch.SerializeToString,
            response_deserializer=Batch.FromString,
        )
        call = method()
        try:
            yield CallStream(call)
        finally:
            call.cancel()
