"""Records a message of each kind, reads those of another build, lists forms.

    python scripts/record_messages.py record > tests/recorded_messages/NAME.json
    python scripts/record_messages.py read < tests/recorded_messages/NAME.json
    python scripts/record_messages.py forms > tests/message_forms.json

It runs on the code that ``PYTHONPATH`` names, also on that of an earlier build,
and therefore imports nothing that only some builds have.
"""

import base64
import json
import sys
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any, get_args

import msgspec
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from copperyard import messages_pb2, records
from copperyard.entry_messages import (
    Datagram,
    Snapshot,
    decode_datagram,
    decode_snapshot,
    encode_message,
)
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    ForwardedRequest,
    decode_forwarded,
    encode_forwarded,
)
from copperyard.snapshots import (
    CONFIGURATION_STATE_MACHINE,
    VIEW_HISTORY_STATE_MACHINE,
    ReplicaState,
    apply_encoded_record,
    encode_snapshot,
    restore_snapshot,
)

# What the type of a field does not tell.
_TEXTS_BY_FIELD = {
    'ip': '127.0.0.2',
    'silent_ip': '127.0.0.3',
    'heard_ip': '127.0.0.3',
    'home_ip': '127.0.0.3',
    'known_ips': '127.0.0.3',
    'address': '127.0.0.1:9000',
}
_NUMBERS_BY_FIELD = {'end': 9, 'parts': 2}
_FORWARDED = (ForwardedRequest, ForwardedOutcome)
_RECORD_TYPES = get_args(records.Record)
_INTENT_TYPES = get_args(records.Intent)


def build_sample(message_type: type, **changes: Any) -> Any:
    """Build a message in which no field has its default.

    :param message_type: a struct or data class.
    :param changes: values of fields.
    """
    info = msgspec.inspect.type_info(message_type)
    return message_type(
        **{
            field.name: changes.get(field.name, _fill(field.type, field.name))
            for field in info.fields
        }
    )


def _fill(info: Any, name: str) -> Any:
    match info:
        case msgspec.inspect.UnionType(types=types):
            return _fill(types[0], name)
        case msgspec.inspect.VarTupleType(item_type=item):
            structs = getattr(item, 'types', (item,))
            return tuple(_fill(each, name) for each in structs)
        case msgspec.inspect.TupleType(item_types=items):
            return tuple(_fill(item, name) for item in items)
        case msgspec.inspect.EnumType(cls=enum):
            return tuple(enum)[-1]
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.IntType():
            return _NUMBERS_BY_FIELD.get(name, 1)
        case msgspec.inspect.FloatType():
            return 0.5
        case msgspec.inspect.StrType():
            return _TEXTS_BY_FIELD.get(name, f'a-{name}')
        case msgspec.inspect.BytesType(min_length=length):
            return b'b' * (length or 1)
        case msgspec.inspect.StructType(cls=kind):
            return build_sample(kind)
        case msgspec.inspect.DataclassType(cls=kind):
            return build_sample(kind)
    raise TypeError(f'{name}: no sample of {info}')


def build_protobuf_sample(message_type: type[Message]) -> Message:
    """Build a protobuf message in which each field is set.

    :param message_type: class of the message.
    """
    message = message_type()
    for field in message_type.DESCRIPTOR.fields:
        target = getattr(message, field.name)
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            nested_type = getattr(messages_pb2, field.message_type.name)
            nested = build_protobuf_sample(nested_type)
            if field.is_repeated:
                target.append(nested)
            else:
                target.CopyFrom(nested)
        elif field.is_repeated:
            target.append(f'a-{field.name}')
        elif field.type == FieldDescriptor.TYPE_STRING:
            setattr(message, field.name, f'a-{field.name}')
        elif field.type == FieldDescriptor.TYPE_BYTES:
            setattr(message, field.name, b'b' * 16)
        else:
            setattr(message, field.name, 1)
    return message


def _list_protobuf_types() -> dict[str, type[Message]]:
    names = messages_pb2.DESCRIPTOR.message_types_by_name
    return {name: getattr(messages_pb2, name) for name in sorted(names)}


def _build_records() -> dict[str, dict[str, Any]]:
    """Return a body of each kind of record."""
    bodies = {}
    for record_type in _RECORD_TYPES:
        if record_type is records.IntentProposed:
            continue
        body = records.encode_record(build_sample(record_type))
        bodies[f'record {body["kind"]}'] = body
    for intent_type in _INTENT_TYPES:
        intent = build_sample(intent_type)
        body = records.encode_record(
            records.IntentProposed(
                change_id='c', operator='anna', intent=intent
            )
        )
        bodies[f'record {body["kind"]} {body["intent"]["kind"]}'] = body
    return bodies


def _build_stream_snapshots() -> dict[str, str]:
    texts = {}
    for name, machine in _STATE_MACHINES.items():
        replica: Any = ReplicaState(state=machine.initial_state)
        for offset, body in enumerate(_build_records().values()):
            replica = apply_encoded_record(machine, replica, offset, body)
        texts[f'stream {name}'] = encode_snapshot(machine, replica)
    return texts


_STATE_MACHINES: dict[str, Any] = {
    'configuration': CONFIGURATION_STATE_MACHINE,
    'members': VIEW_HISTORY_STATE_MACHINE,
}


