"""Faults of a stand-in's membership: it leaves, or it flaps."""

from __future__ import annotations

from twisted.internet import task

from fulmarbarrow.membership import messages
from fulmarbarrow.standins import announcer as announcers
from fulmarbarrow.standins import faults as faults_module
from fulmarbarrow.standins import identity as identities


class Presence:
    """Switches an upstream's announcements with its faults."""

    def __init__(
        self,
        *,
        announcer: announcers.Announcer,
        faults: faults_module.Faults,
        identity: identities.Identity,
    ) -> None:
        self._identity = identity
        self._announcer = announcer
        self._flapping = task.LoopingCall(self._flap)
        faults.watch(faults_module.FaultKind.LEAVING, self._leave)
        faults.watch(faults_module.FaultKind.FLAP, self._switch_flapping)

    def _leave(self, fault: faults_module.Fault) -> None:
        self._announcer.state = (
            messages.UpstreamState.LEAVING
            if fault.on
            else messages.UpstreamState.SERVING
        )
        self._announcer.announce()

    def _switch_flapping(self, fault: faults_module.Fault) -> None:
        if self._flapping.running:
            self._flapping.stop()
        self._announcer.muted = False
        if fault.on:
            self._flapping.start(fault.seconds)

    def _flap(self) -> None:
        """Leave, or come back as a new incarnation."""
        self._announcer.muted = not self._announcer.muted
        if not self._announcer.muted:
            self._identity.restart()
            self._announcer.announce()
