/* Spread of one object's versions: never an older after a newer one, "in force"
 * means in force, and an accepted edit is in the history.
 *
 * The platform's versions 1..V; two operators writing conditionally, one lost
 * answer each; two relays, of which one may freeze with a message in hand; one
 * box that follows any relay, and may restart with nothing. Deleting is a
 * version like any other (a tombstone). Reads may be stale by any amount; the
 * watch may lose a change, and then says so. Steps named as in the code: apply,
 * mark_complete, apply_snapshot (ConfigView), settled_put.
 */
#define V 3
#define BOXES 3                 /* 0 and 1 relay, 2 follows */

byte cur;                       /* newest version */
byte writer[V + 1];             /* who wrote each version */
byte has[BOXES];                /* version in force, 0 for none */
byte complete[BOXES];           /* revision that the box reports */
byte told[2];                   /* version that the operator was told, 0: none */
bit restarted;

chan inbox[1] = [2] of { byte, byte, bit };   /* to a follower: version,
                                                 complete_to, snapshot */

inline apply(b, v) {
    if
#ifndef APPLY_ANY_VERSION
    :: v <= has[b] -> skip
#endif
    :: else ->
        assert(v >= has[b]);
        has[b] = v
    fi
}

inline mark_complete(b, r) {
    if
    :: r > complete[b] -> complete[b] = r
    :: else -> skip
    fi;
    assert(has[b] >= complete[b])       /* each revision is a version here */
}

proctype Operator(byte o) {
    byte base, reads;
    do
    :: atomic { cur < V && told[o] == 0 ->
        base = cur }
       if
       :: atomic { base == cur && cur < V ->       /* takes effect */
            cur++; writer[cur] = o + 1;
            if
            :: told[o] = cur; break                /* answered */
            :: skip                                /* answer lost: settle */
            fi }
          if
#ifdef SETTLE_BY_STALE_READ
          :: atomic { select(reads : 0 .. cur);
                if
                :: writer[reads] == o + 1 && reads > 0 -> told[o] = reads
                :: else -> told[o] = 255           /* "not stored" */
                fi }; break
#else
          :: atomic { reads = cur;                 /* write again: it conflicts */
                do
                :: reads > 0 && writer[reads] != o + 1 -> reads--
                :: else -> break
                od;
                told[o] = reads }; break
#endif
          fi
       :: atomic { base != cur -> told[o] = 254; break }   /* 412: look again */
       fi
    :: cur == V && told[o] == 0 -> break
    od;
    atomic {
        assert(told[o] != 255);                    /* an edit that was stored */
        assert(told[o] == 0 || told[o] == 254 || writer[told[o]] == o + 1)
    }
}

proctype Relay(byte b) {
    byte v, c, f;
    do
    :: atomic { complete[b] < cur ->               /* the watch, in order */
        v = complete[b] + 1;
        apply(b, v); mark_complete(b, v); v = 0 }
    :: atomic { has[b] < cur -> apply(b, cur) }    /* an edit accepted here */
#ifdef IGNORE_GAP
    :: atomic { complete[b] < cur -> mark_complete(b, cur) }
#endif
    :: atomic { complete[b] < cur ->               /* a list, perhaps stale */
        select(v : 0 .. cur);
        if
#ifndef SNAPSHOT_OF_ANY_AGE
        :: v < complete[b] -> skip
#endif
        :: else ->
#ifdef SNAPSHOT_OF_ANY_AGE
            assert(v >= has[b]); has[b] = v; complete[b] = v
#else
            apply(b, v); mark_complete(b, v)
#endif
        fi; v = 0 }
    :: atomic { complete[b] > 0 ->                 /* a batch, sent later */
        v = has[b]; c = complete[b] };
       atomic { f = 0;               /* frozen in between */
        if
        :: len(inbox[f]) < 2 -> inbox[f] ! v, c, 1
        :: else -> skip
        fi; f = 0; v = 0; c = 0 }
    :: timeout -> break
    od
}

proctype Follower(byte f) {
    byte v, c, b;
    b = f + 2;
    do
    :: atomic { inbox[f] ? v, c, _ ->
        if
#ifndef SNAPSHOT_OF_ANY_AGE
        :: c < complete[b] -> skip
#endif
        :: else ->
#ifdef COMPLETE_BEFORE_APPLY
            complete[b] = c; assert(has[b] >= complete[b]);
#endif
            apply(b, v); mark_complete(b, c)
        fi; v = 0; c = 0 }
    :: atomic { !restarted -> restarted = 1; has[b] = 0; complete[b] = 0 }
    :: timeout -> break
    od
}

init {
    atomic {
        run Operator(0); run Operator(1);
        run Relay(0); run Relay(1);
        run Follower(0)
    }
}
