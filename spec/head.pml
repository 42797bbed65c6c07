/*
 * The configuration head: two operators edit one template by compare-and-swap;
 * writes are dropped, answers lost, the service goes down and comes back.
 * README.md ties each step to its Go function. MUTANT_* leave one guard out and
 * must be caught.
 */

#define TRIES 3

/* The head: its version, the last edit of the template, which edits it holds. */
byte version = 0;
byte content = 0;
byte holds[2];
bool down = false;

proctype Operator(byte id) {
	byte base, seen, tries = 0;
	byte result; /* 0 done, 1 conflict of revisions, 2 unknown, 3 not available */
	bool unsettled = false;
	base = content; /* what the operator looked at */
again:
	/* Read the head. */
	atomic {
		if
		:: tries == TRIES -> goto unknown
		:: else -> tries++
		fi;
		if
		:: down && unsettled -> goto unknown
		:: down && !unsettled -> goto refused
		:: !down ->
			seen = version;
#ifndef MUTANT_NO_EDIT_ID
			if
			:: holds[id] > 0 -> goto accepted
			:: else
			fi;
#endif
#ifndef MUTANT_NO_CONFLICT
			if
			:: content != base -> goto conflict
			:: else
			fi;
#endif
		fi
	};
	/* Move the head by compare-and-swap. */
	atomic {
		if
		:: down -> result = 3
#ifdef MUTANT_BLIND_WRITE
		:: !down -> assert(content == base); version = seen + 1; content = id + 1; holds[id]++; result = 0
#else
		:: !down && version == seen ->
			assert(content == base); /* no update of another edit is lost */
			version++; content = id + 1; holds[id]++;
			if
			:: result = 0
			:: result = 2 /* the answer is lost */
			fi
		:: !down && version != seen -> result = 1
#endif
		:: !down -> result = 2 /* the write is dropped */
		fi;
		seen = 0;
		if
		:: result == 0 -> goto accepted
		:: result == 1 -> goto again
		:: result == 2 -> unsettled = true; goto again
		:: result == 3 && unsettled -> goto unknown
		:: result == 3 && !unsettled -> goto refused
		fi
	};
accepted:
	assert(holds[id] == 1); goto end;
conflict:
	assert(holds[id] == 0); goto end;
refused:
	assert(holds[id] == 0); goto end;
unknown:
	assert(holds[id] <= 1);
end:
	skip
}

active proctype Service() {
	/* Two outages. */
	if
	:: down = true; down = false
	:: skip
	fi;
	if
	:: down = true; down = false
	:: down = true
	:: skip
	fi
}

init {
	atomic { run Operator(0); run Operator(1) }
}