def record_messages() -> dict[str, bytes]:
    """Return the encoded message of each kind, by what it is."""
    contents = {}
    for kind in get_args(Datagram):
        tag = kind.__struct_config__.tag
        contents[f'datagram {tag}'] = encode_message(build_sample(kind))
    contents['snapshot'] = encode_message(build_sample(Snapshot))
    for kind in _FORWARDED:
        contents[f'forwarded {kind.__name__}'] = encode_forwarded(
            build_sample(kind)
        )
    for name, kind in _list_protobuf_types().items():
        message = build_protobuf_sample(kind)
        contents[f'protobuf {name}'] = message.SerializeToString(
            deterministic=True
        )
    for name, body in _build_records().items():
        contents[name] = json.dumps(body).encode()
    for name, text in _build_stream_snapshots().items():
        contents[name] = text.encode()
    return contents


def read_message(name: str, content: bytes) -> Any:
    """Decode a recorded message.

    :param name: what it is.
    :param content: the message.
    :returns: its content as plain lists and dictionaries; ``None`` if it is
        refused.
    """
    group, _, kind = name.partition(' ')
    match group:
        case 'datagram':
            return _read_struct(decode_datagram(content))
        case 'snapshot':
            return _read_struct(decode_snapshot(content))
        case 'forwarded':
            types = {each.__name__: each for each in _FORWARDED}
            return _read_struct(decode_forwarded(content, types[kind]))
        case 'protobuf':
            message = _list_protobuf_types()[kind].FromString(content)
            known = message.__class__()
            known.CopyFrom(message)
            known.DiscardUnknownFields()
            return known.SerializeToString(deterministic=True)
        case 'record':
            record = records.decode_record(json.loads(content)).value_or(None)
            return None if record is None else records.encode_record(record)
    machine = _STATE_MACHINES[kind]
    replica = restore_snapshot(machine, content).value_or(None)
    return (
        None
        if replica is None
        else json.loads(encode_snapshot(machine, replica))
    )


def _read_struct(message: Any) -> Any:
    if message is None:
        return None
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


def list_forms() -> dict[str, list[str]]:
    """Return the fields of each message, in their order on the wire."""
    forms: dict[str, list[str]] = {}
    structs = (*get_args(Datagram), Snapshot, *_FORWARDED)
    for message_type in (*structs, *_RECORD_TYPES, *_INTENT_TYPES):
        _add_form(forms, message_type)
    for name, kind in _list_protobuf_types().items():
        forms[f'protobuf {name}'] = [
            _describe_protobuf_field(field) for field in kind.DESCRIPTOR.fields
        ]
    return dict(sorted(forms.items()))


def _add_form(forms: dict[str, list[str]], message_type: type) -> None:
    name = message_type.__name__
    if name in forms:
        return
    if issubclass(message_type, msgspec.Struct):
        tag = message_type.__struct_config__.tag
        annotations = message_type.__annotations__
        names = message_type.__struct_fields__
        required = len(names) - len(message_type.__struct_defaults__)
        lines = [f'kind {tag}'] if tag else []
        lines += [
            _describe_field(names[index], annotations, index < required)
            for index in range(len(names))
        ]
    else:
        annotations = message_type.__annotations__
        lines = [
            _describe_field(field.name, annotations, not _has_default(field))
            for field in fields(message_type)
        ]
    forms[name] = lines
    for nested in _find_types(tuple(annotations.values())):
        _add_form(forms, nested)


def _has_default(field: Any) -> bool:
    return 'MISSING' not in repr(field.default)


def _describe_field(
    name: str, annotations: dict[str, Any], is_required: bool
) -> str:
    annotation = annotations[name]
    text = repr(annotation).replace('typing.', '')
    if isinstance(annotation, type):
        text = annotation.__name__
        if issubclass(annotation, Enum):
            members = ', '.join(f'{item.value}' for item in annotation)
            text = f'{text} of {members}'
    return f'{name}: {text}{" required" if is_required else ""}'


def _describe_protobuf_field(field: FieldDescriptor) -> str:
    label = 'repeated ' if field.is_repeated else ''
    nested = field.message_type.name if field.message_type else field.type
    return f'{field.number} {field.name}: {label}{nested}'


def _find_types(annotations: tuple[Any, ...]) -> list[type]:
    """Return the structs and data classes inside annotations."""
    found = []
    for annotation in annotations:
        is_enum = isinstance(annotation, type) and issubclass(annotation, Enum)
        if (
            isinstance(annotation, type)
            and not is_enum
            and (
                is_dataclass(annotation)
                or issubclass(annotation, msgspec.Struct)
            )
        ):
            found.append(annotation)
        found += _find_types(get_args(annotation))
    return found


def _main(command: str) -> None:
    match command:
        case 'record':
            printed: Any = {
                name: base64.b64encode(content).decode()
                for name, content in record_messages().items()
            }
        case 'read':
            recorded = json.load(sys.stdin)
            printed = {
                name: _is_read(name, base64.b64decode(text))
                for name, text in recorded.items()
            }
        case 'forms':
            from copperyard.message_formats import FORMATS_VERSION

            printed = {'version': FORMATS_VERSION, 'forms': list_forms()}
    print(json.dumps(printed, indent=1))


def _is_read(name: str, content: bytes) -> bool:
    try:
        return read_message(name, content) is not None
    except KeyError:
        return False


if __name__ == '__main__':
    _main(sys.argv[1])
