"""The header fields of the platform's callers and backend servers."""

from jayseam import backends

DIALECT = backends.dialects.Dialect(
    request_id='Jayseam-Request-Id',
    timeout_ms='Jayseam-Deadline-Ms',
    # The platform calls a workspace a tenant.
    workspace='Jayseam-Tenant',
    caller_service='Jayseam-Caller-Service',
    instance='Jayseam-Expect-Instance',
    not_run='Jayseam-Not-Executed',
    not_run_values=(),
    not_run_statuses=(),
    refusal_statuses=(408, 429, 503),
    misdirected=421,
    signature_field='Jayseam-Response-Signature',
    echoes_ids=True,
    cancel_path='',
    caller_ids=True,
    keeps_host=True,
    unsized_answers=True,
    call_tokens=False,
    fractional_delays=True,
)
