/*
 * At most once for one non-idempotent key, as pkg/atmostonce implements it.
 *
 * Three or four nodes of one service are homes and executors. Epoch 1 holds
 * all of them and the home of the key is node 0. When node 0 is declared dead,
 * which may be false, epoch 2 holds the others and the home is node 1. When
 * node 0 comes back, epoch 3 holds all again and the home is node 0.
 *
 * Two entries carry the same key. A process may stop between any two steps,
 * which stands for a pause. Answers may be lost, call messages may be late,
 * duplicated or never arrive, nodes may be killed and come back without memory.
 *
 * An executor runs calls only while its epoch is confirmed by a majority of the
 * epoch's members, and an entry tells "not run" only when a majority confirms
 * the epoch of the home's answer. Time is not modelled: the confirmations of an
 * old epoch lapse when the new home has waited for their duration after a
 * majority has adopted the new epoch.
 *
 * Without FRESH the key is older than all epoch changes. With FRESH it is
 * created after the horizon of epoch 2, so that a new home serves it although
 * records are missing.
 *
 * With OWN_KEY one entry has made the key itself and no other uses it. Until a
 * call of it may have run, a home serves it without the records of the former
 * epoch, and a grant that is open is replaced without a question to its executor.
 *
 * Each guard of the protocol can be removed by a macro; the verifier must then
 * find a fault. See cases.txt.
 */

#ifndef KILLS
#define KILLS 1
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif

#ifndef NODES
#define NODES 3
#endif
#define NOBODY 7

/* Home of the key and membership by epoch. */
#define HOME(e) ((e) == 2 -> 1 : 0)
#define MEMBER(e, n) ((e) != 2 || (n) != 0)

/* A home acts when it has adopted the epoch and its transfer has ended. */
#define MAY_ACT(h, e) (epoch[h] == (e) && HOME(e) == (h) && readyFor[h] == (e))

/* The entry has made the key and no call of it can have run. */
#ifdef OWN_KEY
#define KEY_IS_NEW isNew
#else
#define KEY_IS_NEW false
#endif

/* A home serves a new key as soon as it has adopted the epoch that names it. */
#define MAY_SERVE(h, e) (MAY_ACT(h, e) || (KEY_IS_NEW && epoch[h] == (e) && HOME(e) == (h) && inc[h] == ((h) == 0 -> memberInc[e] : 1)))

/* A majority of epoch e has not adopted a higher one, so that the epoch can be confirmed. */
#ifdef VOTE_OF_ANY_INCARNATION
#define MEMBER_INC(e, n) inc[n]
#else
#define MEMBER_INC(e, n) ((n) == 0 -> memberInc[e] : 1)
#endif
#define NOT_BEYOND(e, n) (MEMBER(e, n) && alive[n] && inc[n] == MEMBER_INC(e, n) && epoch[n] <= (e) -> 1 : 0)
#define EPOCH_SIZE(e) ((e) == 2 -> NODES - 1 : NODES)
#if NODES == 3
#define VOTES(e) (NOT_BEYOND(e, 0) + NOT_BEYOND(e, 1) + NOT_BEYOND(e, 2))
#elif NODES == 4
#define VOTES(e) (NOT_BEYOND(e, 0) + NOT_BEYOND(e, 1) + NOT_BEYOND(e, 2) + NOT_BEYOND(e, 3))
#else
#define VOTES(e) (NOT_BEYOND(e, 0) + NOT_BEYOND(e, 1) + NOT_BEYOND(e, 2) + NOT_BEYOND(e, 3) + NOT_BEYOND(e, 4))
#endif
#define CONFIRMED(e) (2 * VOTES(e) > EPOCH_SIZE(e))

/* A record of the key may have been lost. */
#ifdef FRESH
#define MISSING(h) false
#else
#define MISSING(h) lossy[h]
#endif

/* Records of a home. */
#define H_NONE 0
#define H_GRANTED 1
#define H_DONE 2
#define H_UNKNOWN 3

/* Records of an executor. */
#define X_NONE 0
#define X_RUNNING 1
#define X_DONE 2
#define X_SEALED 3

