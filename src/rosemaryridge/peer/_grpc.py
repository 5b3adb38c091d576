"""Open and accept streams between proxies over gRPC."""

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


class GrpcStream:
    """Adapt one end of a gRPC stream to batches."""

    def __init__(self, call: t.Any):
        self._call = call

    async def read(self) -> Batch | None:
        """Return the next batch; None at the end of the stream."""
        batch = await self._call.read()
        return None if batch is grpc.aio.EOF else batch

    async def write(self, batch: Batch) -> None:
        """Send a batch."""
        await self._call.write(batch)


StreamHandler = t.Callable[[GrpcStream], t.Awaitable[None]]


class PeerServer:
    """Accept streams from other proxies."""

    def __init__(self, handle_stream: StreamHandler):
        self._handle_stream = handle_stream
        self._server = grpc.aio.server(options=_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(
            self._exchange, Batch.FromString, Batch.SerializeToString
        )
        generic_handler = grpc.method_handlers_generic_handler(
            _SERVICE, {_METHOD: handler}
        )
        self._server.add_generic_rpc_handlers((generic_handler,))

    async def start(self, listen: Endpoint) -> int:
        """Listen on an address and return the bound port."""
        port = self._server.add_insecure_port(str(listen))
        await self._server.start()
        return port

    async def stop(self) -> None:
        """Stop listening and abort the open streams without a grace period."""
        await self._server.stop(None)

    async def _exchange(self, _: t.Any, context: t.Any) -> None:
        await self._handle_stream(GrpcStream(context))


@contextlib.asynccontextmanager
async def dial(endpoint: Endpoint) -> t.AsyncIterator[GrpcStream]:
    """Open a stream to a proxy and cancel it on exit."""
    async with grpc.aio.insecure_channel(str(endpoint), options=_OPTIONS) as channel:
        method = channel.stream_stream(
            f"/{_SERVICE}/{_METHOD}",
            request_serializer=Batch.SerializeToString,
            response_deserializer=Batch.FromString,
        )
        call = method()
        try:
            yield GrpcStream(call)
        finally:
            call.cancel()
