"""HTTP client of the node's own backend server.

Each error shows whether the call may have run. Until the first byte of a
request is written, the call has certainly not run. After that, only a complete
answer shows the outcome.

See Also:
  ``docs/design.md``, sections 5.4 and 5.6.
"""

import functools
from collections.abc import Callable

import gevent

from jayseam.backends import answerchecks
from jayseam.backends import cancellations
from jayseam.backends import connections
from jayseam.backends import counters
from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.backends import latecopies
from jayseam.backends import losses
from jayseam.backends import messages
from jayseam.backends import progress
from jayseam.backends import states
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import memory

CONNECT_TIMEOUT_S = 0.5
# An answer, including its head, must fit into one link frame of 2 MB.
MAX_ANSWER_BYTES = 1_900_000
# Reasons for which an answer is given up that the backend server is at fault
# for, or that holds too much memory.
_FAULTY_REASONS = frozenset(('crossed', 'framing', 'memory', 'too-large'))

_log = logs.get_logger(__name__)


def _ignore_evidence(evidence: states.Evidence, now: float) -> None:
    del evidence, now


class BackendClient:
    """Runs calls at one backend server over persistent connections.

    A client must be used from the greenlets of one thread. One connection is
    reserved for health polls, so that polls succeed while calls use all other
    connections.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_connections: int,
        observe: Callable[[states.Evidence, float], None] = _ignore_evidence,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        dialect: dialects.Dialect = dialects.DEFAULT,
        read_now: Callable[[], float] = clocks.read_now,
        budget: memory.ByteBudget | None = None,
    ):
        """Creates a client; the first call opens the first connection.

        Args:
          address: IP address and port of the backend server.
          max_connections: Connections the backend server accepts.
          observe: Receives evidence on the state of the backend server and
            the time, in the greenlet that found the evidence; must not block.
          max_answer_bytes: Greatest body of an answer.
          connect_timeout_s: Time to establish a connection, in seconds.
          dialect: Header fields that the backend server understands.
          read_now: Clock, in seconds.
          budget: Bytes of all messages in progress; by default one of its own.
        """
        host, port = address
        name = f'[{host}]' if ':' in host else host
        self._host = f'{name}:{port}'
        self._address = address
        self._report_evidence = observe
        self._max_answer_bytes = max_answer_bytes
        self._connect_timeout_s = connect_timeout_s
        self._dialect = dialect
        self._read_now = read_now
        self._budget = memory.ByteBudget() if budget is None else budget
        self._calls: dict[str, progress.Call] = {}
        self._closed = False
        self._losses = losses.LossObserver(observe, read_now)
        self._cancellations = cancellations.Cancellations(
            dialect.cancel_path, self._send_cancellation
        )
        self._pool = connections.ConnectionPool(
            max(1, max_connections - 1), self._losses.report_idle_loss
        )
        self._control_pool = connections.ConnectionPool(
            1, self._losses.report_idle_loss
        )
        self._losses.observe_pools((self._pool, self._control_pool))

    @property
    def in_flight(self) -> int:
        """Number of calls in progress."""
        return len(self._calls)

    def run(
        self, request: messages.BackendRequest, deadline: float
    ) -> messages.BackendAnswer:
        """Runs a call and returns its complete answer.

        A connection that the backend server closed while idle is replaced
        as long as no byte of the request was written.

        Args:
          request: The call; its request id must not be in use.
          deadline: Time by which the call must finish, in seconds.

        Raises:
          InvalidRequestError: If the request cannot be written as HTTP/1.1.
          NotRunError: If the backend server certainly did not run the call;
            `ShedError` if it shed the call.
          OutcomeUnknownError: If the backend server may have run the call.
        """
        call = progress.Call(request, deadline)
        if self._closed or request.request_id in self._calls:
            raise errors.NotRunError('no-connection', 'closed or id in use')
        self._calls[request.request_id] = call
        try:
            answer = self._exchange(call, self._pool)
            self._report_answer(call, answer)
        finally:
            del self._calls[request.request_id]
        if self._is_shed(answer) and request.shed_retryable:
            raise errors.ShedError(request.request_id)
        return answer

    def cancel(self, request_id: str) -> bool:
        """Cancels a call in progress; its `run` then raises an error.

        The connection of the call is closed and, if the dialect has a cancel
        path, a cancellation is posted to the backend server.

        Returns:
          Whether such a call was in progress.
        """
        call = self._calls.get(request_id)
        if call is None:
            return False
        call.cancelled = True
        if call.connection is not None:
            call.connection.close()
        return True

    def find_cancellation(self, request_id: str) -> gevent.Greenlet | None:
        """Returns the greenlet that cancels a call at the backend server.

        Until the greenlet has finished, a call that `run` gave up may still
        occupy a slot. The greenlet finishes within about
        `cancellations.CANCEL_TIMEOUT_S`.
        """
        return self._cancellations.find(request_id)

    def poll(self, path: str, timeout_s: float) -> messages.BackendAnswer:
        """Reads a control path over the connection reserved for polls.

        Raises:
          BackendError: If there is no complete answer within ``timeout_s``.
        """
        request = messages.BackendRequest('health', 'GET', path)
        deadline = self._read_now() + timeout_s
        call = progress.Call(request, deadline, is_control=True)
        return self._exchange(call, self._control_pool)

    def set_connections(self, max_connections: int) -> None:
        """Changes the number of connections; calls in progress continue."""
        self._pool.resize(max(1, max_connections - 1))

    def check_after_pause(self, now: float, paused_s: float) -> None:
        """Checks whether the backend server restarted while the node paused.

        Only lost connections show such a restart. The pause doesn't count as
        idle time after which a server may close a connection.

        Args:
          now: Time at which the pause ended, in seconds.
          paused_s: Length of the pause, in seconds.
        """
        self._losses.check_after_pause(now, paused_s)

    def close(self) -> None:
        """Refuses new calls and closes idle connections."""
        self._closed = True
        self._pool.close_idle()
        self._control_pool.close_idle()

    def _connect(self, call: progress.Call) -> connections.Connection:
        """Opens a connection for a call.

        Raises:
          NotRunError: If there is no connection; nothing was sent.
        """
        now = self._read_now()
        left_s = call.deadline - now
        if left_s <= 0:
            raise errors.NotRunError('deadline')
        timeout_s = min(left_s, self._connect_timeout_s)
        try:
            return connections.Connection(self._address, timeout_s, now)
        except TimeoutError as error:
            # A time-out at a short deadline is no evidence of a fault of the
            # backend server.
            if timeout_s == self._connect_timeout_s:
                self._report_evidence(
                    states.ConnectTimedOut(), self._read_now()
                )
            raise errors.NotRunError('connect-timeout') from error
        except OSError as error:
            # Other errors, such as too many open files, are faults of the node.
            if isinstance(error, ConnectionError):
                self._report_evidence(
                    states.ConnectionRefused(), self._read_now()
                )
            raise errors.NotRunError('refused', str(error)) from error

    def _exchange(
        self, call: progress.Call, pool: connections.ConnectionPool
    ) -> messages.BackendAnswer:
        """Writes the request and reads the answer."""
        while True:
            connection = self._acquire_connection(call, pool)
            reader = messages.AnswerReader(
                call.request.method,
                self._max_answer_bytes,
                self._dialect.unsized_answers,
            )
            reusable = False
            try:
                fully_sent = self._write(call, connection)
                answer = self._read(call, connection, reader)
                # An answer without an id could be repeated, and would then be
                # taken for the answer to the next request.
                reusable = (
                    fully_sent
                    and reader.is_reusable()
                    and not call.cancelled
                    and not call.out_of_memory
                    and call.is_identified
                )
                return answer
            except errors.NotRunError as error:
                if error.reason != 'unsent' or connection.last_used_at is None:
                    raise
            except errors.InvalidRequestError:
                reusable = True
                raise
            except BaseException as error:
                self._handle_failure(call, error)
                raise
            finally:
                call.connection = None
                pool.release(
                    connection,
                    reusable and not self._closed,
                    self._read_now(),
                )

    def _acquire_connection(
        self, call: progress.Call, pool: connections.ConnectionPool
    ) -> connections.Connection:
        """Takes a connection for the call from the pool."""
        left_s = call.deadline - self._read_now()
        if left_s <= 0:
            raise errors.NotRunError('deadline')
        connect = functools.partial(self._connect, call)
        connection = pool.acquire(left_s, connect)
        self._losses.record_idle_time(connection)
        call.connection = connection
        return connection

    def _write(
        self, call: progress.Call, connection: connections.Connection
    ) -> bool:
        """Writes the request.

        Returns:
          Whether the whole request was written.

        Raises:
          InvalidRequestError: If the request cannot be written as HTTP/1.1.
          NotRunError: If no byte was written.
          OutcomeUnknownError: If the deadline passed after the first byte.
        """
        call.sent_at = self._read_now()
        call.in_flight = len(self._calls)
        left_ms = max(0, int((call.deadline - call.sent_at) * 1000))
        data = messages.encode_request(
            call.request, self._host, left_ms, self._dialect
        )
        sent = 0
        while sent < len(data):
            left_s = call.deadline - self._read_now()
            if call.cancelled and not sent:
                raise errors.NotRunError('cancelled')
            if left_s <= 0:
                raise _build_timeout_error(sent)
            try:
                sent += connection.send(memoryview(data)[sent:], left_s)
                call.sent = True
            except TimeoutError as error:
                raise _build_timeout_error(sent) from error
            except OSError as error:
                if not sent:
                    reason = 'cancelled' if call.cancelled else 'unsent'
                    raise errors.NotRunError(reason, str(error)) from error
                # The backend server may have answered early, for example to
                # shed a large request, and closed its side.
                return False
        return True

    def _read(
        self,
        call: progress.Call,
        connection: connections.Connection,
        reader: messages.AnswerReader,
    ) -> messages.BackendAnswer:
        """Reads the answer.

        Raises:
          OutcomeUnknownError: If there is no complete answer to the request.
        """
        holding = None
        copies = latecopies.CopyFilter(
            self._dialect.request_id, self._find_answered_id(call, connection)
        )
        try:
            while not self._receive_part(
                data := self._receive_block(call, connection), reader, copies
            ):
                # An answer that arrives in one block is never counted.
                if holding is None:
                    holding = memory.Holding(
                        memory.READING,
                        functools.partial(_end_answer, call, connection),
                    )
                if not self._budget.extend(holding, len(data)):
                    raise errors.OutcomeUnknownError('memory')
            answer = reader.build_answer()
        finally:
            if holding is not None:
                self._budget.release(holding)
        answerchecks.check_answer(call, connection, answer, self._dialect)
        has_body = call.request.method != 'HEAD'
        connection.answered_id = call.request.request_id if has_body else None
        if copies.n_copies:
            # The server may send more of them.
            call.is_identified = False
            self._count_copies(call, copies.n_copies)
        return answer

    def _find_answered_id(
        self, call: progress.Call, connection: connections.Connection
    ) -> str | None:
        """Returns the id of the answer of which a copy may come, if any.

        A caller may use the id of its last request again; then a copy and the
        answer can't be told apart.
        """
        answered_id = connection.answered_id
        if not self._dialect.echoes_ids:
            return None
        return None if answered_id == call.request.request_id else answered_id

    def _receive_part(
        self,
        data: bytes,
        reader: messages.AnswerReader,
        copies: latecopies.CopyFilter,
    ) -> bool:
        """Parses some bytes of the answer; returns whether it is complete."""
        own = copies.receive(data)
        return own is not None and reader.receive(own)

    def _count_copies(self, call: progress.Call, n_copies: int) -> None:
        counters.FAULTY_ANSWERS.labels(self._host, 'repeated').inc(n_copies)
        _log.info(
            'backend.answer_repeated',
            extra={
                'backend': self._host,
                'request': call.request.request_id,
                'copies': n_copies,
            },
        )

    def _receive_block(
        self, call: progress.Call, connection: connections.Connection
    ) -> bytes:
        """Reads some bytes of the answer; none after its end."""
        left_s = call.deadline - self._read_now()
        if left_s <= 0:
            raise errors.OutcomeUnknownError('timeout')
        try:
            return connection.receive(left_s)
        except TimeoutError as error:
            raise errors.OutcomeUnknownError('timeout') from error
        except OSError as error:
            reason = 'connection-lost'
            if call.cancelled:
                reason = 'cancelled'
            elif call.out_of_memory:
                reason = 'memory'
            raise errors.OutcomeUnknownError(reason, str(error)) from error

    def _is_shed(self, answer: messages.BackendAnswer) -> bool:
        return messages.is_shed(answer, self._dialect)

    def _report_answer(
        self, call: progress.Call, answer: messages.BackendAnswer
    ) -> None:
        now = self._read_now()
        shed = self._is_shed(answer)
        evidence = states.AnswerReceived(
            call.request.kind,
            call.sent_at,
            now - call.sent_at,
            call.in_flight,
            not shed,
            answer.status >= 500 and not shed,
        )
        self._report_evidence(evidence, now)

    def _handle_failure(
        self, call: progress.Call, error: BaseException
    ) -> None:
        """Handles a call that ended without a complete answer."""
        reason = getattr(error, 'reason', 'cancelled')
        if reason in _FAULTY_REASONS:
            counters.FAULTY_ANSWERS.labels(self._host, reason).inc()
            _log.warning(
                'backend.answer_faulty',
                extra={
                    'backend': self._host,
                    'reason': reason,
                    'request': call.request.request_id,
                    'error': str(error),
                },
            )
        if reason == 'cancelled' and call.sent and not call.is_control:
            _log.info(
                'backend.call_dropped',
                extra={
                    'backend': self._host,
                    'request': call.request.request_id,
                },
            )
        if reason == 'connection-lost':
            self._losses.report_loss(self._read_now())
            return
        if reason == 'timeout':
            # Open connections can stop responding while new ones work, so only
            # connections that have answered since the call was sent are kept.
            self._pool.close_idle(unused_since=call.sent_at)
        if call.is_control or not call.sent:
            return
        # Errors raised in the greenlet from outside, such as GreenletExit, also
        # cancel the call.
        if reason in ('timeout', 'cancelled'):
            self._cancellations.schedule(call.request.request_id)

    def _send_cancellation(
        self, request: messages.BackendRequest, timeout_s: float
    ) -> None:
        deadline = self._read_now() + timeout_s
        call = progress.Call(request, deadline, is_control=True)
        self._exchange(call, self._pool)


def _end_answer(
    call: progress.Call, connection: connections.Connection
) -> None:
    call.out_of_memory = True
    connection.close()


def _build_timeout_error(sent: int) -> errors.BackendError:
    if sent:
        return errors.OutcomeUnknownError('timeout')
    return errors.NotRunError('deadline')