/* Answers of a home. */
#define A_LOST 0
#define A_GRANT 1
#define A_DONE 2
#define A_UNKNOWN 3
#define A_RETRY 4
#define A_NOT_RUN 5

/* Answers of an executor to a call. */
#define C_PENDING 0
#define C_RAN 1
#define C_REFUSED 2

byte storeEpoch = 1;

bool alive[NODES] = true;
byte inc[NODES] = 1;         /* incarnation of the process */
byte epoch[NODES] = 1;       /* epoch that the node has adopted */
byte homeRec[NODES];
byte homeX[NODES];           /* executor of the last grant */
byte homeXInc[NODES];
byte homeG[NODES];           /* number of the last grant */
byte readyFor[NODES] = 1;    /* epoch whose transfer is complete here */
bool lossy[NODES];           /* below the horizon: a record may be missing */
byte fence[NODES] = 1;       /* epoch that the executor holds for confirmed */
byte memberInc[4] = 1;       /* incarnation of node 0 in each epoch */

byte execRec[NODES];
byte execG[NODES];           /* highest grant that is recorded or sealed */
byte execEpoch[NODES];       /* epoch of that grant */

/* One call message of each entry. */
bool sent[2];
bool delivered[2];
bool duplicated[2];
byte callE[2]; byte callG[2]; byte callX[2]; byte callInc[2];
byte callAnswer[2];

byte runs;                   /* executions on backend servers */
byte kills;

inline adopt(n, e) {
    if
    :: e > epoch[n] -> epoch[n] = e
    :: else
    fi
}

/* The executor x answers the home's question about grant g of epoch e. */
inline sealAt(h, x) {
    if
    :: !alive[x] -> homeRec[h] = H_UNKNOWN
#ifndef NO_INCARNATION_CHECK
    :: alive[x] && inc[x] != homeXInc[h] -> homeRec[h] = H_UNKNOWN
    :: alive[x] && inc[x] == homeXInc[h] ->
#else
    :: alive[x] ->
#endif
        if
        :: execRec[x] == X_RUNNING -> skip
        :: execRec[x] == X_DONE -> homeRec[h] = H_DONE
        :: execRec[x] == X_SEALED && execG[x] >= homeG[h] -> homeRec[h] = H_NONE
        :: (execRec[x] == X_NONE || (execRec[x] == X_SEALED && execG[x] < homeG[h])) ->
#ifndef NO_SEAL
            execRec[x] = X_SEALED;
            execG[x] = homeG[h];
#endif
            homeRec[h] = H_NONE
        fi
    fi
}

/*
 * The home h answers a claim of epoch e. With offer == NOBODY the entry only
 * asks for the outcome. The home settles an open grant with its executor
 * first; when the executor does not answer, the outcome is unknown.
 */
inline claim(h, e, offer, answer, grant) {
    answer = A_RETRY;
    if
    :: !alive[h] -> answer = A_LOST
    :: alive[h] ->
        adopt(h, e);
        if
        :: !MAY_SERVE(h, e) -> answer = A_RETRY
        :: MAY_SERVE(h, e) ->
            if
            :: homeRec[h] == H_GRANTED && KEY_IS_NEW -> homeRec[h] = H_NONE
            :: homeRec[h] == H_GRANTED && !KEY_IS_NEW -> sealAt(h, homeX[h])
            :: else
            fi;
            if
            :: homeRec[h] == H_DONE -> answer = A_DONE
            :: homeRec[h] == H_UNKNOWN -> answer = A_UNKNOWN
            :: homeRec[h] == H_GRANTED -> answer = A_UNKNOWN
#ifndef NO_HORIZON
            :: homeRec[h] == H_NONE && MISSING(h) && !KEY_IS_NEW -> answer = A_UNKNOWN
            :: homeRec[h] == H_NONE && (!MISSING(h) || KEY_IS_NEW) && offer == NOBODY -> answer = A_NOT_RUN
            :: homeRec[h] == H_NONE && (!MISSING(h) || KEY_IS_NEW) && offer != NOBODY ->
#else
            :: homeRec[h] == H_NONE && offer == NOBODY -> answer = A_NOT_RUN
            :: homeRec[h] == H_NONE && offer != NOBODY ->
#endif
                homeG[h] = homeG[h] + 1;
                homeRec[h] = H_GRANTED;
                homeX[h] = offer;
                homeXInc[h] = (offer == 0 -> memberInc[e] : 1);
                grant = homeG[h];
                answer = A_GRANT
            fi
        fi
    fi
}

