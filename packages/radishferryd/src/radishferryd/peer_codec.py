"""Declare the messages between coordinators and entry hosts.

Hosts that send directly do not load this module: its generated code takes
some MB of each process.
"""

from __future__ import annotations

from radishferryd import frames
from radishferryd.gen import ttypes

_FREQUENT = (
    'response_chunk',
    'response_head',
    'request_head',
    'credit',
    'heartbeat',
)

#: Codec of all these messages.
CODEC = frames.Codec(ttypes.Frame, _FREQUENT)
#: Names of the messages between coordinators and entry hosts.
MESSAGES = CODEC.messages
encode = CODEC.encode
decode = CODEC.decode
