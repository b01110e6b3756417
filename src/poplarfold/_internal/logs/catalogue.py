"""The catalogue of numbered events, with the fields and meaning of each.

A released number is never reused for another event, since alert rules refer to
it. The first digit is the part of the system:

1 calls, 2 the process, 3 placement, 4 retries and health, 5 catalogue and
claims, 6 membership and peers, 7 the platform's services, 8 the front end,
9 internal errors.
"""

from typing import NamedTuple

__all__ = ["EVENTS", "EventKind", "MessageEnd"]


class MessageEnd(NamedTuple):
    """One end of a message between two processes.

    Events with the same ``link`` and the same values of the fields in ``keys``
    belong to the same message; ``call_id`` is allowed as a key. ``is_send`` is true
    for the event of the sender. The timeline estimates the offset between the
    clocks of two processes from these events.
    """

    message: str
    is_send: bool
    keys: tuple[str, ...]


class EventKind(NamedTuple):
    """A numbered event. ``alert`` is true if an operator must investigate it."""

    number: str
    name: str
    fields: tuple[str, ...]
    meaning: str
    alert: bool = False
    message_ends: tuple[MessageEnd, ...] = ()


_ALL = (
    EventKind(
        "PF1001",
        "call_arrived",
        ("entry", "account", "prompt_tokens", "call_class", "revision"),
        "a call was admitted under this revision of its entry",
        message_ends=(MessageEnd("placement request", True, ("call_id",)),),
    ),
    EventKind(
        "PF1002",
        "call_rejected",
        ("code", "entry"),
        "a call was rejected before any work was done for it",
    ),
    EventKind(
        "PF1003",
        "attempt_started",
        ("attempt", "prefill", "decode", "lease"),
        "an attempt started on these endpoints; prefill is null for a service",
        message_ends=(MessageEnd("lease", False, ("lease",)),),
    ),
    EventKind(
        "PF1004",
        "first_output",
        ("attempt", "after_s"),
        "the first output reached the caller's stream",
    ),
    EventKind(
        "PF1005",
        "call_ended",
        ("code", "outputs", "attempts", "duration_s"),
        "the call ended; code is null if its response is complete",
    ),
    EventKind(
        "PF1006",
        "recorded_answer_given",
        ("status",),
        "a retry of a non-repeatable call received the recorded response",
    ),
    EventKind(
        "PF1007",
        "cancel_confirmed",
        ("attempt", "endpoint", "after_s"),
        "an endpoint confirmed that it holds nothing for the attempt",
    ),
    EventKind(
        "PF2001",
        "drain_started",
        ("open_calls",),
        "a planned stop began; no new calls are accepted",
    ),
    EventKind(
        "PF3001",
        "placement_granted",
        ("lease", "prefill", "decode", "start_in_s", "considered"),
        "placement chose endpoints for the call; considered lists the others, each "
        "with the reason why it was not chosen",
        message_ends=(
            MessageEnd("placement request", False, ("call_id",)),
            MessageEnd("lease", True, ("lease",)),
        ),
    ),
    EventKind(
        "PF3002",
        "placement_refused",
        ("code", "detail", "cell"),
        "a cell owner rejected a call",
    ),
    EventKind(
        "PF3003",
        "lease_reclaimed",
        ("lease", "endpoint"),
        "reports of the endpoint no longer show the work under this lease; it was "
        "released",
    ),
    EventKind(
        "PF3004",
        "lease_cancelled",
        ("lease", "reason"),
        "the node that held the lease is dead; the work under it is cancelled",
    ),
    EventKind(
        "PF3005",
        "cell_owner_silent",
        ("owner", "cell"),
        "a cell owner did not respond; the next one is asked",
    ),
    EventKind(
        "PF3101",
        "endpoint_ejected",
        ("endpoint", "reason", "until"),
        "an endpoint receives no work until this time of the node's clock",
    ),
    EventKind(
        "PF3102",
        "endpoint_health_changed",
        ("endpoint", "status"),
        "an endpoint is on probation or healthy again",
    ),
    EventKind(
        "PF3103",
        "endpoint_restarted",
        ("endpoint", "incarnation"),
        "a new process reports at the address; it starts without a health history",
    ),
    EventKind(
        "PF3104",
        "endpoint_unreachable",
        ("endpoint", "reason"),
        "an endpoint refuses connections",
    ),
    EventKind(
        "PF3105",
        "ejection_withheld",
        ("endpoint", "reason", "pool"),
        "an endpoint should be ejected, but too much of its pool is ejected already",
        alert=True,
    ),
    EventKind(
        "PF3201",
        "endpoint_leaving",
        ("endpoint", "sign"),
        "there is a first sign that an endpoint is leaving; it receives no new work",
    ),
    EventKind(
        "PF3301",
        "limit_changed",
        ("entry", "concurrency"),
        "a limit changed; the lower of the old and new value applies for 5 s",
    ),
    EventKind(
        "PF3401",
        "order_sent",
        ("order", "endpoint", "fencing"),
        "an order to load a version or to change a role was sent",
    ),
    EventKind(
        "PF3402",
        "lease_recorded",
        ("record", "offset"),
        "a lease record of this node was appended to the log",
    ),
    EventKind(
        "PF3403",
        "lease_not_recorded",
        ("record", "unknown"),
        "a lease record was not confirmed; if unknown is true, it may be in the log",
    ),
    EventKind(
        "PF3404",
        "order_answered",
        ("order", "accepted"),
        "an endpoint answered an order",
    ),
    EventKind(
        "PF4001",
        "retry_granted",
        ("code", "start_at"),
        "another attempt was granted after this failure",
    ),
    EventKind(
        "PF5001",
        "catalogue_ready",
        ("revision", "offset"),
        "the node has a current catalogue and accepts calls",
    ),
    EventKind(
        "PF5002",
        "change_in_force",
        ("entry", "revision", "base", "operator"),
        "an accepted change of an entry is in force on this node",
    ),
    EventKind(
        "PF5003",
        "log_record_invalid",
        ("stream", "offset", "problem"),
        "a record of the stream cannot be decoded and was skipped",
        alert=True,
    ),
    EventKind(
        "PF5004",
        "log_read_failed",
        ("stream", "expired"),
        "the log did not respond, or no longer has the requested records",
        alert=True,
    ),
    EventKind(
        "PF5005",
        "log_gap_found",
        ("stream", "problem"),
        "offsets of a stream are not contiguous; nothing after the gap was applied",
        alert=True,
    ),
    EventKind(
        "PF5006",
        "peer_catalogue_invalid",
        ("peer", "problem"),
        "a peer sent a catalogue that cannot be decoded",
        alert=True,
    ),
    EventKind(
        "PF5007",
        "catalogue_adopted",
        ("source", "offset"),
        "a newer catalogue was loaded from a checkpoint or a peer",
    ),
    EventKind(
        "PF5202",
        "checkpoint_written",
        ("kind", "offset", "parts"),
        "a checkpoint of the stream up to this offset was appended to the log",
    ),
    EventKind(
        "PF5203",
        "checkpoint_invalid",
        ("kind", "problem"),
        "a checkpoint is damaged or incomplete; an older one is used",
        alert=True,
    ),
    EventKind(
        "PF6001",
        "node_was_paused",
        ("seconds",),
        "this process was paused for this time; others may regard it as failed",
        alert=True,
    ),
    EventKind(
        "PF6002",
        "member_died",
        ("host", "incarnation", "proof"),
        "a process of another entry host is dead; proof states how this is known",
    ),
    EventKind(
        "PF6003",
        "member_silent",
        ("host", "incarnation"),
        "another node does not respond to probes; without proof it is not declared "
        "dead",
    ),
    EventKind(
        "PF6201",
        "orphan_cancelled",
        ("attempt", "endpoint", "host", "incarnation"),
        "an endpoint holds work of a dead process of this host; the work is cancelled",
    ),
    EventKind(
        "PF6102",
        "peer_message_invalid",
        ("peer", "problem"),
        "a peer sent a malformed message; its connection was closed",
        alert=True,
    ),
    EventKind(
        "PF6103",
        "peer_refused",
        ("peer", "problem"),
        "a connection was closed because its first message or certificate is invalid",
        alert=True,
    ),
    EventKind(
        "PF6104",
        "tls_reload_failed",
        ("problem",),
        "changed key files could not be loaded; the old keys stay in use",
        alert=True,
    ),
    EventKind(
        "PF1101",
        "request_routed",
        ("route", "service", "account", "version", "deadline_s", "prompt_tokens")
        + ("parts", "resumes", "last_event_id", "known"),
        "a request matched a route of this configuration; known says how long ago it "
        "was the newest one, up to which offset of its topic, and by which source; a "
        "stream that is taken up resumes the call that brought its first event",
    ),
    EventKind(
        "PF1201",
        "key_rejected",
        ("route", "version", "has_key", "known"),
        "a request got 401, since its route is not public and no account of this "
        "version of the configuration has its API key",
    ),
    EventKind(
        "PF1202",
        "key_not_checked",
        ("route", "version", "has_key", "known"),
        "a request got 503, since the configuration is too old to tell whether its "
        "API key is valid; known says how old",
    ),
    EventKind(
        "PF1203",
        "accounts_changed",
        ("version", "accounts", "keys", "added", "removed", "keys_added")
        + ("keys_removed", "offset"),
        "a configuration with other accounts or API keys is in force; added and "
        "removed name up to ten accounts each, keys are only counted",
    ),
    EventKind(
        "PF1211",
        "quota_exceeded",
        ("account", "units", "retry_after_s", "version", "room", "demand_per_s")
        + ("own_units", "relays", "heard_hosts", "nodes"),
        "a request got 429; room is what this host knew to be left of the account's "
        "bound, own_units are what it has admitted itself within the window, relays "
        "has each relay's last level of the account, or null",
    ),
    EventKind(
        "PF1212",
        "quota_levels_lost",
        (),
        "no relay has sent levels of accounts for 1.5 s; this host admits up to an "
        "equal share of each quota",
    ),
    EventKind(
        "PF1213",
        "quota_levels_received",
        (),
        "this host has current levels of accounts again, or for the first time",
    ),
    EventKind(
        "PF1214",
        "region_usage_lost",
        ("region",),
        "this relay has heard nothing of the usage of another region for 1.5 s and "
        "keeps its share of the quotas free",
    ),
    EventKind(
        "PF1215",
        "region_usage_received",
        ("region",),
        "this relay hears the usage of another region again",
    ),
    EventKind(
        "PF1216",
        "region_link_failed",
        ("region", "relay", "problem"),
        "a connection for the usage of another region has ended; the next relay of the "
        "region is tried",
    ),
    EventKind(
        "PF1102",
        "endpoint_answered",
        ("endpoint", "status", "not_run", "answer_s", "known"),
        "an endpoint started its response to a request",
    ),
    EventKind(
        "PF1103",
        "endpoint_failed",
        ("endpoint", "code", "problem", "sent", "known"),
        "an attempt at an endpoint failed; if sent is true, it may have run",
    ),
    EventKind(
        "PF1104",
        "repeat_denied",
        ("service",),
        "this node's share of the retry budget is used up; there is no retry",
    ),
    EventKind(
        "PF1105",
        "slot_reserved",
        ("endpoint", "software_version", "tokens", "waited_s"),
        "a decode engine reserved a slot for a stream",
    ),
    EventKind(
        "PF1106",
        "prompt_prefilled",
        ("endpoint", "tokens", "prefill_s"),
        "a prefill engine processed the prompt of a stream",
    ),
    EventKind(
        "PF1107",
        "stream_completed",
        (
            "endpoint",
            "events",
            "expected_outputs",
            "max_outputs",
            "stream_s",
            "pause_s",
        ),
        "a stream was relayed to its end",
    ),
    EventKind(
        "PF1108",
        "release_unconfirmed",
        ("endpoint", "kind"),
        "an engine did not confirm a release; what it holds expires",
    ),
    EventKind(
        "PF1109",
        "request_failed",
        ("code", "status", "problem"),
        "a request ended without a complete response of an endpoint",
    ),
    EventKind(
        "PF1110",
        "prefill_left_to_decode",
        ("endpoint",),
        "no prefill engine could prefill the prompt; the decode engine does",
    ),
    EventKind(
        "PF1111",
        "engine_crashed",
        ("endpoint", "born", "parts", "was_answered"),
        "an engine's process ended before it had answered a stream for long; the "
        "parts of its prompt are suspect",
    ),
    EventKind(
        "PF1112",
        "engine_silent",
        ("endpoint",),
        "an engine has sent no whole event for so long that a slot is looked for at "
        "another one; the stream stays until there is one",
    ),
    EventKind(
        "PF1113",
        "stream_taken_up",
        ("resumes", "software_version"),
        "a caller takes up a stream that has broken off, which goes on only at the "
        "software version that began it",
    ),
    EventKind(
        "PF1114",
        "origin_unwritten",
        ("software_version", "has_begun"),
        "the store has not accepted the record of the version that would begin a "
        "stream; it begins only if it could not be joined with another version",
    ),
    EventKind(
        "PF2101",
        "gateway_started",
        ("failure_domain",),
        "the process accepts connections",
    ),
    EventKind(
        "PF2102",
        "gateway_stopping",
        ("open_calls", "waiting"),
        "a planned stop began; ``waiting`` requests had no thread yet",
    ),
    EventKind(
        "PF2103",
        "gateway_stopped",
        ("open_calls", "waiting"),
        "the process exits; calls that are open, or wait for a thread, are aborted",
    ),
    EventKind(
        "PF2104",
        "settings_read_again",
        ("problem",),
        "the settings file was reloaded; if it is malformed, the old settings stay",
    ),
    EventKind(
        "PF2105",
        "listen_failed",
        ("problem",),
        "a port of the node is taken; the process ends with exit code 3",
        alert=True,
    ),
    EventKind(
        "PF2106",
        "old_settings_name",
        ("old", "new"),
        "the gateway's settings file has a table by its old name, which the next "
        "version refuses; rename it",
        alert=True,
    ),
    EventKind(
        "PF3501",
        "role_ordered",
        ("endpoint", "role", "fence", "gain", "status"),
        "an engine was ordered to take a role; a null status means no response",
    ),
    EventKind(
        "PF3502",
        "order_not_given",
        ("problem",),
        "a role change is needed, but this node may not order it now",
    ),
    EventKind(
        "PF3601",
        "endpoint_chosen",
        ("service", "role", "choice", "skipped"),
        "an endpoint was chosen in a service whose endpoints state their pace; choice "
        "has the inputs, and skipped counts the choices since the last one logged",
    ),
    EventKind(
        "PF3602",
        "repeat_ended",
        ("first", "second", "same_domain", "ok"),
        "an attempt at another endpoint ended after one that failed; same_domain says "
        "whether both endpoints share a failure domain",
    ),
    EventKind(
        "PF3611",
        "stream_refused",
        ("reason", "position", "expected_s", "waited_s")
        + ("target_s", "is_late", "retry_after_s"),
        "a stream got no decode slot; with its place in this node's queue, the wait "
        "that was expected of a new stream, and its latency target",
    ),
    EventKind(
        "PF3503",
        "order_log_returned",
        ("era", "previous", "end_before", "end"),
        "the store has come back from an older copy; claims to order that it has lost "
        "may still be in force, so that this node waits before it claims",
    ),
    EventKind(
        "PF6301",
        "nodes_counted",
        ("nodes",),
        "the number of nodes that share the retry budget changed",
    ),
    EventKind(
        "PF6302",
        "announcement_failed",
        ("problem",),
        "the announcements of nodes could not be written or read; the last count of "
        "nodes stays",
    ),
    EventKind(
        "PF6401",
        "relay_listener_missing",
        ("problem",),
        "the node could not listen for subscribers and is never a relay",
        alert=True,
    ),
    EventKind(
        "PF6402",
        "relay_lost",
        ("relay", "problem"),
        "a relay became unreachable or silent; another one is chosen",
    ),
    EventKind(
        "PF6403",
        "subscriber_rejected",
        ("problem",),
        "a subscriber sent a malformed message and was disconnected",
    ),
    EventKind(
        "PF6404",
        "relay_subscribed",
        ("relay",),
        "the node is connected to a relay and waits for its records",
    ),
    EventKind(
        "PF6501",
        "endpoint_cut",
        ("address", "is_refused", "peer", "is_cut_off"),
        "this node does not reach an endpoint that a peer reaches; it connects through "
        "peers, to all endpoints of the service if it takes itself for cut off",
    ),
    EventKind(
        "PF6502",
        "endpoint_reached",
        ("address", "cut_s"),
        "an endpoint that was cut off from this node is reached again",
    ),
    EventKind(
        "PF6503",
        "tunnel_asked",
        ("peer", "endpoint", "outcome", "problem", "took_s"),
        "a peer was asked for a connection to an endpoint, and answered this, or not "
        "at all",
    ),
    EventKind(
        "PF6504",
        "tunnel_served",
        (
            "host",
            "endpoint",
            "sent_bytes",
            "received_bytes",
            "is_whole",
            "open_s",
        ),
        "a tunnel of a peer to an endpoint has ended; it is whole if the endpoint has "
        "ended the connection in order",
    ),
    EventKind(
        "PF6505",
        "tunnel_failed",
        ("problem",),
        "this node serves no tunnels, or one ended with an unexpected error",
        alert=True,
    ),
    EventKind(
        "PF7101",
        "store_gap",
        ("topic",),
        "records were deleted before they were read; reading restarts with the newest",
    ),
    EventKind(
        "PF7102",
        "store_lost",
        ("problem",),
        "the store did not respond; the newest known state stays in force",
        alert=True,
    ),
    EventKind(
        "PF7103",
        "store_regained",
        ("problem",),
        "the store responds again",
    ),
    EventKind(
        "PF7104",
        "lapsed_endpoint_dropped",
        ("endpoint",),
        "an endpoint whose record expired in a store outage was not announced again",
    ),
    EventKind(
        "PF7105",
        "malformed_record",
        ("topic", "key", "offset", "problem"),
        "a record cannot be decoded; an endpoint with its key is not used until its "
        "next valid entry, any other record is ignored",
    ),
    EventKind(
        "PF7106",
        "routes_in_force",
        ("version", "routes", "offset", "known"),
        "this configuration is now in force on this node",
    ),
    EventKind(
        "PF7107",
        "endpoint_changed",
        ("endpoint", "service", "address", "role", "software_version", "born")
        + ("state", "offset", "known"),
        "an endpoint was announced, changed, is leaving or was removed",
    ),
    EventKind(
        "PF7108",
        "deletion_held",
        ("endpoint", "offset", "known"),
        "an entry was deleted during or shortly after an outage of the store; the "
        "endpoint stays in use until it has had time to announce itself again",
    ),
    EventKind(
        "PF7109",
        "topic_reading_began",
        ("topic", "is_relay", "known"),
        "this node begins to read a topic from the store, as a relay or because no "
        "relay has sent it recently",
    ),
    EventKind(
        "PF7110",
        "topic_reading_ended",
        ("topic", "is_relay", "known"),
        "relays send a topic again; this node no longer reads it from the store",
    ),
    EventKind(
        "PF7111",
        "records_applied",
        (
            "topic",
            "start",
            "end",
            "source",
            "records",
            "newer",
            "malformed",
            "held",
        ),
        "records of a topic were read or received, up to the offset end; newer of them "
        "were not known, and of these some were malformed, or are deletions held back",
    ),
    EventKind(
        "PF7112",
        "endpoint_signal",
        ("endpoint", "born", "is_leaving", "retry_after_s"),
        "an endpoint said in an answer that it leaves, or for how long it wants no "
        "calls; this incarnation gets none meanwhile",
    ),
    EventKind(
        "PF7113",
        "endpoint_limit",
        (
            "endpoint",
            "born",
            "limit_per_s",
            "share_per_s",
            "is_trial",
            "hosts",
        ),
        "an endpoint named in an answer how many calls a second it takes from all "
        "hosts together, or no limit any more; this host has a share of it, or only "
        "tries at times whether the limit has ended",
    ),
    EventKind(
        "PF7114",
        "unknown_header",
        ("header", "endpoint"),
        "an endpoint's answer has a header of the platform that this release does not "
        "know, and what it says is not looked at; logged once for each name",
        alert=True,
    ),
    EventKind(
        "PF7115",
        "base_version_written",
        ("service", "software_version", "is_ending", "problem"),
        "a base version was written, which begins the streams of the service without a "
        "record; after a problem another host has written one, or will",
    ),
    EventKind(
        "PF7116",
        "origins_not_written",
        ("count", "problem"),
        "the store did not accept the records of streams, which are written again",
    ),
    EventKind(
        "PF7117",
        "origins_not_read",
        ("problem",),
        "what other hosts have recorded of streams could not be read",
    ),
    EventKind(
        "PF7118",
        "store_returned",
        ("era", "previous", "ends"),
        "the store names a higher era: it has come back from an older copy, and what "
        "was written to it since is lost; up to these offsets its topics were known",
    ),
    EventKind(
        "PF7119",
        "topic_returned",
        (
            "topic",
            "era",
            "previous",
            "end_before",
            "end",
            "source",
            "records",
            "changed",
            "missing",
        ),
        "this node has taken over the older copy of a topic from which the store has "
        "come back; of its records some differ from those known, and some known ones "
        "are missing in it, which their writers have time to write again",
    ),
    EventKind(
        "PF7120",
        "origins_written_again",
        ("era", "count"),
        "this host writes the records of its streams again that the store may have "
        "lost, since it has come back from an older copy",
    ),
    EventKind(
        "PF7121",
        "old_origins_deleted",
        ("part", "count", "problem"),
        "this host deletes records of streams that have ended, which the hosts that "
        "wrote them have left in the store; after a problem some host tries it later",
    ),
    EventKind(
        "PF7201",
        "part_blocked",
        ("part", "crashes", "blocks"),
        "engines have crashed under a part of prompts; requests with it are rejected",
        alert=True,
    ),
    EventKind(
        "PF7202",
        "part_unblocked",
        ("part", "crashes", "blocks"),
        "requests with a part of prompts are served again, after a time or because a "
        "stream with it was answered",
    ),
    EventKind(
        "PF7203",
        "part_not_stored",
        ("part", "problem"),
        "a relay could not write a suspected part to the store, and tries again",
    ),
    EventKind(
        "PF7204",
        "part_tested",
        ("part",),
        "a request with a blocked part of prompts is served, as another part that it "
        "does not have may be the cause; PF7202 follows if its stream is answered",
    ),
    EventKind(
        "PF8201",
        "bodies_rejected",
        ("count", "used_bytes", "limit_bytes"),
        "request bodies were rejected with status 503, because the memory for callers "
        "was used up; logged at most once in 10 s",
    ),
    EventKind(
        "PF8202",
        "slow_callers_closed",
        ("count", "used_bytes", "limit_bytes"),
        "callers that sent a body or read an answer more slowly than others were given "
        "up, for lack of memory or request threads; logged at most once in 10 s",
    ),
    EventKind(
        "PF8203",
        "bodies_timed_out",
        ("count",),
        "request bodies of which nothing arrived for too long got status 408; logged "
        "at most once in 10 s",
    ),
    EventKind(
        "PF8204",
        "connections_closed",
        ("count", "limit"),
        "connections without a whole request were closed, because as many were open as "
        "the descriptors allow; logged at most once in 10 s",
    ),
    EventKind(
        "PF9001",
        "invariant_violated",
        ("invariant", "problem"),
        "an invariant of the core does not hold; this is a bug",
        alert=True,
    ),
    EventKind(
        "PF9002",
        "step_failed",
        ("traceback",),
        "the core or an I/O thread raised an unexpected exception",
        alert=True,
    ),
    EventKind(
        "PF9003",
        "http_server_failed",
        ("message", "traceback"),
        "the HTTP server raised an unexpected exception",
        alert=True,
    ),
    EventKind(
        "PF9004",
        "call_failed",
        ("problem", "traceback"),
        "a call failed with an unexpected error, and its caller got status 500",
        alert=True,
    ),
    EventKind(
        "PF9005",
        "library_message",
        ("logger", "level", "message", "traceback", "skipped"),
        "a library logged a warning or an error; skipped counts those that were left "
        "out before it, as at most one per second is logged",
    ),
)

EVENTS: dict[str, EventKind] = {kind.number: kind for kind in _ALL}
