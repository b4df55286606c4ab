from ._core import (
    JSONDecoder as Decoder,
    JSONEncoder as Encoder,
    json_decode as decode,
    json_encode as encode,
    json_format as format,
)
from ._json_schema import schema, schema_components
