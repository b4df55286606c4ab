from .request import Request as Request
from .response import Response as Response
from .response import ResponseStream as ResponseStream
