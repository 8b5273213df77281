"""Metrics of the backend server's answers, for the metrics endpoint."""

import prometheus_client

FAULTY_ANSWERS = prometheus_client.Counter(
    'jayseam_backend_faulty_answers',
    'Answers that were given up, by backend server and reason.',
    ['backend', 'reason'],
)
