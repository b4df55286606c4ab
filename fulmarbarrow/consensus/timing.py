"""Timeouts and intervals of the replicated log."""

from __future__ import annotations

import datetime

# A member that heard from a leader within ELECTION_MIN grants no vote.
ELECTION_MIN = datetime.timedelta(milliseconds=800)
ELECTION_MAX = datetime.timedelta(milliseconds=1600)
HEARTBEAT = datetime.timedelta(milliseconds=200)
RESEND_AFTER = datetime.timedelta(milliseconds=500)

# Upper bound of the clock drift between two members, as a fraction of the
# elapsed time.
MAX_DRIFT = 0.01
LEASE = ELECTION_MIN * (1 - 2 * MAX_DRIFT)

# A leader steps down if no quorum has replied for this long.
QUORUM_TIMEOUT = ELECTION_MAX
HANDOVER_TIMEOUT = ELECTION_MIN
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=4)

JOIN_INTERVAL = datetime.timedelta(milliseconds=500)
LEARNER_TIMEOUT = datetime.timedelta(seconds=2)
# A member must be silent for this long before another host replaces it.
REPLACE_AFTER = datetime.timedelta(seconds=3)
