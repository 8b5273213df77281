"""Tests of the start of a node on the platform, before its imports."""

import gc
import sys

import pytest

from jayseam import bootstrap

_IMPORTED = """
import gc
was_enabled = gc.isenabled()

def main():
    return 7 if gc.isenabled() and not was_enabled else 1
"""


@pytest.fixture(name='main_module')
def _main_module(tmp_path, monkeypatch):
    """Puts a module in the place of the node's; returns its file."""
    monkeypatch.syspath_prepend(str(tmp_path))
    monkeypatch.setattr(bootstrap, '_MAIN_MODULE', 'bootstrapped_node')
    monkeypatch.setattr(
        bootstrap.signal, 'pthread_sigmask', lambda how, signals: None
    )
    yield tmp_path / 'bootstrapped_node.py'
    sys.modules.pop('bootstrapped_node', None)


def test_garbage_collector_rests_during_the_imports_only(main_module):
    """Each start of a large fleet spends processor time on its imports."""
    main_module.write_text(_IMPORTED, encoding='utf-8')
    assert bootstrap.main() == 7


def test_garbage_collector_works_after_a_failed_import(main_module):
    """Whoever catches the error goes on with a working collector."""
    main_module.write_text('raise ValueError', encoding='utf-8')
    with pytest.raises(ValueError):
        bootstrap.main()
    assert gc.isenabled()