proctype Entry(byte id) {
    byte e; byte h; byte x; byte answer; byte grant; byte round;
#ifdef OWN_KEY
    bool isNew = true;
#endif

#ifdef FRESH
end_fresh:
    readyFor[HOME(2)] == 2;
#endif
    do
    :: round == ROUNDS -> goto finish
    :: round < ROUNDS ->
        round++;
        /* The entry may know an older epoch than the store holds. */
        atomic {
            if
            :: e = 1
            :: storeEpoch >= 2 -> e = 2
            :: storeEpoch >= 3 -> e = 3
            fi;
            h = HOME(e);
            if
            :: MEMBER(e, 0) -> x = 0
            :: x = 1
            :: x = 2
#if NODES > 3
            :: x = 3
#endif
#if NODES > 4
            :: x = 4
#endif
            fi
        }
#ifndef HOME_MAY_EXECUTE
        if
        :: x == h -> x = 2
        :: else
        fi;
#endif
        atomic { claim(h, e, x, answer, grant) }
        if
        :: answer == A_GRANT ->
            /* A lost answer of the home leaves a grant that nobody uses. */
            if
            :: skip
#ifdef OWN_KEY
            :: goto again
#endif
            :: goto finish
            fi;
            atomic {
                callE[id] = e; callG[id] = grant; callX[id] = x;
                callInc[id] = (x == 0 -> memberInc[e] : 1);
                callAnswer[id] = C_PENDING; delivered[id] = false; duplicated[id] = false;
                sent[id] = true
            }
            if
            :: callAnswer[id] == C_RAN -> goto unresolved
            :: callAnswer[id] == C_REFUSED -> sent[id] = false
            :: goto unresolved /* the answer is lost or the caller gives up */
            fi
        :: answer == A_DONE || answer == A_UNKNOWN -> goto finish
        :: answer == A_LOST || answer == A_RETRY -> skip
        fi;
#ifdef OWN_KEY
again:
        skip
#endif
    od;

unresolved:
#if defined(OWN_KEY) && !defined(NEW_AFTER_SEND)
    isNew = false;
#endif
finish:
    atomic { x = 0; grant = 0; round = 0; answer = 0 };
#ifdef OWN_KEY
    /* The entry tells "not run" without a home while the key is new. */
    atomic {
        if
        :: isNew -> assert(runs == 0)
        :: else
        fi
    }
#endif
    /* The entry tells "not run" only on the word of the home. */
#ifdef TELL_WITHOUT_HOME
    atomic {
        if
        :: callAnswer[id] == C_REFUSED -> assert(runs == 0)
        :: else
        fi
    }
#else
    atomic {
        claim(h, e, NOBODY, answer, grant);
        if
#ifdef NO_CONFIRMATION
        :: answer == A_NOT_RUN -> assert(runs == 0)
#else
        :: answer == A_NOT_RUN && CONFIRMED(e) -> assert(runs == 0)
#endif
        :: else
        fi;
        e = 0; h = 0; answer = 0
    }
#endif
}

