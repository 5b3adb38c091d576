"""Run experiments in virtual time and with fleets of processes."""

from rosemaryridge_testbed.experiments import _callers as _callers
from rosemaryridge_testbed.experiments import _failover as _failover
from rosemaryridge_testbed.experiments import _failover_model as _failover_model
from rosemaryridge_testbed.experiments import _isolation as _isolation
from rosemaryridge_testbed.experiments import _overload as _overload
from rosemaryridge_testbed.experiments import _owners as _owners
from rosemaryridge_testbed.experiments import _read_share as _read_share
from rosemaryridge_testbed.experiments import _routing as _routing
from rosemaryridge_testbed.experiments import _slopes as _slopes
from rosemaryridge_testbed.experiments import _spread as _spread
from rosemaryridge_testbed.experiments import _throughput as _throughput
from rosemaryridge_testbed.experiments._cluster import Cluster
from rosemaryridge_testbed.experiments._network import Latency
from rosemaryridge_testbed.experiments._network import Network
from rosemaryridge_testbed.experiments._proxy import ModelProxy
from rosemaryridge_testbed.experiments._registry import experiments
from rosemaryridge_testbed.experiments._target import ModelTarget
from rosemaryridge_testbed.experiments._target import Refused

__all__ = [
    "Cluster",
    "Latency",
    "ModelProxy",
    "ModelTarget",
    "Network",
    "Refused",
    "experiments",
]
