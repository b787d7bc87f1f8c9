/* Attaching and resuming: every token once, in order, from one generation.
 *
 * A generation of N tokens at an agent; a rerun elsewhere is generation 2. The
 * caller is connected through gateway 0 or 1 and resumes by the index after the
 * last token shown (`Last-Event-ID`). Each link is a FIFO that may be cut with
 * what is on it; the engine may resend from an earlier offset. A second reader
 * may attach at any time. Steps named as in the code: append, attach, send,
 * detach (Generation), _take and _attach_again (_GenerationReader).
 */
#define N 3
#define WINDOW 2

byte made;                      /* tokens in the agent's buffer */
byte reader = 255;              /* link attached last */
byte sent, acked;
bit lost;                       /* the agent is gone with the generation */

chan link[2] = [3] of { byte, byte };      /* generation, index of a token */
byte next[2];                   /* gateway's next index, counted from 0 */
bit attached[2];                /* gateway believes that it reads */
byte gen[2];                    /* generation that the gateway reads */

byte at = 255;                  /* gateway that the caller is connected to */
byte shown, shown_gen;
bit ended;
byte cuts, resumes, reruns;

inline clear(g) {
    do
    :: len(link[g]) > 0 -> link[g] ? _, _
    :: len(link[g]) == 0 -> break
    od
}

inline attach(g, index) {
    clear(g);
    reader = g; sent = index; acked = index;
    next[g] = index; attached[g] = 1; gen[g] = 1
}

active proctype Engine() {
    do
    :: atomic { made < N && !lost -> made++ }              /* append */
#ifdef APPEND_BLINDLY
    :: atomic { made > 0 && made < N && !lost && reader != 255 && nfull(link[reader]) ->
        link[reader] ! 1, made - 1 }                        /* a resent token */
#endif
    :: atomic { !lost && cuts < 2 -> cuts++; lost = 1 }    /* agent killed */
    :: ended || shown == N -> break
    od
}

active proctype Agent() {
    do
    :: atomic { reader != 255 && !lost && sent < made && sent - acked < WINDOW &&
                nfull(link[reader]) ->
        link[reader] ! 1, sent; sent++ }                   /* send */
#ifdef OLD_READER_GOES_ON
    :: atomic { reader != 255 && !lost && attached[1 - reader] && sent < made &&
                nfull(link[1 - reader]) ->
        link[1 - reader] ! 1, sent; sent++ }
#endif
    :: ended || shown == N -> break
    od
}

active proctype Caller() {
    byte g, i, n;
    do
    :: atomic { at == 255 && shown == 0 && !ended && !lost && resumes < 3 ->
        resumes++;
        select(g : 0 .. 1);
        at = g; attach(g, 0); g = 0 }                      /* submit */
    :: atomic { at == 255 && shown > 0 && shown < N && !ended && resumes < 3 ->
        resumes++;
        select(g : 0 .. 1);
        if
        :: lost -> ended = 1                               /* agent_lost, at once */
        :: else ->
            at = g;
#ifdef RESUME_FROM_ACKNOWLEDGED
            attach(g, acked)
#else
            attach(g, shown)
#endif
        fi; g = 0 }
    :: atomic { at != 255 && nempty(link[at]) && attached[at] ->
        link[at] ? n, i;                                   /* _take, then show */
        if
#ifndef NO_INDEX_CHECK
        :: i != next[at] -> skip
#endif
        :: else ->
            next[at] = i + 1;
            assert(i == shown);
            assert(shown == 0 || n == shown_gen);
            shown++; shown_gen = n;
            if
            :: n == 1 && reader == at -> acked = shown
            :: else -> skip
            fi
        fi; n = 0; i = 0 }
    :: atomic { at != 255 && cuts < 2 ->                   /* the caller drops */
        cuts++; clear(at); attached[at] = 0;
        if
        :: reader == at -> reader = 255                    /* detach */
        :: skip                                            /* not noticed yet */
        fi;
        at = 255 }
    :: atomic { at != 255 && !lost && cuts < 2 ->          /* link lost: again */
        cuts++; attach(at, next[at]) }
    :: atomic { at != 255 && lost && empty(link[at]) && shown < N && reruns == 0 ->
        if
#ifndef SPLICE
        :: shown > 0 -> ended = 1; at = 255                /* one terminal error */
#endif
        :: else ->                                         /* rerun elsewhere */
            reruns++; next[at] = shown; reader = 255;
            i = shown;
            do
            :: i < N && len(link[at]) < 3 -> link[at] ! 2, i; i++
            :: else -> break
            od; i = 0
        fi }
    :: atomic { !lost && reader != 255 && cuts < 2 && at != 255 && shown > 0 ->
        cuts++;                                            /* a second reader */
        g = 1 - at;
        reader = g; sent = shown; acked = shown; g = 0 }
    :: ended || shown == N -> break
    :: timeout -> break
    od
}
