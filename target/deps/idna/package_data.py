__version__ = "3.20"
