"""Header fields between callers, nodes and backend servers.

The default is jayseam's own interface. An operator's platform may use other
names and other proofs of origin; it then passes its own dialect to the node.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Dialect:
    """Names and meanings of header fields.

    An empty name means that the field does not exist.

    Attributes:
      request_id: Identifier of a call, in requests and answers.
      timeout_ms: Milliseconds until the end of the call.
      workspace: Workspace that a call runs for, in requests to backend servers.
      caller_service: Service on whose VM the call began, in requests to backend
        servers.
      instance: Instance of the backend server that alone may run the call; each
        start is another instance.
      not_run: Field of an answer which says that the call has not run.
      not_run_values: Values of the `not_run` field that are trusted; empty for
        any value.
      not_run_statuses: Statuses of answers whose `not_run` field is trusted;
        empty for any status.
      refusal_statuses: Statuses that callers take for "not run"; an answer with
        one of them that doesn't say so is not passed on.
      misdirected: Status with which a backend server refuses a call for another
        instance; 0 if there is none.
      signature_field: Field, such as a signature, that each complete success
        of a backend server contains.
      echoes_ids: Whether each answer of a backend server contains the id of its
        request.
      cancel_path: Start of the path to which a cancellation is posted; empty if
        closing the connection cancels a call.
      caller_ids: Whether callers choose the ids of calls; otherwise the node
        does.
      keeps_host: Whether the ``Host`` field is forwarded.
      unsized_answers: Whether the end of the connection may end an answer.
      call_tokens: Whether calls carry a token for nested calls.
      fractional_delays: Whether ``Retry-After`` may have fractions.
    """

    request_id: str = 'Request-Id'
    timeout_ms: str = 'Request-Timeout-Ms'
    workspace: str = 'Jayseam-Workspace'
    caller_service: str = ''
    instance: str = ''
    not_run: str = 'Shed'
    not_run_values: tuple[str, ...] = ('not-run',)
    not_run_statuses: tuple[int, ...] = (503,)
    refusal_statuses: tuple[int, ...] = ()
    misdirected: int = 0
    signature_field: str = ''
    echoes_ids: bool = False
    cancel_path: str = '/.backend/cancel/'
    caller_ids: bool = False
    keeps_host: bool = False
    unsized_answers: bool = False
    call_tokens: bool = True
    fractional_delays: bool = False

    def is_not_run(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> bool:
        """Returns whether an answer says that the call has not run.

        >>> DEFAULT.is_not_run(503, [('Shed', 'not-run')])
        True
        >>> DEFAULT.is_not_run(500, [('Shed', 'not-run')])
        False
        """
        if self.misdirected and status == self.misdirected:
            return True
        if self.not_run_statuses and status not in self.not_run_statuses:
            return False
        value = self.find(headers, self.not_run)
        if value is None:
            return False
        return not self.not_run_values or value in self.not_run_values

    def is_unproven_refusal(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> bool:
        """Returns whether only the status of an answer says "not run".

        >>> dialect = Dialect(refusal_statuses=(503,))
        >>> dialect.is_unproven_refusal(503, [])
        True
        >>> dialect.is_unproven_refusal(503, [('Shed', 'not-run')])
        False
        """
        return status in self.refusal_statuses and not self.is_not_run(
            status, headers
        )

    def is_sealed(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> bool:
        """Returns whether an answer may be trusted to be the backend server's.

        >>> Dialect(signature_field='Signature').is_sealed(200, [])
        False
        """
        if not self.signature_field or not 200 <= status < 300:
            return True
        return self.find(headers, self.signature_field) is not None

    def find(self, headers: Iterable[tuple[str, str]], name: str) -> str | None:
        """Returns the first value of a field, whatever the case of its name."""
        wanted = name.lower()
        for field, value in headers:
            if field.lower() == wanted:
                return value
        return None


DEFAULT = Dialect()
