/* The order of one document's versions, when the store comes back from an older copy.
 *
 * The operator writes versions that only increase. The store may come back from a copy: its era rises,
 * and revisions that it had given out are given out again; the operator writes its newest version
 * once more. Nodes list the document from the store or from each other. A list is taken at one moment
 * and arrives at any later one. A node may start again without knowing anything.
 */
#define NODES 2
#ifndef DRILLS
#define DRILLS 2
#endif
#define MAX_VERSION 2
#define MAX_REVISION 5

typedef document { byte era; byte revision; byte version };

/* Store: its own counters, the document as it holds it, and the copy. */
byte era = 1;
byte revision = 1;
document stored;
byte copied_revision = 1;
document copied;
byte drills_left = DRILLS;

/* Operator: the newest version that the store has acknowledged. */
byte acknowledged;
bool must_write_again;

/* Nodes: the document in force, and a list that is on its way. */
document in_force[NODES];
document on_its_way[NODES];
bool list_open[NODES];
bool listed_store[NODES];
byte restarts_left = 1;

#define position_is_newer(a, b) \
    (a.era > b.era || (a.era == b.era && a.revision > b.revision))

#ifdef MUTANT_REVISION
#define is_newer(a, b) (a.revision > b.revision)
#else
#ifdef MUTANT_ERA
#define is_newer(a, b) position_is_newer(a, b)
#else
#define is_newer(a, b) \
    ((a.era != b.era && a.version != b.version) -> (a.version > b.version) \
                                                        : position_is_newer(a, b))
#endif
#endif

/* For liveness, a node lists the store and the other node by turns. */
#ifdef BY_TURNS
#define may_list_store (!listed_store[self])
#define may_list_peer (listed_store[self])
#define remember_listed(store) listed_store[self] = store
#else
#define may_list_store true
#define may_list_peer true
#define remember_listed(store) skip
#endif

inline copy_document(to, from) {
    to.era = from.era;
    to.revision = from.revision;
    to.version = from.version
}

inline write(value) {
    revision++;
    stored.era = era;
    stored.revision = revision;
    stored.version = value;
    acknowledged = value
}

active proctype operator() {
end:
    do
    :: atomic {
        !must_write_again && acknowledged < MAX_VERSION && revision < MAX_REVISION ->
        write(acknowledged + 1)
       }
#ifndef MUTANT_LOST
    :: atomic { must_write_again -> write(acknowledged); must_write_again = false }
#endif
    od
}

active proctype store() {
end:
    do
    :: atomic { drills_left > 0 -> copied_revision = revision; copy_document(copied, stored) }
    :: atomic { revision < MAX_REVISION - 2 -> revision++ }    /* another document changes */
    :: atomic {
        drills_left > 0 && copied_revision > 0 ->
        drills_left--;
        era++;
        revision = copied_revision;
        copy_document(stored, copied);
        stored.era = era;           /* the store states one era for all that it gives */
        must_write_again = acknowledged > stored.version
       }
    :: drills_left == 0 -> break
    od
}

active [NODES] proctype node() {
    byte self = _pid - 2;
end:
    do
    :: atomic {
        !list_open[self] && may_list_store ->
        copy_document(on_its_way[self], stored);
        list_open[self] = true;
        remember_listed(true)
       }
    :: atomic {
        !list_open[self] && may_list_peer ->
        copy_document(on_its_way[self], in_force[1 - self]);
        list_open[self] = true;
        remember_listed(false)
       }
    :: atomic {
        list_open[self] ->
        if
        :: is_newer(on_its_way[self], in_force[self]) ->
            /* No process goes back behind a version that it had in force. */
            assert(on_its_way[self].version >= in_force[self].version);
            copy_document(in_force[self], on_its_way[self])
        :: else
        fi;
        on_its_way[self].era = 0;
        on_its_way[self].revision = 0;
        on_its_way[self].version = 0;
        list_open[self] = false
       }
    :: atomic {
        restarts_left > 0 ->
        restarts_left--;
        in_force[self].era = 0;
        in_force[self].revision = 0;
        in_force[self].version = 0;
        list_open[self] = false
       }
    od
}

/* What is acknowledged last comes into force everywhere. */
ltl newest_in_force {
    <> [] (in_force[0].version == acknowledged && in_force[1].version == acknowledged)
}
