"""The header fields by which callers, nodes and backend servers talk.

The default is jayseam's own interface. An operator's platform may use other
names and other proofs; it then passes a dialect of its own to the node.
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
      workspace: Workspace that a call runs for, told to backend servers.
      caller_service: Service beside which a call began, told to backend
        servers.
      instance: Start of the backend server that alone may run the call.
      not_run: Field of an answer which says that the call has not run.
      not_run_values: Values of that field that count; empty for any value.
      not_run_statuses: Statuses of answers with that field that count; empty
        for all.
      misdirected: Status by which a backend server refuses a call that names
        another instance; 0 if there is none.
      seal: Field that each whole success of a backend server carries.
      cancel_path: Path to which the end of a call is posted; empty if a closed
        connection ends it.
      caller_ids: Whether callers name their calls; otherwise the node does.
      keeps_host: Whether the ``Host`` field is forwarded.
      unsized_answers: Whether an answer may end with its connection.
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
    misdirected: int = 0
    seal: str = ''
    cancel_path: str = '/.backend/cancel/'
    caller_ids: bool = False
    keeps_host: bool = False
    unsized_answers: bool = False
    call_tokens: bool = True
    fractional_delays: bool = False

    def says_not_run(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> bool:
        """Tells whether an answer says that the call has not run.

        >>> DEFAULT.says_not_run(503, [('Shed', 'not-run')])
        True
        >>> DEFAULT.says_not_run(500, [('Shed', 'not-run')])
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

    def is_sealed(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> bool:
        """Tells whether an answer may be taken for the backend server's own.

        >>> Dialect(seal='Signature').is_sealed(200, [])
        False
        """
        if not self.seal or not 200 <= status < 300:
            return True
        return self.find(headers, self.seal) is not None

    def find(self, headers: Iterable[tuple[str, str]], name: str) -> str | None:
        """Returns the first value of a field, whatever the case of its name."""
        wanted = name.lower()
        for field, value in headers:
            if field.lower() == wanted:
                return value
        return None


DEFAULT = Dialect()
