"""Encode and decode the messages between coordinators and entry hosts.

Hosts in direct mode do not load this module, because its generated code takes
a few MB of memory in each process.
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

#: Codec of these messages.
CODEC = frames.Codec(ttypes.Frame, _FREQUENT)
#: Names of the messages between coordinators and entry hosts.
MESSAGES = CODEC.messages
encode = CODEC.encode
decode = CODEC.decode
