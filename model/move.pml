/* Move controller: lease, fencing number, status writes, orders to an engine, and the brake.
 *
 * Two nodes race for one move's lease. A pause is any delay between two steps, so that a lease may
 * lapse while its holder still believes in it. Status writes are conditional on the revision that
 * was read. One node may die for good. Evidence against the new version may turn up at either node,
 * at any time.
 */
#define NONE 255

mtype = { shifting, soaking, done, reverted };

/* Platform: the lease, and the move's status. */
byte holder = NONE;
byte fencing;
mtype phase = shifting;
byte status_revision;
byte status_fencing;

/* Engine that checks fencing numbers. */
byte engine_fencing;
bool engine_serves_new;

/* Nodes. */
bool brake[2];
bool is_dead[2];
byte lapses_left = 2;       /* of leases whose holders live */
byte crashes_left = 1;

#ifdef MUTANT_HOLDER
#define newer_holder_wrote false
#else
#define newer_holder_wrote (status_read > my_fencing)
#endif
#define is_over(value) ((value) == done || (value) == reverted)

/* Conditional write of the status; `read_at` is the revision that the new phase was decided on. */
inline write_status(next) {
    atomic {
        if
#ifdef MUTANT_STATUS
        :: true ->
#else
        :: status_revision == read_at ->
#endif
            /* A move that has ended stays as it ended, and a newer holder's word stands. */
            assert(!is_over(phase));
            assert(my_fencing >= status_fencing);
            phase = next;
            status_fencing = my_fencing;
            status_revision++;
            read_at = status_revision
#ifndef MUTANT_STATUS
        :: else
#endif
        fi
    }
}

/* Order to serve or to drop the new version. */
inline order(serve) {
    atomic {
        if
#ifndef MUTANT_FENCING
        :: my_fencing < engine_fencing              /* refused as stale */
        :: my_fencing >= engine_fencing ->
#else
        :: true ->
#endif
            assert(my_fencing >= engine_fencing);
            engine_fencing = my_fencing;
            engine_serves_new = serve
        :: true                                     /* lost */
        fi
    }
}

proctype controller(byte me) {
    byte my_fencing;
    byte read_at;
    byte status_read;
    mtype read_phase;

idle:
    do
    :: is_over(phase) -> break
    :: atomic {
#ifdef MUTANT_LEASE
        fencing < 4 ->
#else
        holder == NONE ->
#endif
        assert(holder == NONE);
        holder = me;
        fencing++;
        my_fencing = fencing
       }
       /* Reads the status under the new lease and carries the move on from there. */
       do
       :: atomic { 
              read_phase = phase;
              read_at = status_revision;
              status_read = status_fencing
          };
          if
          :: is_over(read_phase) -> goto idle
          :: newer_holder_wrote -> goto idle
          :: !is_over(read_phase) && !newer_holder_wrote && brake[me] ->
             order(false);
             write_status(reverted)
          :: read_phase == shifting && !newer_holder_wrote && !brake[me] ->
             order(true);
             write_status(soaking)
          :: read_phase == soaking && !newer_holder_wrote && !brake[me] ->
             write_status(done)
          fi
       :: holder != me -> goto idle                 /* it has noticed that its lease is gone */
       :: atomic { crashes_left > 0 -> crashes_left--; is_dead[me] = true; goto dead }
       od
    od;
dead:
    skip
}

/* A dead holder's lease lapses; a live one's may, whether or not its holder knows. */
active proctype lease_clock() {
end:
    do
#ifndef MUTANT_LAPSE
    :: atomic { holder != NONE && is_dead[holder] -> holder = NONE }
#endif
    :: atomic { holder != NONE && lapses_left > 0 -> lapses_left--; holder = NONE }
    od
}

/* Evidence against a bad version turns up at one node. */
active proctype evidence() {
    if
    :: true ->
        if
        :: brake[0] = true
        :: brake[1] = true
        fi
    :: true             /* the version is good */
    fi
}

/* Heartbeats arrive late: a flag that is on at the sender is on at the receiver. */
active proctype heartbeat() {
    byte from;
    bool carried;
end:
    do
    :: brake[0] != brake[1] ->
       if
       :: brake[0] -> from = 0
       :: brake[1] -> from = 1
#ifdef MUTANT_BRAKE
       :: from = 0
#endif
       fi;
       carried = brake[from];
       atomic {
            /* The brake only ever goes on. */
            assert(carried || !brake[1 - from]);
#ifndef MUTANT_SPREAD
            brake[1 - from] = carried
#endif
       }
    od
}

init {
    atomic {
        run controller(0);
        run controller(1)
    }
}

/* A move ends done or reverted, never in between. */
ltl move_ends { <> (phase == done || phase == reverted) }
/* A brake that is on at one node comes on at every node. */
ltl brake_spreads { [] (brake[0] -> <> brake[1]) }
