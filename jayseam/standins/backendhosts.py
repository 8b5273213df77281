"""Hosts backend stand-ins in one process behind one control listener.

Each backend server has a listener of its own. The field ``backend`` of a
control request names the server; it may be omitted if there is only one.
"""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jayseam.standins import backend as backends
from jayseam.standins import errors
from jayseam.standins import requestfaults
from jayseam.standins import serving

_HEALTH_FIELDS = ('state', 'load')


@attrs.frozen
class BackendHostSettings:
    """Settings of ``jayseam-standin backend``.

    Attributes:
      backends: The backend servers.
      host: Address of the control listener.
      control_port: Port of the control listener.
    """

    backends: list[backends.BackendSettings]
    host: str = '127.0.0.1'
    control_port: int = 0


class BackendHost:
    """Hosts backend servers in one process behind one control listener.

    Attributes:
      backends: The backend servers by name.
    """

    def __init__(self, settings: BackendHostSettings):
        self.backends = {
            entry.name: backends.Backend(entry) for entry in settings.backends
        }
        self._control = serving.ControlServer(
            (settings.host, settings.control_port),
            {
                '/control/start': self._build_action(lambda b, _: b.start()),
                '/control/stop': self._build_action(lambda b, _: b.stop()),
                '/control/restart': self._build_action(_restart),
                '/control/drain': self._build_action(_drain),
                '/control/fault': self._build_action(_set_fault),
                '/control/health': self._build_action(_set_health),
                '/control/node': self._build_action(_set_node),
                '/control/runs': self._report_runs,
                '/control/peaks': self._report_peaks,
                '/control/clear-runs': self._build_action(
                    lambda b, _: b.runs.clear()
                ),
            },
        )

    def start(self) -> None:
        """Starts all backend servers and the control listener."""
        for backend in self.backends.values():
            backend.start()
        self._control.start()

    def stop(self) -> None:
        """Stops all listeners."""
        for backend in self.backends.values():
            backend.stop()
        self._control.stop()

    @property
    def control_port(self) -> int:
        """The port of the control listener."""
        return self._control.port

    def _find_backend(self, request: Mapping[str, Any]) -> backends.Backend:
        name = request.get('backend')
        if name is None and len(self.backends) == 1:
            return next(iter(self.backends.values()))
        if name not in self.backends:
            raise errors.ControlError(f'unknown backend {name!r}')
        return self.backends[name]

    def _build_action(
        self, function: Callable[[backends.Backend, dict[str, Any]], None]
    ) -> serving.Action:
        """Returns a control action that applies ``function`` to one server."""

        def run_action(request: dict[str, Any]) -> dict[str, Any]:
            backend = self._find_backend(request)
            function(backend, request)
            return {'backend': backend.settings.name}

        return run_action

    def _select_backends(
        self, request: Mapping[str, Any]
    ) -> list[backends.Backend]:
        """Returns the server that a request names; all if it names none."""
        if 'backend' in request:
            return [self._find_backend(request)]
        return list(self.backends.values())

    def _report_runs(self, request: dict[str, Any]) -> dict[str, Any]:
        return {
            backend.settings.name: [attrs.asdict(run) for run in backend.runs]
            for backend in self._select_backends(request)
        }

    def _report_peaks(self, request: dict[str, Any]) -> dict[str, Any]:
        reset = bool(request.get('reset'))
        return {
            backend.settings.name: backend.read_peaks(reset)
            for backend in self._select_backends(request)
        }


def _restart(backend: backends.Backend, request: Mapping[str, Any]) -> None:
    backend.restart(
        request.get('silent', True), request.get('disconnect', False)
    )


def _drain(backend: backends.Backend, request: Mapping[str, Any]) -> None:
    backend.drain(request.get('draining', True))


def _set_fault(backend: backends.Backend, request: Mapping[str, Any]) -> None:
    fields = {k: v for k, v in request.items() if k != 'backend'}
    fault = requestfaults.Fault(**fields) if fields.get('kind') else None
    backend.set_fault(fault)


def _set_node(backend: backends.Backend, request: Mapping[str, Any]) -> None:
    backend.set_node(request['host'], request['port'])


def _set_health(backend: backends.Backend, request: Mapping[str, Any]) -> None:
    backend.override_health(
        {k: v for k, v in request.items() if k in _HEALTH_FIELDS}
    )
