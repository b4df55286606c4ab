from .more import *
from .recipes import *
