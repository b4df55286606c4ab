from ._core import (
    Ext,
    MsgpackDecoder as Decoder,
    MsgpackEncoder as Encoder,
    msgpack_decode as decode,
    msgpack_encode as encode,
)
