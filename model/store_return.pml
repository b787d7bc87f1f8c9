/* The store comes back from an older copy: still no key runs twice.
 *
 * One slot; mint times 1..T with one key each; two agents, the first with one crash;
 * one return of the store, to any version of the record before. Each era has a record
 * of its own. An agent goes by the era that the store's answers told it; an answer
 * that tells another one teaches it that and nothing else. A write may be on its way
 * for any time, and its answer may be lost. Clocks agree: a lease ends at most L after
 * the time at which it is written, and the allowance for clocks is 0.
 *
 * Steps named as in the code: change/extend/take (SlotTable), confirm, begin_era,
 * decide (SlotOwner), come_back (the store).
 */
#define T 3
#define V 3
#define L 1
#define UPTO(t) ((1 << ((t) + 1)) - 1)
#define BIT(t) (1 << (t))
#define RANGE(s, e) (UPTO(e) & ~UPTO(s))
#define ME(a) (1 + (a) + 2 * inc[a])
#ifdef ONE_RECORD
#define RECORD(a) 0
#define IS_OF(e) true
#else
#define RECORD(a) told[a]
#ifdef CONFIRM_IN_ANY_ERA
#define IS_OF(e) true
#else
#define IS_OF(e) ((e) == era)
#endif
#endif
#define AT(e, v) ((e) * (V + 1) + (v))

byte h_owner[2 * (V + 1)], h_start[2 * (V + 1)], h_end[2 * (V + 1)];
byte cur[2];                    /* newest version of each era's record; 0: none */
byte era, now;
byte ran[T + 1];                /* executions of each key */

bit inc[2];
byte told[2];                   /* the era that answers told the agent */
byte own[2], claims[2];
byte w_base[2], w_end[2], w_era[2];
bit w_open[2];

inline put(e, owner, start, end) {
    cur[e]++;
    h_owner[AT(e, cur[e])] = owner;
    h_start[AT(e, cur[e])] = start;
    h_end[AT(e, cur[e])] = end
}

inline confirm(a, e, v) {
    if
    :: h_owner[AT(e, v)] == ME(a) ->
        own[a] = own[a] | RANGE(h_start[AT(e, v)], h_end[AT(e, v)])
    :: else -> skip
    fi
}

proctype Store() {
    byte c;
    atomic { cur[0] > 0 ->                      /* come_back */
        select(c : 1 .. cur[0]);
        cur[0] = c;
        era = 1; c = 0 }
}

proctype Clock() {
    do
    :: atomic { now < T - L -> now++ }
    :: atomic { now == T - L -> break }
    od
}

proctype Agent(byte a) {
    byte k, s;
    do
    :: atomic { told[a] != era -> told[a] = era }
    /* change: compute a write on the record of the era that was told */
    :: atomic { !w_open[a] && told[a] == era && cur[RECORD(a)] < V ->
        w_open[a] = 1;
        w_era[a] = RECORD(a);
        w_base[a] = cur[RECORD(a)];
        w_end[a] = now + L }
    :: atomic { w_open[a] ->                    /* it takes effect, or conflicts */
        s = 0;
        k = w_end[a];
        if
        :: w_base[a] != cur[w_era[a]] -> skip
        :: w_base[a] == cur[w_era[a]] && cur[w_era[a]] == 0 && w_era[a] == 1 ->
            s = h_end[AT(0, cur[0])];           /* begin_era */
#ifndef BEGIN_AT_THE_COPYS_END
            if
            :: s < now -> s = now
            :: else -> skip
            fi;
            s = s + L;
#endif
            if
            :: s < T -> put(1, ME(a), s, s + 1)
            :: else -> skip
            fi
        :: w_base[a] == cur[w_era[a]] && cur[w_era[a]] == 0 && w_era[a] == 0 ->
            put(0, ME(a), 0, k)
        :: else ->
            s = h_end[AT(w_era[a], cur[w_era[a]])];
            if
            :: k <= s -> skip
            :: k > s && h_owner[AT(w_era[a], cur[w_era[a]])] == ME(a) ->
                s = h_start[AT(w_era[a], cur[w_era[a]])];
                put(w_era[a], ME(a), s, k)      /* extend */
            :: else -> put(w_era[a], ME(a), s, k)   /* take */
            fi
        fi;
        if
        :: cur[w_era[a]] && IS_OF(w_era[a]) -> confirm(a, w_era[a], cur[w_era[a]])
        :: skip                                 /* the answer is lost */
        fi;
        told[a] = era;
        w_open[a] = 0; w_base[a] = 0; w_end[a] = 0; w_era[a] = 0; s = 0; k = 0 }
    :: atomic { told[a] == era && cur[RECORD(a)] ->     /* a read */
        confirm(a, RECORD(a), cur[RECORD(a)]) }
    :: atomic { own[a] & ~claims[a] ->          /* decide, and run */
        select(k : 1 .. T);
        if
        :: (own[a] & ~claims[a]) & BIT(k) ->
            claims[a] = claims[a] | BIT(k);
            ran[k]++;
            assert(ran[k] <= 1)
        :: else -> skip
        fi; k = 0 }
    :: atomic { a == 0 && inc[a] == 0 ->        /* crash: memory is gone */
        inc[a] = 1; told[a] = 0; own[a] = 0; claims[a] = 0;
        w_open[a] = 0; w_base[a] = 0; w_end[a] = 0; w_era[a] = 0 }
    :: atomic { now == T - L -> break }
    od
}

init {
    atomic { run Store(); run Clock(); run Agent(0); run Agent(1) }
}
