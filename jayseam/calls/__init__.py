"""The call path: entry, ingress, idempotency, retries and outcomes.

The entry is the part of a node that takes calls from callers and forwards them.
The ingress of a node runs forwarded calls on the backend server of its VM.
"""

from jayseam.calls import attempts
from jayseam.calls import avoidances
from jayseam.calls import choicemetrics
from jayseam.calls import choosers
from jayseam.calls import claims
from jayseam.calls import entry
from jayseam.calls import errors
from jayseam.calls import forwarding
from jayseam.calls import idempotency
from jayseam.calls import ingress
from jayseam.calls import keepers
from jayseam.calls import keys
from jayseam.calls import messages
from jayseam.calls import pending
from jayseam.calls import pools
from jayseam.calls import previews
from jayseam.calls import problems
from jayseam.calls import requests
from jayseam.calls import retries
from jayseam.calls import tokens
from jayseam.calls import urgency

__all__ = [
    'attempts',
    'avoidances',
    'choicemetrics',
    'choosers',
    'claims',
    'entry',
    'errors',
    'forwarding',
    'idempotency',
    'ingress',
    'keepers',
    'keys',
    'messages',
    'pending',
    'pools',
    'previews',
    'problems',
    'requests',
    'retries',
    'tokens',
    'urgency',
]
