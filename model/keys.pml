/* Dispatch ledger, ticket and claim of one idempotency key on a route that may not be repeated.
 *
 * A caller sends the same key in several tries, each through either entry, at any time. An entry
 * may crash and start again; a pause is any delay between two steps of a try. Messages to the
 * upstream and to the platform arrive late or not at all, and their answers may be lost.
 * -DTICKET: the key is built on a ticket of entry 0's first incarnation. Otherwise it is claimed in
 * the platform.
 */
#ifndef TRIES
#define TRIES 2
#endif
#define NONE 255

mtype = { absent, free_key, in_progress, used_key, handed_over };
mtype = { open, not_run, may_have_run, answered, died };

/* Entries: their incarnation, and what their registry holds of the key. */
byte run_of[2] = 1;
mtype standing[2] = free_key;
bool knows[2];
byte holder_entry = NONE;   /* entry 0 gave the right to this entry ... */
byte holder_run;            /* ... in this incarnation */
bool seen_gone;             /* entry 1 believes that entry 0's first incarnation is gone */
byte crashes_left = 1;

/* Platform: the claim's writer, and its revision. */
byte claimed_by = NONE;
byte claim_revision;

/* Upstream. */
byte runs;
bool ran[TRIES];
mtype verdict[TRIES] = open;
chan to_upstream = [TRIES] of { byte };

inline refuse(value) {
    verdict[t] = value;
    /* A refusal that says "not run" is true. */
    assert(value != not_run || !ran[t]);
    goto ended
}

/* The key's request ended without having run: the key is free again. */
inline release(may_run) {
    if
    :: uses_registry -> standing[at] = (may_run -> used_key : free_key)
#ifdef MUTANT_RELEASE
    :: !uses_registry -> claimed_by = NONE
#else
    :: !uses_registry && !may_run && claim_revision == claimed_at && claimed_by == t ->
        claimed_by = NONE
    :: else
#endif
    fi
}

proctype attempt(byte t) {
    byte at;            /* entry */
    byte my_run;          /* its incarnation when the try arrived */
    bool uses_registry;
    byte claimed_at;
    bool tried_again;

    if
    :: at = 0
    :: at = 1
    fi;
    my_run = run_of[at];

#ifdef TICKET
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: at == 0 && my_run == 1 -> goto use_key
        :: at == 1 && knows[1] -> goto use_key
#ifdef MUTANT_TICKET
        :: at == 1 && !knows[1] && seen_gone -> goto use_key
#else
        :: at == 1 && !knows[1] && seen_gone -> refuse(may_have_run)
#endif
        :: at == 1 && !knows[1] && !seen_gone
        :: at == 0 && my_run != 1 -> refuse(may_have_run)
        fi
    }
    /* key_ask: whoever runs as entry 0 when it arrives answers it; it may be lost. */
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: run_of[at] == my_run -> refuse(not_run)     /* no answer in time */
#ifdef MUTANT_SUCCESSOR
        :: run_of[at] == my_run
#else
        :: run_of[at] == my_run && run_of[0] == 1
#endif
            ->
            if
            :: standing[0] == free_key ->
                standing[0] = handed_over;
                holder_entry = at;
                holder_run = my_run
            :: standing[0] == handed_over && holder_entry == at && holder_run == my_run
            :: else -> refuse(may_have_run)
            fi
        :: run_of[at] == my_run && run_of[0] != 1 -> refuse(may_have_run)
        fi
    }
use_key:
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: run_of[at] == my_run && standing[at] == free_key ->
            standing[at] = in_progress;
            knows[at] = true;
            uses_registry = true
        :: run_of[at] == my_run && at == 1 && standing[at] == handed_over ->
            assert(false)
        :: run_of[at] == my_run && standing[at] != free_key -> refuse(may_have_run)
        fi
    }
#else
    /* platform_put with "must not exist": it takes effect or conflicts; its answer may be lost. */
claim:
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: run_of[at] == my_run -> refuse(not_run)     /* platform unavailable, before any effect */
#ifdef MUTANT_CLAIM
        :: run_of[at] == my_run ->
#else
        :: run_of[at] == my_run && claimed_by == NONE ->
#endif
            claimed_by = t;
            claim_revision++
        :: run_of[at] == my_run && claimed_by != NONE && claimed_by != t -> refuse(may_have_run)
        fi
    }
    if
    :: true                                         /* written */
    :: true ->                                      /* answer lost: read back */
        atomic {
            if
            :: run_of[at] != my_run -> goto crashed
            :: run_of[at] == my_run && claimed_by == t /* our own change id */
            :: run_of[at] == my_run && claimed_by != t -> refuse(may_have_run)
            :: run_of[at] == my_run -> refuse(not_run) /* still no answer: given up */
            fi
        }
    fi;
    claimed_at = claim_revision;
#endif

    /* The ledger entry stands before the first byte goes out: both are one step here. */
dispatch:
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: run_of[at] == my_run -> release(false); refuse(not_run) /* no permit in time */
        :: run_of[at] == my_run -> to_upstream!t
        :: run_of[at] == my_run && !tried_again ->  /* proven not sent: again */
            tried_again = true;
            goto dispatch
        fi
    }
    atomic {
        if
        :: run_of[at] != my_run -> goto crashed
        :: run_of[at] == my_run && ran[t] -> release(true); verdict[t] = answered
#ifndef MUTANT_WAIT
        :: run_of[at] == my_run ->                  /* answer lost, or none in time */
#ifdef MUTANT_REDISPATCH
            goto dispatch
#endif
#ifdef MUTANT_LEDGER
            release(true); verdict[t] = not_run
#else
            release(true); refuse(may_have_run)
#endif
#endif
        fi
    }
    goto ended;
crashed:
    verdict[t] = died;
ended:
    skip
}

/* Takes what arrives, late or at once, or loses it. */
active proctype upstream() {
    byte t;
end:
    do
    :: to_upstream?t ->
        if
        :: atomic {
            runs++;
            ran[t] = true;
            /* A request that may not be repeated runs at most once. */
            assert(runs <= 1);
            assert(verdict[t] != not_run)
           }
        :: true
        fi
    od
}

/* Ends an entry's process and starts another, whose registry is empty. */
active proctype failure() {
    byte which;
    do
    :: crashes_left > 0 ->
        atomic {
            if
            :: which = 0
            :: which = 1
            fi;
            run_of[which]++;
            standing[which] = free_key;
            knows[which] = false;
            crashes_left--
        }
    :: !seen_gone -> seen_gone = true               /* also when it is only paused */
    :: break
    od
}

init {
    byte next;
    atomic {
        do
        :: next < TRIES -> run attempt(next); next++
        :: else -> break
        od
    }
}

/* Every try ends: with a verdict, or with its entry. */
ltl every_try_ends { <> (verdict[0] != open && verdict[1] != open) }
