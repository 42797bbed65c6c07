/*
 * Claims: a request with a key runs at most once, and "not run" is said only
 * while that is true. Three attempts of one key; the service loses answers,
 * drops writes, delivers them late, is down; attempts stop anywhere, pause, and
 * are cut off from the edge that waits for them. README.md ties each step to
 * its Go function. MUTANT_* leave one guard out and must be caught.
 */

#define N 3
#define TRIES 2

#define ABSENT 0
#define CLAIMED 1
#define DONE 2
#define RELEASED 3
#define NOBODY 9

/* The record, and its revision in the service. */
byte state = ABSENT;
byte holder = NOBODY;
byte rev = 0;

/* One late write of each attempt: expected revision and new state; 99 is none. */
byte lateRev[N] = 99;
byte lateState[N];

/* Records are forgotten after their retention, so long after its deadline an
   attempt can no longer tell from the record that nothing ran. */
#ifdef MUTANT_LATE_NO
#define timely true
#else
#define timely (!expired)
#endif

/* What really happened. */
byte runs = 0;
bool saidNo[N];
/* All deadlines have passed; attempts between their last look and the send. */
bool expired = false;
byte sending = 0;
/* Late writes are bounded: two in all. */
byte late = 2;

inline write(id, expect, next, result) {
	/* result: 0 done, 1 conflict, 2 unknown, 3 not available */
	atomic {
		if
		:: expect == rev -> rev++; state = next; holder = id; result = 0
		:: expect == rev -> rev++; state = next; holder = id; result = 2
		:: expect != rev -> result = 1
		:: expect != rev -> result = 2
		:: result = 2 /* dropped */
		:: late > 0 && lateRev[id] == 99 -> late--; lateRev[id] = expect; lateState[id] = next; result = 2
		:: result = 3
		fi
#ifdef MUTANT_BLIND_WRITE
		if
		:: result == 1 -> rev++; state = next; holder = id; result = 0
		:: else
		fi
#endif
	}
}

/* A refusal that was decided before a claim: not run is said after a look. */
inline refuse(id) {
	atomic {
		if
#ifdef MUTANT_NO_LOOK
		:: saidNo[id] = true; assert(runs == 0)
#else
		:: (state == ABSENT || state == RELEASED) && timely -> saidNo[id] = true; assert(runs == 0)
		:: state == CLAIMED || state == DONE -> skip /* told: unknown, or already ran */
		:: skip /* the service cannot be asked, or it is too late to tell: unknown */
#endif
		fi
	}
}

proctype Attempt(byte id) {
	byte expect = 0;
	byte tries = 0;
	byte result = 0;
	bool unsettled = false;

	/* Refused by a limit or a queue, before any claim. */
	if
	:: refuse(id); goto end
	:: skip
	fi;

claim:
	if
	:: tries == TRIES -> goto end /* unsettled: unknown, nothing runs */
	:: else
	fi;
	tries++;
	write(id, expect, CLAIMED, result);
	if
	:: result == 0 -> goto held
	:: result == 3 && !unsettled -> refuse(id); goto end
	:: result == 3 && unsettled -> goto end
	:: result == 2 -> unsettled = true
#ifdef MUTANT_UNKNOWN_IS_SUCCESS
	:: result == 2 -> goto held
#endif
	:: result == 1
	fi;
	/* Look: read the record back. */
	atomic {
		if
		:: state == CLAIMED && holder == id -> goto held
		:: state == ABSENT -> expect = rev
		:: state == RELEASED -> expect = rev
		:: (state == CLAIMED && holder != id) || state == DONE -> goto end
		:: goto end /* the look failed */
		fi
	};
	goto claim;

held:
	if
	:: goto end /* stops here: the record stays claimed */
	:: skip
	fi;
	/* The edge loses the hop to this attempt and tells its caller. */
	if
#ifdef MUTANT_BROKEN_HOP_IS_NO
	:: saidNo[id] = true
#endif
	:: skip /* unknown */
	fi;
	/* The last look at the clock, then the send. A pause in between is shorter
	   than the retention's margin; one before it is of any length. */
	atomic {
		if
		:: expired -> goto release
		:: else -> sending++
		fi
	};
	if
	:: atomic { sending--; goto release } /* no connection: no byte left */
	:: atomic {
		runs++;
		sending--;
		assert(runs <= 1);
		assert(!saidNo[id])
	   }
	fi;
	if
	:: write(id, rev, DONE, result); goto end
	:: skip /* ambiguous: the record stays claimed */
#ifdef MUTANT_RELEASE_AFTER_DOUBT
	:: goto releaseOnly
#endif
	fi;
	goto end;

release:
	atomic {
		if
		:: timely -> saidNo[id] = true; assert(runs == 0)
		:: else
		fi
	};
releaseOnly:
	atomic {
		if
		:: state == CLAIMED && holder == id -> write(id, rev, RELEASED, result)
		:: else
		fi
	};
end:
	skip
}

/* Late writes arrive at any time, or never; deadlines pass; long after all of
   them the record's retention ends. */
inline arrive(i) {
	if
	:: lateRev[i] == rev -> rev++; state = lateState[i]; holder = i
	:: else
	fi;
	lateRev[i] = 99;
	lateState[i] = 0
}

active proctype World() {
	do
	:: atomic { lateRev[0] != 99 -> arrive(0) }
	:: atomic { lateRev[1] != 99 -> arrive(1) }
	:: atomic { lateRev[2] != 99 -> arrive(2) }
	:: !expired -> expired = true
	:: atomic {
#ifdef MUTANT_SHORT_LEASE
		state != ABSENT ->
#else
		state != ABSENT && expired && sending == 0 ->
#endif
		rev++; state = ABSENT; holder = NOBODY
	   }
	:: break
	od
}

init {
	atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
}