/* Carries the call message of one entry to its executor, once or twice. */
proctype Network(byte id) {
    byte x; byte mine;

    do
    :: atomic { sent[id] && !delivered[id] ->
            delivered[id] = true; x = callX[id];
            if
            :: !alive[x] -> skip
#ifndef NO_INCARNATION_CHECK
            :: alive[x] && inc[x] != callInc[id] -> callAnswer[id] = C_REFUSED
            :: alive[x] && inc[x] == callInc[id] ->
#else
            :: alive[x] ->
#endif
                adopt(x, callE[id]);
                if
                :: fence[x] != callE[id] && CONFIRMED(callE[id]) -> fence[x] = callE[id]
                :: else
                fi;
                if
#ifndef NO_EPOCH_CHECK
                :: callE[id] < epoch[x] -> callAnswer[id] = C_REFUSED
#ifndef NO_FENCE
                :: callE[id] >= epoch[x] && fence[x] != callE[id] -> callAnswer[id] = C_REFUSED
                :: callE[id] >= epoch[x] && fence[x] == callE[id] ->
#else
                :: callE[id] >= epoch[x] ->
#endif
#else
                :: true ->
#endif
                    if
#ifndef NO_DUPLICATE_CHECK
                    :: execRec[x] == X_RUNNING || execRec[x] == X_DONE -> skip
#else
                    :: execRec[x] == X_RUNNING || execRec[x] == X_DONE -> mine = inc[x]; goto execute
#endif
                    :: execRec[x] == X_SEALED && execG[x] >= callG[id] -> callAnswer[id] = C_REFUSED
                    :: execRec[x] == X_NONE || (execRec[x] == X_SEALED && execG[x] < callG[id]) ->
                        if
                        :: /* admission rejects it */
                            execRec[x] = X_SEALED; execG[x] = callG[id];
                            callAnswer[id] = C_REFUSED
                        :: /* the record comes before the backend server */
#ifndef RECORD_AFTER_RUN
                            execRec[x] = X_RUNNING; execG[x] = callG[id];
#endif
                            mine = inc[x];
                            goto execute
                        fi
                    fi
                fi
            fi
        }
#ifdef DUPLICATES
    :: atomic { sent[id] && delivered[id] && !duplicated[id] -> duplicated[id] = true; delivered[id] = false }
#endif
    :: timeout -> break
    od;
    goto end_network;

execute:
    /* The node may be killed before or after it writes to its backend server. */
    atomic {
        if
        :: alive[x] && inc[x] == mine -> runs++; assert(runs <= 1)
        :: else
        fi
    }
    atomic {
        if
        :: alive[x] && inc[x] == mine -> execRec[x] = X_DONE; execG[x] = callG[id]; callAnswer[id] = C_RAN
        :: else
        fi
    }
#ifdef DUPLICATES
    /* A duplicate may arrive after the execution. */
    if
    :: atomic { !duplicated[id] && alive[x] && inc[x] == mine ->
        duplicated[id] = true;
#ifdef NO_DUPLICATE_CHECK
        runs++; assert(runs <= 1)
#else
        assert(execRec[x] == X_DONE) /* the record answers the duplicate */
#endif
       }
    :: skip
    fi;
#endif
end_network:
    atomic { x = 0; mine = 0 }
}

/* Kills nodes and brings them back without memory. */
proctype Killer() {
    byte n;
    do
    :: kills < KILLS ->
        atomic {
            if
            :: n = 0
            :: n = 1
            :: n = 2
#if NODES > 3
            :: n = 3
#endif
#if NODES > 4
            :: n = 4
#endif
            fi;
            alive[n] = false; kills++;
            inc[n] = inc[n] + 1;
            homeRec[n] = H_NONE; homeG[n] = 0; homeX[n] = 0; homeXInc[n] = 0; lossy[n] = false;
            execRec[n] = X_NONE; execG[n] = 0;
            epoch[n] = 0; readyFor[n] = 0; fence[n] = 0
        };
        if
        :: atomic { alive[n] = true; n = 0 }
        :: n = 0
        fi
    :: break
    od
}

/* A node proposes the next epoch by compare-and-swap; rightly or not. */
proctype Proposer() {
    do
    :: storeEpoch < MAX_EPOCH ->
        atomic {
            memberInc[storeEpoch + 1] = inc[0];
            storeEpoch++
        }
    :: break
    od
}

/*
 * Asks member n of the former epoch for its records. An answer means that n
 * has adopted the new epoch. The records of n move to the home h.
 */
