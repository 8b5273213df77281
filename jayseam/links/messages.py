"""Typed messages and their conversion to plain values.

A message is a frozen attrs class whose fields all have validators. The same
validators run when a message is built and when it is decoded, so a handler
never sees a field of the wrong type.

Code ranges: links 1-19, membership 20-39, distribution 40-59, limits 60-79,
calls 80-99. Tests use codes from 900.

>>> import attrs
>>> @register(999)
... @attrs.frozen
... class Example:
...     text: str = attrs.field(validator=attrs.validators.instance_of(str))
>>> decode_body(encode_body(Example('a'), 7))
(Example(text='a'), 7)
"""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import attrs

from jayseam.core import versionnumbers
from jayseam.links import errors

T = TypeVar('T')

# A nested message is encoded as {"$message": [code, fields...]}. Codecs use
# other keys with the same prefix, so dicts in messages must not have any.
_RESERVED_PREFIX = '$'
_NESTED_KEY = '$message'
_SCALARS = frozenset({type(None), bool, int, float, str, bytes})

# Key of a field's metadata under which its `FieldForm` stands.
FORM = 'jayseam.links.form'


@attrs.frozen
class FieldForm:
    """How the value of a field is converted for messages.

    Attributes:
      encode: Returns the plain value that a message carries.
      decode: Returns the value of the field for such a plain value. It is
        called before the field's validator.
    """

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


# Metadata of fields that hold a version number.
VERSION_METADATA = {
    FORM: FieldForm(versionnumbers.shorten, versionnumbers.expand)
}

# Metadata of fields that were appended to a released message class. A message
# may end without such fields; they are left out while they have their defaults,
# so that older nodes, which count fields, can decode it.
APPENDED = 'jayseam.links.appended'
APPENDED_METADATA = {APPENDED: True}


@attrs.frozen
class _Layout:
    """How the messages of a class are encoded.

    Attributes:
      code: Type code.
      cls: The class.
      names: Names of the fields in their order.
      forms: Forms of the fields that are converted, by index.
      appended: Defaults of the appended fields at the end, in their order.
    """

    code: int
    cls: type
    names: tuple[str, ...]
    forms: tuple[tuple[int, FieldForm], ...]
    appended: tuple[Any, ...] = ()

    @property
    def min_count(self) -> int:
        """Least number of fields in a message."""
        return len(self.names) - len(self.appended)


_layouts_by_code: dict[int, _Layout] = {}
_layouts: dict[type, _Layout] = {}


def register(code: int) -> Callable[[type[T]], type[T]]:
    """Returns a decorator that registers a message class.

    Args:
      code: Type code on the wire, unique among all message classes.

    Raises:
      ValueError: If the code is taken.
      TypeError: If the class is not a frozen attrs class or a field lacks a
        validator.
    """

    def add_class(cls: type[T]) -> type[T]:
        if code in _layouts_by_code:
            raise ValueError(f'message code {code} is already registered')
        if not attrs.has(cls) or cls.__setattr__ is object.__setattr__:
            raise TypeError(f'{cls.__name__} is not a frozen attrs class')
        fields = tuple(field for field in attrs.fields(cls) if field.init)
        for field in fields:
            if field.validator is None:
                raise TypeError(f'{cls.__name__}.{field.name} has no validator')
        layout = _Layout(
            code,
            cls,
            tuple(field.name for field in fields),
            tuple(
                (index, field.metadata[FORM])
                for index, field in enumerate(fields)
                if FORM in field.metadata
            ),
            _list_appended(cls, fields),
        )
        _layouts_by_code[code] = layout
        _layouts[cls] = layout
        return cls

    return add_class


def _list_appended(
    cls: type, fields: Sequence[attrs.Attribute]
) -> tuple[Any, ...]:
    """Returns the defaults of the appended fields.

    Raises:
      TypeError: If they are not the last ones, or have no plain default.
    """
    flags = [APPENDED in field.metadata for field in fields]
    if flags != sorted(flags):
        raise TypeError(f'{cls.__name__}: a field follows an appended one')
    defaults = tuple(
        field.default for field in fields if APPENDED in field.metadata
    )
    if not all(
        type(default) in _SCALARS or default == () for default in defaults
    ):
        raise TypeError(f'{cls.__name__}: an appended field has no default')
    return defaults


