import logging

log = logging.getLogger()
