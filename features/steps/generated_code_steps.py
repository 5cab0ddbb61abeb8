"""Steps for the comparison of generated code with its source."""

from __future__ import annotations

import pathlib

import behave
from thrift import Thrift
from thriftpy2 import parser

from radishferryd.gen import ttypes

_IDL = 'packages/radishferryd/idl/peer.thrift'
# thriftpy2 uses a separate type code for binary fields.
_THRIFTPY_BINARY = 18


@behave.when('the thrift interface file is parsed')
def parse_idl(context):
    root = pathlib.Path(__file__).parents[2]
    module = parser.parse(str(root / _IDL), module_name='peer_idl_thrift')
    context.idl = {
        name: struct_class
        for name, struct_class in vars(module).items()
        if isinstance(struct_class, type)
        and hasattr(struct_class, 'thrift_spec')
    }
    assert context.idl


@behave.then('each struct equals the generated class of its name')
def structs_equal(context):
    different = [
        name
        for name, struct_class in context.idl.items()
        if _idl_fields(struct_class)
        != _generated_fields(getattr(ttypes, name))
    ]
    assert not different, different


@behave.then('there is no other generated class')
def no_other_class(context):
    generated = {
        name
        for name, struct_class in vars(ttypes).items()
        if isinstance(struct_class, type)
        and struct_class.__module__ == ttypes.__name__
    }
    assert generated == set(context.idl), generated ^ set(context.idl)


def _idl_fields(struct):
    return {
        number: (_idl_type(field[0]), field[1], _idl_detail(field))
        for number, field in struct.thrift_spec.items()
    }


def _idl_type(code):
    return Thrift.TType.STRING if code == _THRIFTPY_BINARY else code


def _idl_detail(field):
    code = field[0]
    if code == _THRIFTPY_BINARY:
        return 'BINARY'
    if code == Thrift.TType.STRING:
        return 'UTF8'
    if code == Thrift.TType.STRUCT:
        return field[2].__name__
    return _idl_elements(field[2]) if len(field) > 3 else None


def _idl_elements(detail):
    if isinstance(detail, type):
        return detail.__name__
    if isinstance(detail, tuple):
        return tuple(_idl_elements(part) for part in detail)
    return _idl_type(detail)


def _generated_fields(cls):
    return {
        field[0]: (field[1], field[2], _generated_detail(field))
        for field in cls.thrift_spec
        if field is not None
    }


def _generated_detail(field):
    code, detail = field[1], field[3]
    if code == Thrift.TType.STRUCT:
        return detail[0].__name__
    if code == Thrift.TType.LIST:
        return _element(detail[0], detail[1])
    if code == Thrift.TType.MAP:
        return (_element(*detail[:2]), _element(*detail[2:4]))
    return detail


def _element(code, detail):
    if code == Thrift.TType.STRUCT:
        return (code, detail[0].__name__)
    return code
