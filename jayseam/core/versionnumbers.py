"""Version numbers of channels, and the form in which they leave a process.

A version number combines three counters, from the most significant one: the
number that the operators gave to a configuration, the phase of the source, and
its revision. It is an integer without a fixed width, so version numbers compare
like the tuples of their counters.

In messages, logs and metrics and on status pages, a version number whose
counters are small has a short form of 63 bits, which earlier releases use for
all versions. Any other version number has a long form, which earlier releases
refuse.
"""

NUMBER_BITS = 128
PHASE_BITS = 64
REVISION_BITS = 64
# Bound of all version numbers.
LIMIT = 1 << (NUMBER_BITS + PHASE_BITS + REVISION_BITS)

_SHORT_NUMBER_BITS = 25
_SHORT_PHASE_BITS = 10
_SHORT_REVISION_BITS = 28
# Long forms start at this value, above all short forms.
_LONG_BASE = 1 << 63
# Bound of all forms.
_FORM_LIMIT = _LONG_BASE + LIMIT


def combine(number: int, phase: int, revision: int) -> int:
    """Returns the version number with the given counters.

    >>> combine(4, 0, 9) < combine(4, 2, 3) < combine(5, 0, 1)
    True
    >>> combine(0, 0, 9)
    9

    Raises:
      ValueError: If a counter is negative or too large.
    """
    _check_width('number', number, NUMBER_BITS)
    _check_width('phase', phase, PHASE_BITS)
    _check_width('revision', revision, REVISION_BITS)
    return _pack(number, phase, revision, PHASE_BITS, REVISION_BITS)


def shorten(version: int) -> int:
    """Returns the form in which a version number leaves a process.

    >>> shorten(combine(3, 1, 2)) == (3 << 38) + (1 << 28) + 2
    True
    """
    number, phase, revision = _unpack(version, PHASE_BITS, REVISION_BITS)
    if (
        number >> _SHORT_NUMBER_BITS
        or phase >> _SHORT_PHASE_BITS
        or revision >> _SHORT_REVISION_BITS
    ):
        return _LONG_BASE + version
    return _pack(
        number, phase, revision, _SHORT_PHASE_BITS, _SHORT_REVISION_BITS
    )


def expand(form: int) -> int:
    """Returns the version number that has a form.

    >>> expand(shorten(combine(2026120501, 0, 7))) == combine(2026120501, 0, 7)
    True

    Raises:
      TypeError: If the form is not an integer.
      ValueError: If the form is out of range.
    """
    if form.__class__ is not int:
        raise TypeError(f'version must be int, got {form!r}')
    if not 0 <= form < _FORM_LIMIT:
        raise ValueError('version is out of range')
    if form >= _LONG_BASE:
        return form - _LONG_BASE
    return combine(*_unpack(form, _SHORT_PHASE_BITS, _SHORT_REVISION_BITS))


def _pack(
    number: int, phase: int, revision: int, phase_bits: int, revision_bits: int
) -> int:
    return (number << phase_bits | phase) << revision_bits | revision


def _unpack(
    value: int, phase_bits: int, revision_bits: int
) -> tuple[int, int, int]:
    revision = value & ((1 << revision_bits) - 1)
    value >>= revision_bits
    return value >> phase_bits, value & ((1 << phase_bits) - 1), revision


def _check_width(name: str, value: int, bits: int) -> None:
    if not 0 <= value < 1 << bits:
        raise ValueError(f'{name} is out of range: {bits} bits are allowed')
