/*
 * Configuration versions: two operators apply a change each by compare-and-swap,
 * requests and answers are delayed or lost, the store may return with older
 * data, two nodes watch the store and pull from each other, and a node may
 * restart. docs/model.md maps each step to the code.
 *
 * A -D macro removes one guard; model/cases.txt lists the expected verdicts.
 */

#define NODES      2
#ifdef RESTART
#define OPERATORS  1		/* keeps the search small */
#else
#define OPERATORS  2
#endif
#define FIRST      1            /* change ID of the version in the store at the start */
#define TRIES      1            /* repeats of a write without an answer */

#define NONE       0
#define OK         1
#define CONFLICT   2

#define OPEN       0            /* what an operator was told */
#define APPLIED    1
#define CHANGED    2
#define UNKNOWN    3

#define bit(c)     (1 << (c))

/* The store: version, change ID and revision of the current document, and the
 * set of changes with an audit entry. */
byte sver = 1; byte schg = FIRST; byte srev = 1; byte audit = 0;

/* Set once the store lost an accepted version. Only then may one version have
 * two contents. */
bool lost = false;
/* Set once the store lost an audit entry. */
bool lost_entry = false;

/* Nodes: newest version and change, and whether other content under the same
 * version was refused. */
byte nver[NODES]; byte nchg[NODES]; bool refused[NODES];
#ifdef REVISION_ONLY
/* The revision that a node read last, which the variant trusts. */
byte last[NODES];
#define forget(i) last[i] = 0
#else
#define forget(i) skip
#endif

/* Operators have the change IDs FIRST+1 and FIRST+2. */
byte told[4]; byte effects[4]; byte answer[4];
byte done = 0;			/* operators that have finished */
bool calm = false;		/* the store returns no older data any more */
bool quiet = false;		/* no write is under way any more */
bool started = false;
bool stop = false;
byte stopped = 0;

/* Writes under way: change ID, version, expected revision. */
chan net = [4] of { byte, byte, byte };

/* The set of changes that took effect. */
byte accepted = bit(FIRST);

/* Judge and adopt: what a node does with a document from any source. */
inline judge(i, v, c) {
	if
	:: v > nver[i] -> nver[i] = v; nchg[i] = c; refused[i] = false
	:: v == nver[i] && c != nchg[i] && v > 0 ->
#ifdef NO_CONFLICT_GUARD
		nchg[i] = c; assert(false)	/* the content of a version changed */
#else
		refused[i] = true
#endif
	:: v < nver[i] ->
#ifdef NO_VERSION_GUARD
		nver[i] = v; nchg[i] = c; assert(false)	/* the version fell */
#else
		skip
#endif
	:: else -> skip
	fi;
	compare()
}

/* Two nodes never hold different content under one version, unless the store
 * lost an accepted version. */
inline compare() {
	if
	:: nver[0] == nver[1] && nchg[0] != nchg[1] ->
#ifdef NO_EXCUSE
		assert(false)
#else
		assert(lost)
#endif
	:: else -> skip
	fi
}

/* One read of the store by a node that watches it, and what follows. */
inline handle_read(i, v, c, r) {
#ifdef REVISION_ONLY
	if
	:: r == last[i] -> skip
	:: else -> last[i] = r; judge(i, v, c)
	fi
#else
	judge(i, v, c)
#endif
}

inline write_back(i, r, v, c) {
#ifndef NO_WRITE_BACK
	if
#ifdef BLIND_WRITE_BACK
	:: true ->
#else
	:: srev == r ->
#endif
		assert(v > sver);	/* the store never falls by a write-back */
		sver = v; schg = c; srev++; forget(i)
	:: else -> skip
	fi
#else
	skip
#endif
}

inline repair(i, v, c) {
	if
	:: v == nver[i] && c == nchg[i] && v > 0 -> audit = audit | bit(c)
	:: else -> skip
	fi
}

