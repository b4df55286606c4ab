from .exposition import PrometheusDjangoView

__all__ = [
    "PrometheusDjangoView",
]
