"""Implement the PostgreSQL protocol towards callers and targets."""

from rosemaryridge.wire._caller_connection import CallerConnection
from rosemaryridge.wire._caller_server import CallerLimits
from rosemaryridge.wire._caller_server import CallerLogin
from rosemaryridge.wire._caller_server import CallerServer
from rosemaryridge.wire._caller_session import Answer
from rosemaryridge.wire._caller_session import CallerPortal
from rosemaryridge.wire._caller_session import CallerSession
from rosemaryridge.wire._caller_session import Completion
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import Description
from rosemaryridge.wire._columns import Parameters
from rosemaryridge.wire._columns import convert_format
from rosemaryridge.wire._errors import plain_fields
from rosemaryridge.wire._errors import target_fields
from rosemaryridge.wire._keep_alive import KeepAlive
from rosemaryridge.wire._pass_through import formats_of
from rosemaryridge.wire._scram import Verifier
from rosemaryridge.wire._target_connection import FetchedRows
from rosemaryridge.wire._target_connection import Login
from rosemaryridge.wire._target_connection import PreparedStatement
from rosemaryridge.wire._target_connection import TargetConnection
from rosemaryridge.wire._target_connection import update_variables
from rosemaryridge.wire._target_port import PgTargetPort

__all__ = [
    "Answer",
    "CallerConnection",
    "CallerLimits",
    "CallerLogin",
    "CallerPortal",
    "CallerServer",
    "CallerSession",
    "Column",
    "Completion",
    "Description",
    "FetchedRows",
    "KeepAlive",
    "Login",
    "Parameters",
    "PgTargetPort",
    "PreparedStatement",
    "TargetConnection",
    "Verifier",
    "convert_format",
    "formats_of",
    "plain_fields",
    "target_fields",
    "update_variables",
]