inline transferFrom(h, n, got) {
    adopt(n, e);
    got = true;
    if
    :: epoch[n] != e -> got = false
    :: else ->
#ifndef NO_TRANSFER
        if
        :: n == HOME(e - 1) ->
            if
            :: lossy[n] -> lossy[h] = true
            :: else
            fi;
            if
            :: homeRec[n] == H_DONE || homeRec[n] == H_UNKNOWN -> homeRec[h] = homeRec[n]
            :: homeRec[n] == H_GRANTED && homeRec[h] == H_NONE ->
                homeRec[h] = H_GRANTED; homeX[h] = homeX[n]; homeXInc[h] = homeXInc[n]
            :: else
            fi;
            homeG[h] = (homeG[n] > homeG[h] -> homeG[n] : homeG[h])
        :: else
        fi;
        if
        :: execRec[n] == X_DONE -> homeRec[h] = H_DONE
        :: execRec[n] == X_RUNNING && homeRec[h] != H_DONE && homeRec[h] != H_UNKNOWN ->
            homeRec[h] = H_GRANTED; homeX[h] = n; homeXInc[h] = inc[n]
        :: else
        fi;
        homeG[h] = (execG[n] > homeG[h] -> execG[n] : homeG[h])
#else
        skip
#endif
    fi
}

/* The new home of epoch e collects the records of the former epoch. */
proctype Transfer(byte e) {
    byte h; byte former; byte n; byte mine; bool got; bool formerAnswered; bool othersAnswered;
    byte adopted; byte size;

end_wait:
    storeEpoch >= e;
    h = HOME(e);
    former = HOME(e - 1);
    atomic {
        mine = inc[h];
        if
        :: alive[h] && mine == (h == 0 -> memberInc[e] : 1) -> adopt(h, e)
        :: else -> goto gone
        fi
    }
    othersAnswered = true;
    n = 0;
    do
    :: n == NODES -> break
    :: n < NODES ->
        atomic {
            got = false;
            if
            :: !MEMBER(e - 1, n) -> got = true
            :: MEMBER(e - 1, n) && alive[n] && inc[n] == (n == 0 -> memberInc[e - 1] : 1) && alive[h] && inc[h] == mine ->
                if
                :: transferFrom(h, n, got)
                :: skip /* cut off */
                fi
            :: else
            fi;
            if
            :: MEMBER(e - 1, n) -> size++
            :: else
            fi;
            if
            :: MEMBER(e - 1, n) && got -> adopted++
            :: else
            fi;
            if
            :: n == former && MEMBER(e - 1, n) -> formerAnswered = got
            :: n != former && !got -> othersAnswered = false
            :: else
            fi;
            n++
        }
    od;
    atomic {
        if
        :: alive[h] && inc[h] == mine && epoch[h] == e ->
            if
            :: formerAnswered || othersAnswered -> skip
            :: else -> lossy[h] = true
            fi;
            if
            :: formerAnswered || othersAnswered || size - adopted <= 1 -> readyFor[h] = e
            :: else ->
                if
                :: 2 * adopted > size ->
                    /* The wait for the confirmations of the former epoch. */
                    fence[0] = (fence[0] < e -> 0 : fence[0]);
                    fence[1] = (fence[1] < e -> 0 : fence[1]);
                    fence[2] = (fence[2] < e -> 0 : fence[2]);
#if NODES > 3
                    fence[3] = (fence[3] < e -> 0 : fence[3]);
#endif
#if NODES > 4
                    fence[4] = (fence[4] < e -> 0 : fence[4]);
#endif
                    readyFor[h] = e
                :: else
                fi
            fi
        :: else
        fi
    }
gone:
    atomic { h = 0; former = 0; n = 0; mine = 0; got = false; formerAnswered = false; othersAnswered = false; adopted = 0; size = 0 }
}

init {
    atomic {
        run Entry(0); run Network(0);
#ifndef OWN_KEY
        run Entry(1); run Network(1);
#endif
       
        run Killer(); run Proposer();
        run Transfer(2);
#if MAX_EPOCH >= 3
        run Transfer(3)
#endif
    }
}
