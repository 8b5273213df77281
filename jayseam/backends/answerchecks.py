"""Check that a complete answer belongs to its call."""

from jayseam.backends import connections
from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.backends import messages
from jayseam.backends import progress


def check_answer(
    call: progress.Call,
    connection: connections.Connection,
    answer: messages.BackendAnswer,
    dialect: dialects.Dialect,
) -> None:
    """Checks that an answer belongs to the call.

    Without an id, it belongs to the call only if the connection has carried
    no other call.

    Raises:
      OutcomeUnknownError: If the answer may belong to another request, is a
        success without the required signature field, or has a status that
        means "not run" without saying so.
    """
    echoed = dialect.find(answer.headers, dialect.request_id)
    if echoed is not None and echoed != call.request.request_id:
        raise errors.OutcomeUnknownError('crossed', f'answer to {echoed}')
    call.is_identified = echoed is not None or not dialect.echoes_ids
    if not call.is_identified and connection.last_used_at is not None:
        raise errors.OutcomeUnknownError('crossed', 'answer without an id')
    if not dialect.is_sealed(answer.status, answer.headers):
        raise errors.OutcomeUnknownError('framing', 'success without seal')
    if dialect.is_unproven_refusal(answer.status, answer.headers):
        raise errors.OutcomeUnknownError(
            'framing', f'status {answer.status} that is no refusal'
        )