proctype Operator(byte me) {
	byte v0, c0, r0, v, c, r; byte tries = 0;
	/* The operators differ only in their number: the first one starts first. */
	me == FIRST + 1 || started;
	atomic {
		started = true;
		v0 = sver; c0 = schg; r0 = srev;
#ifndef NO_AUDIT_OF_PARENT
		audit = audit | bit(c0)
#endif
	};
send:
	atomic { answer[me] = NONE; net!me, v0 + 1, r0 };
	if
	:: answer[me] == OK -> told[me] = APPLIED; goto end
	:: answer[me] == CONFLICT -> skip
	:: true -> skip			/* no answer until the deadline */
	fi;
#ifdef NO_SETTLE
	told[me] = CHANGED; goto end;
#endif
	atomic {
		v = sver; c = schg; r = srev;
		if
		:: v == v0 + 1 && c == me -> told[me] = APPLIED
		:: v == v0 && c == c0 && tries < TRIES -> tries++; r0 = r; goto send
		:: v == v0 && c == c0 && tries == TRIES -> told[me] = UNKNOWN
		:: v > v0 + 1 && (audit & bit(me)) -> told[me] = APPLIED
		:: else ->
#ifdef BLIND_REPEAT
			if
			:: tries < TRIES -> tries++; v0 = v; c0 = c; r0 = r; goto send
			:: else -> told[me] = UNKNOWN
			fi
#else
			told[me] = CHANGED
#endif
		fi
	};
end:
	/* What an operator is told is true, unless the store lost data. */
	atomic {
		if
		:: told[me] == APPLIED -> assert(lost || effects[me] == 1)
		:: told[me] == CHANGED -> assert(lost || effects[me] == 0)
		:: else -> skip
		fi;
		v0 = 0; c0 = 0; r0 = 0; v = 0; c = 0; r = 0; tries = 0;
		told[me] = OPEN; answer[me] = NONE;
		done++
	}
}

/* Delivers writes in any later state, in any order of the operators, or never. */
proctype Network() {
	byte me, v, r;
	do
	:: atomic { net?me, v, r ->
		if
#ifdef NO_SWAP
		:: true ->
#else
		:: srev == r ->
#endif
			sver = v; schg = me; srev++;
			effects[me]++; accepted = accepted | bit(me); answer[me] = OK;
			/* A change takes effect at most once. */
			assert(lost || effects[me] == 1)
		:: else -> answer[me] = CONFLICT
		fi;
		me = 0; v = 0; r = 0 }
	:: done == OPERATORS -> break	/* what is left is lost */
	od;
	quiet = true
}

/* The store returns with the data of the start, at most once and at any time. */
proctype RollBack() {
	if
	:: atomic {
		if
		:: schg != FIRST -> lost = true
		:: else -> skip
		fi;
		if
		:: audit != 0 -> lost_entry = true
		:: else -> skip
		fi;
		sver = 1; schg = FIRST; srev = 1; audit = 0 }
	:: skip
	fi;
	calm = true
}

/* A node that watches the store. Node 0 writes back at once. Between the read
 * and the write-back of node 1, anything may happen to the store, and the write
 * lands even when the node restarts meanwhile. With RESTART, node 1 may restart
 * once. */
proctype Node(byte i) {
	byte r, v, c; bool restarted = false;
	do
	:: atomic { !stop && r == 0 && (sver != nver[i] || schg != nchg[i] || !(audit & bit(schg))) ->
		handle_read(i, sver, schg, srev);
		if
		:: sver < nver[i] && i == 0 -> write_back(i, srev, nver[i], nchg[i])
		:: sver < nver[i] && i == 1 -> r = srev; v = nver[i]; c = nchg[i]
		:: else -> repair(i, sver, schg)
		fi }
	:: atomic { r > 0 -> write_back(i, r, v, c); r = 0; v = 0; c = 0 }
	:: atomic { !stop && nver[1 - i] > 0 && (nver[1 - i] != nver[i] || nchg[1 - i] != nchg[i]) ->
		judge(i, nver[1 - i], nchg[1 - i]) }
#ifdef RESTART
	:: atomic { !stop && i == 1 && !restarted ->
		restarted = true; nver[i] = 0; nchg[i] = 0; refused[i] = false; forget(i) }
#endif
	:: atomic { stop && r == 0 -> break }
	od;
	stopped++
}

/* After all faults: each node reads the store twice and then agrees with it. */
proctype Final() {
	byte i, round;
	calm && quiet;
	stop = true;
	stopped == NODES;
	atomic {
		for (round : 0 .. 1) {
			for (i : 0 .. NODES - 1) {
				handle_read(i, sver, schg, srev);
				if
				:: sver < nver[i] -> write_back(i, srev, nver[i], nchg[i])
				:: else -> repair(i, sver, schg)
				fi
			}
		}
		for (i : 0 .. NODES - 1) {
			assert(nver[i] == sver);
			/* Other content under one version is reported, and only after a loss. */
			assert(nchg[i] == schg || (lost && refused[i]))
		}
		/* Each accepted change has its audit entry. */
		assert(lost || lost_entry || (accepted & audit) == accepted)
	}
}

init {
	atomic {
		run Operator(FIRST + 1);
#ifndef RESTART
		run Operator(FIRST + 2);
#endif
		run Network();
		run RollBack();
		run Node(0);
		run Node(1);
		run Final()
	}
}
