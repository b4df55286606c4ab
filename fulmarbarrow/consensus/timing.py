"""Timeouts and intervals of the replicated log."""

from __future__ import annotations

import datetime

# A member that heard from a leader within ELECTION_MIN grants no vote.
ELECTION_MIN = datetime.timedelta(milliseconds=800)
ELECTION_MAX = datetime.timedelta(milliseconds=1600)

# Interval at which a host requests pre-votes again.
PRE_VOTE_INTERVAL = datetime.timedelta(milliseconds=200)
# Interval at which a candidate requests votes again.
VOTE_INTERVAL = datetime.timedelta(milliseconds=200)

# Interval at which a leader sends to every member, with or without entries.
HEARTBEAT = datetime.timedelta(milliseconds=200)
# Entries and snapshot parts without a reply are sent again after this long.
RESEND_AFTER = datetime.timedelta(milliseconds=500)

# Upper bound of the clock drift between two members, as a fraction of the
# elapsed time.
MAX_DRIFT = 0.01
# The lease ends before any member that replied to the leader may grant a
# vote, even if the two clocks drift apart by the maximum.
LEASE = ELECTION_MIN * (1 - 2 * MAX_DRIFT)

# A leader steps down if no quorum has replied for this long.
QUORUM_TIMEOUT = ELECTION_MAX
# A leader steps down if the chosen member is not elected within this time.
HANDOVER_TIMEOUT = ELECTION_MIN
# A proposal without a result fails after this long.
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=4)

# Interval at which a host that is not a voter sends join requests.
JOIN_INTERVAL = datetime.timedelta(milliseconds=500)
# A host that was not heard for this long may be out of reach.
CONTACT_TIMEOUT = datetime.timedelta(seconds=2)
# A leader forgets a learner that has sent no request for this long.
LEARNER_TIMEOUT = datetime.timedelta(seconds=2)
# A member must be silent for this long before another host replaces it.
REPLACE_AFTER = datetime.timedelta(seconds=3)