def is_integer(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates an int; unlike ``instance_of(int)`` it rejects a bool."""
    if value.__class__ is not int:
        raise TypeError(f'{attribute.name} must be int, got {value!r}')


def is_version(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates a version number; a bool is rejected."""
    is_integer(_, attribute, value)
    if not 0 <= value < versionnumbers.LIMIT:
        raise ValueError(f'{attribute.name} is out of range')


def is_number(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates an int or float; a bool is rejected."""
    if type(value) not in (int, float):
        raise TypeError(f'{attribute.name} must be a number, got {value!r}')


def list_of(*kinds: type) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Returns a validator of lists with items of exactly these classes."""
    allowed = frozenset(kinds)

    def check(_: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not isinstance(value, list) or not allowed.issuperset(
            map(type, value)
        ):
            names = ', '.join(sorted(kind.__name__ for kind in kinds))
            raise TypeError(f'{attribute.name} must be a list of {names}')

    return check


def dict_of(*kinds: type) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Returns a validator of dicts from str to exactly these classes."""
    allowed = frozenset(kinds)

    def check(_: Any, attribute: attrs.Attribute, value: Any) -> None:
        if (
            not isinstance(value, dict)
            or not allowed.issuperset(map(type, value.values()))
            or any(not isinstance(key, str) for key in value)
        ):
            names = ', '.join(sorted(kind.__name__ for kind in kinds))
            raise TypeError(
                f'{attribute.name} must be a dict from str to {names}'
            )

    return check


def encode_body(message: Any, correlation: int) -> list[Any]:
    """Returns ``[type, correlation, fields...]`` as plain values.

    Args:
      message: An instance of a registered class.
      correlation: Correlation ID: 0 for a notification, n > 0 for a request,
        -n for the reply to request n.

    Raises:
      TypeError: If the message or a field cannot be converted to plain values.
    """
    layout = _layouts.get(type(message))
    if layout is None:
        raise TypeError(f'{type(message).__name__} is no registered message')
    body = [layout.code, correlation]
    for name in layout.names:
        value = getattr(message, name)
        body.append(value if type(value) in _SCALARS else _to_plain(value))
    for index, form in layout.forms:
        # The type code and the correlation ID come before the fields.
        body[2 + index] = form.encode(body[2 + index])
    for name, default in zip(
        reversed(layout.names), reversed(layout.appended), strict=False
    ):
        if getattr(message, name) != default:
            break
        body.pop()
    return body


def decode_body(body: Any) -> tuple[Any, int]:
    """Returns the message and correlation ID of a decoded body.

    Raises:
      UnknownTypeError: If the type code is not registered.
      MessageError: If the body is malformed or a field has the wrong type.
    """
    if body.__class__ is not list or len(body) < 2:
        raise errors.MessageError(
            'body is not a list of type code, correlation ID and fields'
        )
    if body[1].__class__ is not int:
        raise errors.MessageError('correlation ID is not an int')
    return _build_message(body[0], body[2:]), body[1]


def _build_message(code: Any, values: list[Any]) -> Any:
    # Checks the type, because a bool or float equals an int key of the same
    # value.
    layout = _layouts_by_code.get(code) if code.__class__ is int else None
    if layout is None:
        raise errors.UnknownTypeError(f'unknown message type code {code!r}')
    cls, count = layout.cls, len(layout.names)
    if not layout.min_count <= len(values) <= count:
        raise errors.MessageError(
            f'{cls.__name__} has {count} fields, got {len(values)}'
        )
    fields = [
        value if type(value) in _SCALARS else _from_plain(value)
        for value in values
    ]
    try:
        for index, form in layout.forms:
            if index < len(fields):
                fields[index] = form.decode(fields[index])
        return cls(*fields)
    except errors.LinkError:
        raise
    except Exception as error:
        # Validators raise errors of many classes; each means an invalid field.
        raise errors.MessageError(f'{cls.__name__}: {error}') from error


def _is_free_key(key: Any) -> bool:
    return key.__class__ is str and not key.startswith(_RESERVED_PREFIX)


def _to_plain(value: Any) -> Any:
    kind = type(value)
    if kind in _SCALARS:
        return value
    if kind in (list, tuple):
        if _SCALARS.issuperset(map(type, value)):
            return value if kind is list else list(value)
        return [_to_plain(item) for item in value]
    if kind is dict:
        if not all(map(_is_free_key, value)):
            raise TypeError('dict keys must be strings that start without $')
        if _SCALARS.issuperset(map(type, value.values())):
            return value
        return {key: _to_plain(item) for key, item in value.items()}
    if kind in _layouts:
        body = encode_body(value, 0)
        del body[1]
        return {_NESTED_KEY: body}
    raise TypeError(f'no plain form for {kind.__name__}')


def _from_plain(value: Any) -> Any:
    kind = type(value)
    if kind in _SCALARS:
        return value
    if kind is list:
        if _SCALARS.issuperset(map(type, value)):
            return value
        return [_from_plain(item) for item in value]
    if kind is dict:
        if _NESTED_KEY in value:
            nested = value[_NESTED_KEY]
            if len(value) != 1 or nested.__class__ is not list or not nested:
                raise errors.MessageError('malformed nested message')
            return _build_message(nested[0], nested[1:])
        if not all(map(_is_free_key, value)):
            raise errors.MessageError('dict key is not a string or is reserved')
        if _SCALARS.issuperset(map(type, value.values())):
            return value
        return {key: _from_plain(item) for key, item in value.items()}
    raise errors.MessageError(f'unexpected value of type {kind.__name__}')


@register(1)
@attrs.frozen
class Done:
    """Reply to a request whose handler returned None."""


@register(2)
@attrs.frozen
class Failure:
    """Reply to a request whose handler raised or could not run.

    Attributes:
      kind: Class name of the exception, ``no-handler`` or ``overloaded``.
      text: Message of the exception.
    """

    kind: str = attrs.field(validator=attrs.validators.instance_of(str))
    text: str = attrs.field(validator=attrs.validators.instance_of(str))
